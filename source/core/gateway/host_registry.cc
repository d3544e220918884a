#include "core/gateway/host_registry.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectKind;
using catalog::WriteState;
using common::Duration;
using Json = nlohmann::json;

constexpr std::string_view kNamePrefix = "host.";
// Crash marks that arise within this period are written together.
constexpr Duration kWritePeriod = std::chrono::milliseconds(150);
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
// Maximum number of crash marks in one host's object.
constexpr size_t kMaxMarks = 200;

std::vector<suspects::CrashMark> DecodeMarks(const Json& value) {
  std::vector<suspects::CrashMark> marks;
  for (const Json& item : value) {
    suspects::CrashMark mark;
    mark.fingerprint = item.at("fingerprint").get<uint64_t>();
    mark.endpoint = item.at("endpoint").get<std::string>();
    mark.age = std::chrono::milliseconds(item.at("age_ms").get<int64_t>());
    marks.push_back(std::move(mark));
  }
  return marks;
}

}  // namespace

HostRegistry::HostRegistry(const Settings& settings,
                           Dispatcher& dispatcher,
                           CacheStoreWatcher& cache_store_watcher,
                           catalog::ObjectStore& store)
    : settings(settings),
      dispatcher(dispatcher),
      cache_store_watcher(cache_store_watcher),
      store(store),
      own_name(std::string(kNamePrefix) + settings.host_name) {
  this->dispatcher.OnCrashMarksChanged([this] { this->write_pending = true; });
}

void HostRegistry::OnObject(const catalog::ObjectChange& change) {
  const std::string& name = change.object.name;
  if (name.substr(0, kNamePrefix.size()) != kNamePrefix)
    return;
  if (change.deleted)
    this->host_names.erase(name);
  else
    this->host_names.insert(name);
  this->OnHostCountChanged();
  if (name == this->own_name) {
    this->OnOwnObject(change);
    return;
  }
  if (change.deleted) {
    this->OnPeerAddress(name, "");
    return;
  }
  const Json value = Json::parse(change.object.content, nullptr, false);
  if (!value.is_object() || !value.contains("marks"))
    return;
  try {
    this->OnPeerAddress(name, value.value("peer_address", ""));
    const auto marks = DecodeMarks(value["marks"]);
    this->dispatcher.suspects().Merge(marks, runtime::BootNow());
  } catch (const Json::exception&) {
    // Written by another version of the program. Only its marks are lost.
    return;
  }
}

void HostRegistry::OnOwnObject(const catalog::ObjectChange& change) {
  if (!change.deleted) {
    this->own_revision = change.object.revision;
    return;
  }
  // A deleted object can't be replaced; it is created again.
  this->own_revision.reset();
  this->write_pending = true;
}

void HostRegistry::OnPeerAddress(const std::string& name,
                                 const std::string& address) {
  const auto parsed = runtime::Address::Parse(address);
  if (parsed)
    this->peers[name] = *parsed;
  else
    this->peers.erase(name);
  if (!this->on_peers_changed)
    return;
  std::vector<runtime::Address> addresses;
  for (const auto& [host, peer] : this->peers)
    addresses.push_back(peer);
  this->on_peers_changed(std::move(addresses));
}

void HostRegistry::OnHostCountChanged() {
  const size_t count = this->host_names.size();
  const auto rank = static_cast<size_t>(std::distance(
      this->host_names.begin(), this->host_names.lower_bound(this->own_name)));
  this->dispatcher.SetHostCount(count);
  this->cache_store_watcher.SetHosts(count, rank);
}

size_t HostRegistry::RankFor(std::string_view key) const {
  const uint64_t seed = common::Hash64(key);
  const uint64_t own = common::Hash64(this->own_name, seed);
  return static_cast<size_t>(
      std::count_if(this->host_names.begin(), this->host_names.end(),
                    [&](const std::string& name) {
                      return common::Hash64(name, seed) > own;
                    }));
}

std::string HostRegistry::EncodeOwnObject() const {
  Json value;
  value["zone"] = this->settings.zone;
  value["address"] = this->settings.caller_address;
  if (this->settings.peer_port != 0) {
    auto peer = *runtime::Address::Parse(this->settings.caller_address);
    peer.port = static_cast<uint16_t>(this->settings.peer_port);
    value["peer_address"] = peer.ToString();
  }
  value["marks"] = Json::array();
  auto marks = this->dispatcher.suspects().Marks(runtime::BootNow());
  if (marks.size() > kMaxMarks)
    marks.resize(kMaxMarks);
  for (const suspects::CrashMark& mark : marks) {
    Json item;
    item["fingerprint"] = mark.fingerprint;
    item["endpoint"] = mark.endpoint;
    item["age_ms"] = mark.age.count() / 1000;
    value["marks"].push_back(std::move(item));
  }
  return value.dump();
}

bool HostRegistry::WriteOwnObject() {
  if (!this->own_revision) {
    const auto reply = this->store.Create(ObjectKind::kHosts, this->own_name,
                                          this->EncodeOwnObject());
    if (reply.current)
      this->own_revision = reply.current->revision;
    return reply.state == WriteState::kWritten;
  }
  const auto reply =
      this->store.Replace(ObjectKind::kHosts, this->own_name,
                          *this->own_revision, this->EncodeOwnObject());
  if (reply.current)
    this->own_revision = reply.current->revision;
  return reply.state == WriteState::kWritten;
}

void HostRegistry::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kWritePeriod);
    if (!this->write_pending)
      continue;
    this->write_pending = false;
    if (this->WriteOwnObject())
      continue;
    // Retried after a conflict too, which returned the current revision.
    this->write_pending = true;
    runtime::SleepFor(kRetryDelay);
  }
}

}  // namespace jujuberock::gateway
