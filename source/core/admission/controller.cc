#include "core/admission/controller.h"

#include <algorithm>

namespace jujuberock::admission {

namespace {

// Weight of the newest observation in the average running time.
constexpr double kSmoothing = 0.05;

// While requests are queued, endpoints are busy and first tokens come later
// than predicted at arrival. Without this factor, a quarter of the answers at
// twice the load missed their deadline in the overload experiment.
constexpr double kBusyFactor = 1.5;

// Lower bound of the retry hint: earlier, nothing would have changed.
constexpr double kMinRetrySeconds = 0.2;

}  // namespace

common::TimePoint DeadlineOf(common::TimePoint now,
                             common::Duration configured_patience,
                             common::Duration caller_patience) {
  if (caller_patience <= common::Duration::zero())
    return now + configured_patience;
  return now + std::min(configured_patience, caller_patience);
}

Controller::Controller(FairSchedulerFactory make_scheduler)
    : make_scheduler(std::move(make_scheduler)) {}

void Controller::SetService(std::string_view service,
                            uint32_t max_running,
                            uint32_t max_queue) {
  Service& known = this->ServiceOf(service);
  known.max_running = max_running;
  known.max_queue = max_queue;
}

void Controller::SetTeam(std::string_view team,
                         double weight,
                         uint32_t max_running) {
  Team& known = this->TeamOf(team);
  known.weight = weight;
  known.max_running = max_running;
}

Decision Controller::Submit(const AdmissionRequest& request,
                            common::TimePoint now) {
  Service& service = this->ServiceOf(request.service);
  Team& team = this->TeamOf(request.team);
  const bool at_limit = team.running >= team.max_running;
  const double wait = this->PredictedWait(service, request.team, team);
  const double factor = wait > 0 ? kBusyFactor : 1;
  const common::Duration start_to_token = common::FromSeconds(
      factor * common::ToSeconds(request.predicted_first_token));
  const common::TimePoint first_token =
      now + common::FromSeconds(wait) + start_to_token;
  Decision decision;
  if (first_token > request.deadline) {
    decision.code = at_limit ? common::ResultCode::kTeamLimit
                             : common::ResultCode::kDeadlineUnreachable;
    const double late = common::ToSeconds(first_token - request.deadline);
    decision.retry_after =
        common::FromSeconds(std::max(kMinRetrySeconds, late));
    return decision;
  }
  if (wait > 0 && service.queued >= service.max_queue) {
    decision.code = common::ResultCode::kQueueFull;
    decision.retry_after =
        common::FromSeconds(std::max(kMinRetrySeconds, wait));
    return decision;
  }
  decision.ticket = this->next_ticket++;
  this->tickets[decision.ticket] = {request.team, request.service, {}};
  auto& queue = service.queues[request.team];
  if (queue.empty())
    service.scheduler->OnWaiting(request.team);
  queue.push_back(
      {decision.ticket, request.deadline - start_to_token, request.cost});
  ++team.queued;
  ++service.queued;
  // Other queued requests may start as well if a limit has grown meanwhile.
  this->AdmitWaiting(service, now, decision.also_admitted);
  const bool is_admitted =
      std::erase(decision.also_admitted, decision.ticket) > 0;
  decision.state =
      is_admitted ? DecisionState::kAdmitted : DecisionState::kQueued;
  return decision;
}

std::vector<Ticket> Controller::Finish(Ticket ticket, common::TimePoint now) {
  std::vector<Ticket> admitted;
  auto found = this->tickets.find(ticket);
  if (found == this->tickets.end())
    return admitted;
  const TicketState state = std::move(found->second);
  this->tickets.erase(found);
  Service& service = this->ServiceOf(state.service);
  if (!state.started) {
    this->RemoveWaiting(service, state, ticket);
    return admitted;
  }
  --this->TeamOf(state.team).running;
  --service.running;
  const double run_seconds = common::ToSeconds(now - *state.started);
  service.mean_run_seconds =
      service.mean_run_seconds == 0
          ? run_seconds
          : service.mean_run_seconds +
                kSmoothing * (run_seconds - service.mean_run_seconds);
  this->AdmitWaiting(service, now, admitted);
  // The team may have been at its limit with requests queued for other
  // services.
  for (auto& [name, other] : this->services) {
    if (&other != &service && other.queued > 0)
      this->AdmitWaiting(other, now, admitted);
  }
  return admitted;
}

TickResult Controller::OnTick(common::TimePoint now) {
  TickResult result;
  for (auto& [name, service] : this->services) {
    this->AdmitWaiting(service, now, result.admitted);
    for (Ticket ticket : service.expired) {
      // A caller may have given up since.
      if (this->tickets.erase(ticket) > 0)
        result.expired.push_back(ticket);
    }
    service.expired.clear();
  }
  return result;
}

uint32_t Controller::running(std::string_view team) const {
  auto found = this->teams.find(team);
  return found == this->teams.end() ? 0 : found->second.running;
}

uint32_t Controller::queued(std::string_view team) const {
  auto found = this->teams.find(team);
  return found == this->teams.end() ? 0 : found->second.queued;
}

uint32_t Controller::service_running(std::string_view service) const {
  auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.running;
}

Controller::Team& Controller::TeamOf(std::string_view name) {
  auto found = this->teams.find(name);
  if (found == this->teams.end())
    found = this->teams.emplace(name, Team()).first;
  return found->second;
}

Controller::Service& Controller::ServiceOf(std::string_view name) {
  auto found = this->services.find(name);
  if (found == this->services.end()) {
    found = this->services.try_emplace(std::string(name)).first;
    found->second.scheduler = this->make_scheduler();
  }
  return found->second;
}

double Controller::PredictedWait(const Service& service,
                                 std::string_view team_name,
                                 const Team& team) const {
  double own_ahead = 1;
  double total_ahead = 1;
  double weights = team.weight;
  for (const auto& [name, queue] : service.queues) {
    total_ahead += static_cast<double>(queue.size());
    if (name == team_name) {
      own_ahead += static_cast<double>(queue.size());
    } else if (!queue.empty()) {
      weights += this->teams.find(name)->second.weight;
    }
  }
  double wait = 0;
  if (service.running >= service.max_running || service.queued > 0) {
    // Fair queueing serves the team at least at its share, sooner if it is
    // behind its share, and no request waits for more than all that are queued
    // now.
    const double credit = service.scheduler->CreditOf(team_name, team.weight);
    const double own = std::max(1.0, own_ahead - credit);
    const double ahead = std::min(total_ahead, own * weights / team.weight);
    const double slots = std::max(
        1u, std::min(service.max_running, std::max(1u, service.running)));
    wait = ahead * service.mean_run_seconds / slots;
  }
  if (team.running >= team.max_running) {
    const double slots = std::max(1u, team.running);
    wait = std::max(wait, (team.queued + 1) * service.mean_run_seconds / slots);
  }
  const bool has_capacity =
      service.running < service.max_running && team.running < team.max_running;
  return has_capacity && own_ahead == 1 ? 0 : wait;
}

void Controller::AdmitWaiting(Service& service,
                              common::TimePoint now,
                              std::vector<Ticket>& admitted) {
  this->ExpireLate(service, now);
  while (service.running < service.max_running && service.queued > 0) {
    this->CollectHeads(service);
    if (this->heads.empty())
      return;
    const QueueHead& head = this->heads[service.scheduler->Pick(this->heads)];
    auto queue = service.queues.find(head.team);
    Team& team = this->TeamOf(head.team);
    const Ticket ticket = queue->second.front().ticket;
    queue->second.pop_front();
    if (queue->second.empty())
      service.queues.erase(queue);
    --team.queued;
    --service.queued;
    ++team.running;
    ++service.running;
    this->tickets[ticket].started = now;
    admitted.push_back(ticket);
    this->ExpireLate(service, now);
  }
}

void Controller::ExpireLate(Service& service, common::TimePoint now) {
  for (auto it = service.queues.begin(); it != service.queues.end();) {
    auto& queue = it->second;
    while (!queue.empty() && queue.front().latest_start < now) {
      service.expired.push_back(queue.front().ticket);
      queue.pop_front();
      --this->TeamOf(it->first).queued;
      --service.queued;
    }
    it = queue.empty() ? service.queues.erase(it) : std::next(it);
  }
}

void Controller::CollectHeads(const Service& service) {
  this->heads.clear();
  for (const auto& [name, queue] : service.queues) {
    const Team& team = this->TeamOf(name);
    if (team.running < team.max_running)
      this->heads.push_back({name, team.weight, queue.front().cost});
  }
}

void Controller::RemoveWaiting(Service& service,
                               const TicketState& state,
                               Ticket ticket) {
  auto queue = service.queues.find(state.team);
  if (queue == service.queues.end())
    return;
  const auto removed = std::erase_if(
      queue->second, [&](const Waiting& w) { return w.ticket == ticket; });
  this->TeamOf(state.team).queued -= static_cast<uint32_t>(removed);
  service.queued -= static_cast<uint32_t>(removed);
  if (queue->second.empty())
    service.queues.erase(queue);
}

}  // namespace jujuberock::admission
