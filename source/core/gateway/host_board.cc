#include "core/gateway/host_board.h"

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
// Crash marks of one moment are written together.
constexpr Duration kWritePeriod = std::chrono::milliseconds(150);
constexpr Duration kFailurePause = std::chrono::milliseconds(700);
// Marks that one host's object carries at most.
constexpr size_t kMostMarks = 200;

std::vector<suspects::Mark> DecodeMarks(const Json& value) {
  std::vector<suspects::Mark> marks;
  for (const Json& item : value) {
    suspects::Mark mark;
    mark.fingerprint = item.at("fingerprint").get<uint64_t>();
    mark.endpoint = item.at("endpoint").get<std::string>();
    mark.age = std::chrono::milliseconds(item.at("age_ms").get<int64_t>());
    marks.push_back(std::move(mark));
  }
  return marks;
}

}  // namespace

HostBoard::HostBoard(const Settings& settings,
                     Dispatcher& dispatcher,
                     StoreWatch& store_watch,
                     catalog::ObjectStore& store)
    : settings(settings),
      dispatcher(dispatcher),
      store_watch(store_watch),
      store(store),
      own_name(std::string(kNamePrefix) + settings.host_name) {
  this->dispatcher.OnCrashMarks([this] { this->changed = true; });
}

void HostBoard::OnObject(const catalog::ObjectChange& change) {
  const std::string& name = change.object.name;
  if (name.substr(0, kNamePrefix.size()) != kNamePrefix)
    return;
  if (change.deleted)
    this->names.erase(name);
  else
    this->names.insert(name);
  this->OnCountChange();
  if (name == this->own_name) {
    this->own_revision = change.object.revision;
    return;
  }
  const Json value = Json::parse(change.object.content, nullptr, false);
  if (!value.is_object() || !value.contains("marks"))
    return;
  try {
    this->OnPeerAddress(name,
                        change.deleted ? "" : value.value("peer_address", ""));
    const auto marks = DecodeMarks(value["marks"]);
    this->dispatcher.suspects().Merge(marks, runtime::BootNow());
  } catch (const Json::exception&) {
    // Written by another program version; only its marks are lost.
    return;
  }
}

void HostBoard::OnPeerAddress(const std::string& name,
                              const std::string& address) {
  const auto parsed = runtime::Address::Parse(address);
  if (parsed)
    this->peers[name] = *parsed;
  else
    this->peers.erase(name);
  if (!this->peers_changed)
    return;
  std::vector<runtime::Address> addresses;
  for (const auto& [host, peer] : this->peers)
    addresses.push_back(peer);
  this->peers_changed(std::move(addresses));
}

void HostBoard::OnCountChange() {
  const size_t count = this->names.size();
  const auto rank = static_cast<size_t>(std::distance(
      this->names.begin(), this->names.lower_bound(this->own_name)));
  this->dispatcher.SetHostCount(count);
  this->store_watch.SetHosts(count, rank);
}

size_t HostBoard::RankFor(std::string_view key) const {
  const uint64_t seed = common::Hash64(key);
  const uint64_t own = common::Hash64(this->own_name, seed);
  return static_cast<size_t>(std::count_if(
      this->names.begin(), this->names.end(), [&](const std::string& name) {
        return common::Hash64(name, seed) > own;
      }));
}

std::string HostBoard::Content() const {
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
  if (marks.size() > kMostMarks)
    marks.resize(kMostMarks);
  for (const suspects::Mark& mark : marks) {
    Json item;
    item["fingerprint"] = mark.fingerprint;
    item["endpoint"] = mark.endpoint;
    item["age_ms"] = mark.age.count() / 1000;
    value["marks"].push_back(std::move(item));
  }
  return value.dump();
}

bool HostBoard::Write() {
  if (!this->own_revision) {
    const auto reply =
        this->store.Create(ObjectKind::kHosts, this->own_name, this->Content());
    if (reply.current)
      this->own_revision = reply.current->revision;
    return reply.state == WriteState::kWritten;
  }
  const auto reply = this->store.Replace(ObjectKind::kHosts, this->own_name,
                                         *this->own_revision, this->Content());
  if (reply.current)
    this->own_revision = reply.current->revision;
  return reply.state == WriteState::kWritten;
}

void HostBoard::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kWritePeriod);
    if (!this->changed)
      continue;
    this->changed = false;
    if (this->Write())
      continue;
    // Also after a conflict, which told the revision in force.
    this->changed = true;
    runtime::SleepFor(kFailurePause);
  }
}

}  // namespace jujuberock::gateway
