#include "core/gateway/host_registry.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "core/common/error.h"
#include "core/gateway/host_object.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectKind;
using catalog::WriteState;
using common::Duration;

constexpr std::string_view kNamePrefix = "host.";
// Crash marks that arise within this period are written together.
constexpr Duration kWritePeriod = std::chrono::milliseconds(150);
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
// Bytes of other hosts' objects that one host reads per second at most, since
// every host reads what any of them writes. A host with a third of a core reads
// more than this only late, and its callers' streams wait.
constexpr double kMaxReadBytesPerSecond = 256.0 * 1024;
// Verdicts on requests that crash endpoints must reach all hosts in time.
constexpr Duration kMaxWritePeriod = std::chrono::milliseconds(1500);
// Maximum number of marks of each kind in one host's object.
constexpr size_t kMaxMarks = 200;

}  // namespace

Duration HostWritePeriod(size_t object_bytes, size_t hosts) {
  const double read_bytes =
      static_cast<double>(object_bytes) * static_cast<double>(hosts);
  return std::clamp(common::FromSeconds(read_bytes / kMaxReadBytesPerSecond),
                    kWritePeriod, kMaxWritePeriod);
}

HostRegistry::HostRegistry(const Settings& settings,
                           PlatformView& view,
                           const rollout::OrderHistory& own_orders,
                           Dispatcher& dispatcher,
                           CacheStoreWatcher& cache_store_watcher,
                           catalog::ObjectStore& store,
                           std::function<common::UnixTime()> wall_now)
    : settings(settings),
      view(view),
      own_orders(own_orders),
      dispatcher(dispatcher),
      cache_store_watcher(cache_store_watcher),
      store(store),
      wall_now(std::move(wall_now)),
      own_name(ObjectNameOf(settings.host_name)) {
  this->dispatcher.OnCrashMarksChanged([this] { this->write_pending = true; });
}

std::string HostRegistry::ObjectNameOf(std::string_view host_name) {
  return std::string(kNamePrefix) + std::string(host_name);
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
    this->OnZoneHost(name, "");
    this->OnHandoverHost({name, "", ""});
    this->peer_orders.erase(name);
    return;
  }
  const auto object = DecodeHostObject(change.object.content, this->wall_now());
  // An unreadable object was written by another version of the program. Only
  // its marks are lost.
  if (!object)
    return;
  this->OnPeerAddress(name, object->peer_address);
  this->OnHandoverHost({name, object->zone, object->handover_address});
  const bool is_in_zone = object->zone == this->settings.zone;
  this->OnZoneHost(name, is_in_zone ? object->peer_address : "");
  this->view.OnPeerConfig(object->config);
  PeerOrders& orders = this->peer_orders[name];
  orders = {object->config.era, std::nullopt};
  if (object->last_order_age)
    orders.last_order_at = runtime::BootNow() - *object->last_order_age;
  this->dispatcher.MergeMarks(object->marks, object->part_marks);
}

bool HostRegistry::HaveAllNoticedEra() const {
  const auto has_noticed = [this](const auto& entry) {
    return entry.second.store_era == this->store.era();
  };
  // The copy may lack all hosts. Unreadable objects say nothing.
  const size_t others =
      this->host_names.size() - this->host_names.count(this->own_name);
  return !this->peer_orders.empty() && this->peer_orders.size() >= others &&
         std::all_of(this->peer_orders.begin(), this->peer_orders.end(),
                     has_noticed);
}

std::optional<common::TimePoint> HostRegistry::LastPeerOrder() const {
  std::optional<common::TimePoint> last;
  for (const auto& [name, orders] : this->peer_orders)
    last = std::max(last, orders.last_order_at);
  return last;
}

void HostRegistry::ReadFormerObject(const catalog::StoredObject& stored) {
  if (this->has_written)
    return;
  const auto object = DecodeHostObject(stored.content, this->wall_now());
  if (!object)
    return;
  this->dispatcher.MergeMarks(object->marks, object->part_marks);
  this->view.OnPeerConfig(object->config);
}

void HostRegistry::OnOwnObject(const catalog::ObjectChange& change) {
  if (!change.deleted) {
    this->SetRevision(change.object.revision);
    this->ReadFormerObject(change.object);
    // Another writer has replaced it, and the other hosts can't read it.
    this->write_pending |= change.object.fault != catalog::ObjectFault::kNone;
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

void HostRegistry::OnHandoverHost(const handover::PeerHost& host) {
  const auto known = this->handover_hosts.find(host.name);
  const bool is_known = known != this->handover_hosts.end();
  const bool is_unchanged =
      is_known ? known->second == host : host.address.empty();
  if (is_unchanged)
    return;
  if (host.address.empty())
    this->handover_hosts.erase(known);
  else
    this->handover_hosts[host.name] = host;
  if (!this->on_handover_hosts_changed)
    return;
  std::vector<handover::PeerHost> hosts;
  for (const auto& [name, known_host] : this->handover_hosts)
    hosts.push_back(known_host);
  this->on_handover_hosts_changed(std::move(hosts));
}

void HostRegistry::OnZoneHost(const std::string& name,
                              const std::string& address) {
  const auto known = this->zone_hosts.find(name);
  const bool is_known = known != this->zone_hosts.end();
  const bool is_unchanged =
      is_known ? known->second == address : address.empty();
  if (is_unchanged)
    return;
  if (address.empty())
    this->zone_hosts.erase(known);
  else
    this->zone_hosts[name] = address;
  if (!this->on_zone_hosts_changed)
    return;
  std::vector<relay::RelayHost> hosts;
  for (const auto& [host, host_address] : this->zone_hosts)
    hosts.push_back({host, host_address});
  this->on_zone_hosts_changed(std::move(hosts));
}

void HostRegistry::OnHostCountChanged() {
  const size_t count = this->host_names.size();
  const auto rank = static_cast<size_t>(std::distance(
      this->host_names.begin(), this->host_names.lower_bound(this->own_name)));
  this->dispatcher.SetHosts(this->host_names, this->own_name);
  this->cache_store_watcher.SetHosts(count, rank);
}

size_t HostRegistry::RankFor(std::string_view key) const {
  return this->dispatcher.host_ranking().RankFor(key).value_or(
      this->host_names.size());
}

std::string HostRegistry::EncodeOwnObject() const {
  const common::TimePoint now = runtime::BootNow();
  HostObject object;
  object.zone = this->settings.zone;
  object.caller_address = this->settings.caller_address;
  const auto address_of = [this](int64_t port) {
    auto address = *runtime::Address::Parse(this->settings.caller_address);
    address.port = static_cast<uint16_t>(port);
    return address.ToString();
  };
  if (this->settings.peer_port != 0)
    object.peer_address = address_of(this->settings.peer_port);
  if (this->settings.handover_port != 0)
    object.handover_address = address_of(this->settings.handover_port);
  object.written_at = this->wall_now();
  object.config = this->view.ConfigForPeers();
  if (this->own_orders.last_order_at)
    object.last_order_age = now - *this->own_orders.last_order_at;
  object.marks = this->dispatcher.suspects().Marks(now, kMaxMarks);
  object.part_marks = this->dispatcher.part_suspects().Marks(now);
  if (object.part_marks.size() > kMaxMarks)
    object.part_marks.resize(kMaxMarks);
  return EncodeHostObject(object);
}

WriteState HostRegistry::WriteOwnObject() {
  const uint64_t era = this->store.era();
  const auto is_config_known = this->view.ConfigForPeers().is_known;
  const std::string content = this->EncodeOwnObject();
  this->written_bytes = content.size();
  const auto reply =
      this->own_revision
          ? this->store.Replace(ObjectKind::kHosts, this->own_name,
                                *this->own_revision, content)
          : this->store.Create(ObjectKind::kHosts, this->own_name, content);
  if (reply.state == WriteState::kMissing)
    this->own_revision.reset();
  if (reply.current) {
    this->SetRevision(reply.current->revision);
    // This is the object that the former process of this host has left.
    if (reply.state == WriteState::kConflict)
      this->ReadFormerObject(*reply.current);
  }
  if (reply.state != WriteState::kWritten)
    return reply.state;
  this->has_written = true;
  this->written_era = era;
  this->written_config_known = is_config_known;
  return reply.state;
}

void HostRegistry::SetRevision(uint64_t revision) {
  this->own_revision = revision;
  this->revision_era = this->store.era();
}

void HostRegistry::CheckEra() {
  if (!this->has_written)
    return;
  this->write_pending |=
      this->view.ConfigForPeers().is_known != this->written_config_known;
  if (this->store.era() == this->written_era)
    return;
  // The copy that the store came back from has an older object or none.
  this->write_pending = true;
  if (this->revision_era != this->store.era())
    this->own_revision.reset();
}

void HostRegistry::Run() {
  while (!this->stopping) {
    runtime::SleepFor(
        HostWritePeriod(this->written_bytes, this->host_names.size()));
    this->write_pending |= this->dispatcher.part_suspects().TakeChanged();
    this->CheckEra();
    if (!this->write_pending)
      continue;
    this->write_pending = false;
    const WriteState state = this->WriteOwnObject();
    if (state == WriteState::kWritten)
      continue;
    this->write_pending = true;
    // A conflict, or an object that is gone, tells what to write to.
    if (state != WriteState::kConflict && state != WriteState::kMissing)
      runtime::SleepFor(kRetryDelay);
  }
}

}  // namespace jujuberock::gateway
