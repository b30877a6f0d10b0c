#include "memory_play.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch::memory_play {
namespace {

// As in the relay.
constexpr int kMaxRefusedReservations = 4;
constexpr absl::Duration kDeadline = absl::Seconds(15);

}  // namespace

struct MemorySimulation::Request {
  RequestClass kind;
  Tokens prompt;
  absl::Time arrived_at;
  std::string target;
  // Of one part.
  absl::Duration prefill_time;
  // Memory that it occupies at its target once it is admitted.
  double memory = 0;
  bool admitted = false;
  int parts_left = 0;
  int events_left = 0;
  absl::Time first_event = absl::InfinitePast();
  absl::Time last_event = absl::InfinitePast();
  absl::Duration first_after;
  absl::Duration longest_pause = absl::ZeroDuration();
};

MemorySimulation::MemorySimulation(const EngineModel& engine,
                                   int targets,
                                   uint64_t seed,
                                   const Features& features)
    : engine_(engine), features_(features), random_(seed) {
  for (int i = 0; i < targets; ++i) {
    Target target;
    target.id = std::to_string(i);
    targets_.push_back(std::move(target));
  }
}

double MemorySimulation::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<WorkItem> MemorySimulation::WorkAt(const Target& target) const {
  std::vector<WorkItem> work;
  for (const Load& load : target.loads) {
    WorkItem item = load.item;
    const absl::Time first_event = load.request->first_event;
    item.prefilling = first_event == absl::InfinitePast();
    item.first_event_at = first_event;
    // Without plans a helper's load ends with its prefill.
    const bool holds_memory =
        features_.memory_plan && item.memory.value_or(Tokens(0)) > Tokens(0);
    if (item.prefilling || !item.is_helper || holds_memory) {
      work.push_back(item);
    }
  }
  return work;
}

std::vector<Candidate> MemorySimulation::Candidates() const {
  std::vector<Candidate> candidates;
  for (const Target& target : targets_) {
    Candidate candidate;
    candidate.id = TargetId(target.id);
    candidate.slots = engine_.slots;
    candidate.same_data_centre = true;
    candidate.work = WorkAt(target);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void MemorySimulation::Arrive(const RequestClass& kind) {
  auto request = std::make_shared<Request>();
  request->kind = kind;
  std::lognormal_distribution<double> size(
      std::log(kind.mean_prompt) - kind.log_stddev * kind.log_stddev / 2,
      kind.log_stddev);
  request->prompt =
      Tokens(static_cast<int64_t>(std::min(size(random_), kind.max_prompt)));
  request->arrived_at = now_;
  request->events_left =
      1 + std::poisson_distribution<int>(kind.mean_event_count - 1)(random_);
  CountResult(*request, &ClassResult::submitted);
  PlaceRequest(request);
}

void MemorySimulation::CountResult(const Request& request,
                                   int ClassResult::*result) {
  ++(results_[request.kind.name].*result);
  if (static_cast<double>(request.prompt.value()) >=
      request.kind.min_largest_prompt) {
    ++(largest_results_[request.kind.name].*result);
  }
}

void MemorySimulation::PlaceRequest(const std::shared_ptr<Request>& request) {
  RequestProfile profile;
  profile.prompt = request->prompt;
  profile.aim = request->kind.aim;
  profile.max_event_gap = request->kind.gap_aim;
  profile.time_remaining = kDeadline;
  std::vector<Candidate> candidates = Candidates();
  for (int refused = 0; refused < kMaxRefusedReservations; ++refused) {
    const PlacementResult result =
        Place(profile, &engine_, candidates, now_, Uniform(), features_);
    if (!result.decision) {
      break;
    }
    const auto work = WorkItemsFor(profile, &engine_, *result.decision, now_);
    const WorkItem& item = work.front().second;
    request->prefill_time = item.prefill_time;
    request->memory =
        static_cast<double>(item.memory.value_or(request->prompt).value());
    request->target = result.decision->target.text();
    if (request->memory > static_cast<double>(engine_.kv_capacity.value())) {
      break;  // The target refuses it.
    }
    const auto failed_target = ReserveMemory(request, *result.decision);
    if (!failed_target) {
      for (const auto& [target, load] : work) {
        Find(target.text()).loads.push_back({request, load});
      }
      unanswered_.push_back(request);
      Submit(request, *result.decision);
      return;
    }
    for (Candidate& candidate : candidates) {
      candidate.excluded_as_helper =
          candidate.excluded_as_helper || candidate.id == *failed_target;
    }
  }
  CountResult(*request, &ClassResult::refused);
}

double MemorySimulation::FreeMemory(const Target& target) const {
  double free = static_cast<double>(engine_.kv_capacity.value()) - target.used;
  for (const Ticket& ticket : target.tickets) {
    free -= ticket.tokens;
  }
  return free;
}

MemorySimulation::Target& MemorySimulation::Find(const std::string& id) {
  return *std::find_if(targets_.begin(), targets_.end(),
                       [&](const Target& one) { return one.id == id; });
}

std::optional<TargetId> MemorySimulation::ReserveMemory(
    const std::shared_ptr<Request>& request,
    const PlacementDecision& placed) {
  for (size_t i = 0; i < placed.helpers.size(); ++i) {
    const Tokens tokens = TicketOf(placed, i);
    if (tokens == Tokens(0)) {
      continue;
    }
    Target& target = Find(placed.helpers[i].text());
    ++reservations_.orders;
    if (FreeMemory(target) < static_cast<double>(tokens.value())) {
      ++reservations_.refused_orders;
      ReleaseMemory(request);
      return placed.helpers[i];
    }
    target.tickets.push_back({request, static_cast<double>(tokens.value())});
  }
  return std::nullopt;
}

void MemorySimulation::ReleaseMemory(const std::shared_ptr<Request>& request) {
  for (Target& target : targets_) {
    target.tickets.erase(
        std::remove_if(
            target.tickets.begin(), target.tickets.end(),
            [&](const Ticket& ticket) { return ticket.request == request; }),
        target.tickets.end());
  }
}

void MemorySimulation::Submit(const std::shared_ptr<Request>& request,
                              const PlacementDecision& placed) {
  request->parts_left = static_cast<int>(placed.helpers.size()) + 1;
  const auto tokens = static_cast<double>(request->prompt.value()) /
                      static_cast<double>(request->parts_left);
  for (Target& target : targets_) {
    const bool first = target.id == placed.target.text();
    const bool helps =
        std::any_of(placed.helpers.begin(), placed.helpers.end(),
                    [&](const TargetId& id) { return id.text() == target.id; });
    if (!first && !helps) {
      continue;
    }
    const Prefill prefill{request, tokens,
                          tokens,  request->prefill_time,
                          helps,   helps ? 0 : request->memory,
                          helps};
    // Engines prefill parts of shared prompts before other prompts.
    if (request->parts_left > 1) {
      target.waiting.push_front(prefill);
    } else {
      target.waiting.push_back(prefill);
    }
    if (target.pass_ends == absl::InfiniteFuture()) {
      StartPass(target);
    }
  }
}

void MemorySimulation::StartPass(Target& target) {
  if (target.waiting.empty() && target.decoding.empty()) {
    target.pass_ends = absl::InfiniteFuture();
    return;
  }
  const auto writers = static_cast<int>(target.decoding.size());
  const int steps = writers > 0 ? engine_.steps_per_pass : 1;
  double context = 0;
  for (const auto& request : target.decoding) {
    context += static_cast<double>(request->prompt.value());
  }
  absl::Duration pass = absl::Milliseconds(
      steps * (engine_.step_ms + engine_.step_ms_per_request * writers +
               engine_.step_ms_per_1k_context * context / 1000));
  double room = static_cast<double>(engine_.chunk_tokens) * steps;
  int slots = engine_.slots - writers;
  for (auto it = target.waiting.begin();
       it != target.waiting.end() && room > 0 && slots > 0;) {
    if (!it->admitted) {
      if (FreeMemory(target) < it->memory) {
        break;
      }
      it->admitted = true;
      it->request->admitted = true;
      target.used += it->memory;
    }
    const double tokens = std::min(room, it->tokens_left);
    pass += it->prefill_time * (tokens / it->tokens);
    it->tokens_left -= tokens;
    room -= tokens;
    slots -= it->is_helper ? 0 : 1;
    if (it->tokens_left > 0) {
      break;
    }
    target.completed_prefills.push_back(*it);
    it = target.waiting.erase(it);
  }
  target.pass_ends = now_ + pass;
}

void MemorySimulation::EndLoad(const std::shared_ptr<Request>& request) {
  if (request->admitted) {
    Find(request->target).used -= request->memory;
  }
  ReleaseMemory(request);
  const auto erase = [&](auto& items) {
    items.erase(std::remove_if(
                    items.begin(), items.end(),
                    [&](const auto& item) { return item.request == request; }),
                items.end());
  };
  for (Target& target : targets_) {
    erase(target.loads);
    erase(target.waiting);
    erase(target.completed_prefills);
  }
}

void MemorySimulation::AbandonOverdue() {
  while (!unanswered_.empty() &&
         unanswered_.front()->arrived_at + kDeadline <= now_) {
    const std::shared_ptr<Request> request = unanswered_.front();
    unanswered_.pop_front();
    if (request->first_event == absl::InfinitePast()) {
      EndLoad(request);
      CountResult(*request, &ClassResult::timed_out);
    }
  }
}

void MemorySimulation::EmitEvent(const std::shared_ptr<Request>& request) {
  if (request->last_event == absl::InfinitePast()) {
    request->first_event = now_;
    request->first_after = now_ - request->arrived_at;
  } else {
    request->longest_pause =
        std::max(request->longest_pause, now_ - request->last_event);
  }
  request->last_event = now_;
  if (--request->events_left > 0) {
    return;
  }
  EndLoad(request);
  if (request->first_after > request->kind.aim) {
    CountResult(*request, &ClassResult::late_first);
  } else if (request->longest_pause > request->kind.gap_aim) {
    CountResult(*request, &ClassResult::late_pause);
  } else {
    CountResult(*request, &ClassResult::on_time);
  }
}

void MemorySimulation::EndPass(Target& target) {
  for (const auto& request : target.decoding) {
    EmitEvent(request);
  }
  const auto read = std::move(target.completed_prefills);
  target.completed_prefills.clear();
  for (const Prefill& prefill : read) {
    if (--prefill.request->parts_left > 0) {
      continue;
    }
    for (Target& first : targets_) {
      if (first.id == prefill.request->target) {
        EmitEvent(prefill.request);
        if (prefill.request->events_left > 0) {
          first.decoding.push_back(prefill.request);
        }
        if (first.pass_ends == absl::InfiniteFuture()) {
          StartPass(first);
        }
      }
    }
  }
  target.decoding.erase(
      std::remove_if(
          target.decoding.begin(), target.decoding.end(),
          [](const auto& request) { return request->events_left <= 0; }),
      target.decoding.end());
  StartPass(target);
}

void MemorySimulation::RunUntil(absl::Time until) {
  while (true) {
    const auto next = std::min_element(
        targets_.begin(), targets_.end(),
        [](const auto& a, const auto& b) { return a.pass_ends < b.pass_ends; });
    if (next->pass_ends > until) {
      break;
    }
    now_ = next->pass_ends;
    AbandonOverdue();
    EndPass(*next);
  }
  if (until < absl::InfiniteFuture()) {
    now_ = until;
  }
}

void MemorySimulation::Run(const std::vector<RequestClass>& kinds,
                           absl::Duration length) {
  double per_s = 0;
  for (const RequestClass& kind : kinds) {
    per_s += kind.per_s;
  }
  const absl::Time end = now_ + length;
  while (true) {
    const absl::Time next =
        now_ + absl::Seconds(-std::log(1 - Uniform()) / per_s);
    if (next >= end) {
      break;
    }
    RunUntil(next);
    double pick = Uniform() * per_s;
    for (const RequestClass& kind : kinds) {
      pick -= kind.per_s;
      if (pick <= 0) {
        Arrive(kind);
        break;
      }
    }
  }
  RunUntil(end);
}

void MemorySimulation::Drain() {
  RunUntil(absl::FromUnixSeconds(1000000));
}

}  // namespace umbertrail::dispatch::memory_play
