#include "engine_play.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {

struct EngineSimulation::Request {
  RequestClass kind;
  Tokens prompt;
  absl::Time arrived_at;
  std::string target;
  WorkItem item;
  int parts_left = 0;
  int events = 0;
  int events_left = 0;
  std::optional<Tokens> hint;
  PauseWindow pauses;
  absl::Time last_event = absl::InfinitePast();
  absl::Duration first_after;
  absl::Duration longest_pause = absl::ZeroDuration();
};

EngineSimulation::EngineSimulation(const EngineModel& engine,
                                   int targets,
                                   uint64_t seed,
                                   const Features& features)
    : engine_(engine),
      random_(seed),
      tie_random_(seed),
      features_(features),
      slowdown_([](size_t /*target*/, absl::Time /*now*/) { return 1.0; }) {
  for (int i = 0; i < targets; ++i) {
    Target target;
    target.id = std::to_string(i);
    targets_.push_back(std::move(target));
  }
}

EngineSimulation::EngineSimulation(const EngineModel& engine,
                                   int targets,
                                   uint64_t seed,
                                   PriorityOrder::Options order)
    : EngineSimulation(engine, targets, seed) {
  order_.emplace(order);
}

double EngineSimulation::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

double EngineSimulation::Tie() {
  return std::uniform_real_distribution<double>(0, 1)(tie_random_);
}

std::vector<WorkItem> EngineSimulation::WorkAt(const Target& target) const {
  std::vector<WorkItem> work;
  for (const auto& request : target.decoding) {
    work.push_back(request->item);
    work.back().prefilling = false;
  }
  const auto add = [&](const Prefill& prefill) {
    WorkItem item = prefill.request->item;
    item.is_helper = prefill.is_helper;
    work.push_back(item);
  };
  std::for_each(target.waiting.begin(), target.waiting.end(), add);
  std::for_each(target.completed_prefills.begin(),
                target.completed_prefills.end(), add);
  return work;
}

std::vector<Candidate> EngineSimulation::Candidates() const {
  std::vector<Candidate> candidates;
  for (const Target& target : targets_) {
    Candidate candidate;
    candidate.id = TargetId(target.id);
    candidate.slots = engine_.slots;
    candidate.same_data_centre = true;
    candidate.work = WorkAt(target);
    candidate.slowdown = target.health.slowdown();
    candidate.decode_slowdown = target.health.DecodeSlowdown(now_);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

int EngineSimulation::EventCount(const RequestClass& kind) {
  if (kind.event_log_stddev == 0) {
    return 1 +
           std::poisson_distribution<int>(kind.mean_event_count - 1)(random_);
  }
  std::lognormal_distribution<double> events(
      std::log(kind.mean_event_count) -
          kind.event_log_stddev * kind.event_log_stddev / 2,
      kind.event_log_stddev);
  return std::max(1, static_cast<int>(std::lround(events(random_))));
}

OutputQuery EngineSimulation::QueryOf(const Request& request) const {
  OutputQuery query;
  // All classes come by one route.
  query.route = RouteHashOf("route");
  query.account = request.kind.account;
  query.prompt = request.prompt;
  query.hint = request.hint;
  return query;
}

EngineSimulation::Target& EngineSimulation::TargetOf(const Request& request) {
  return *std::find_if(
      targets_.begin(), targets_.end(),
      [&](const Target& target) { return target.id == request.target; });
}

void EngineSimulation::LearnFrom(Request& request) {
  Target& target = TargetOf(request);
  if (request.last_event == absl::InfinitePast()) {
    request.item.first_event_at = now_;
    target.health.RecordFirstEvent(request.item.time_to_first_event,
                                   now_ - request.arrived_at);
  } else if (const auto pause = request.pauses.Add(now_ - request.last_event)) {
    const auto ratio = PauseRatio(engine_, WorkAt(target),
                                  target.health.slowdown(), *pause, now_);
    if (ratio) {
      target.health.RecordPauses(*ratio, 1, now_);
    }
  }
  if (request.events_left == 1) {
    outputs_.Learn(QueryOf(request), engine_, request.events, now_);
  }
}

void EngineSimulation::Arrive(const RequestClass& kind) {
  auto request = std::make_shared<Request>();
  request->kind = kind;
  std::lognormal_distribution<double> size(
      std::log(kind.mean_prompt) - kind.log_stddev * kind.log_stddev / 2,
      kind.log_stddev);
  request->prompt =
      Tokens(static_cast<int64_t>(std::min(size(random_), kind.max_prompt)));
  request->arrived_at = now_;
  request->events = EventCount(kind);
  request->events_left = request->events;
  if (kind.hint_log_stddev >= 0) {
    std::normal_distribution<double> error(0, 1);
    request->hint = Tokens(
        static_cast<int64_t>(request->events * engine_.steps_per_pass *
                             std::exp(kind.hint_log_stddev * error(random_))));
  }
  ++results_[kind.name].submitted;
  Ask(request);
}

void EngineSimulation::Ask(const std::shared_ptr<Request>& request) {
  const RequestClass& kind = request->kind;
  RequestProfile profile;
  profile.prompt = request->prompt;
  profile.aim = kind.aim;
  profile.max_event_gap = kind.gap_aim;
  profile.elapsed = now_ - request->arrived_at;
  profile.time_remaining = kind.timeout;
  profile.urgency = kind.urgency;
  profile.account = kind.account;
  if (features_.output_estimates) {
    profile.expected_events =
        outputs_.Estimate(QueryOf(*request), engine_, now_).mean;
  }
  PlacementResult result;
  if (order_) {
    OrderedPlacement ordered =
        order_->PlaceInOrder(profile, engine_, Candidates(), now_, Tie());
    if (ordered.ask_again > absl::ZeroDuration()) {
      waiting_.emplace(now_ + ordered.ask_again, request);
      return;
    }
    result = std::move(ordered.result);
  } else {
    result = Place(profile, &engine_, Candidates(), now_, Tie(), features_);
  }
  if (!result.decision) {
    ++results_[kind.name].refused;
    return;
  }
  const auto work = WorkItemsFor(profile, &engine_, *result.decision, now_);
  request->item = work.front().second;
  request->target = result.decision->target.text();
  Submit(request, *result.decision);
}

void EngineSimulation::Submit(const std::shared_ptr<Request>& request,
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
    const Prefill prefill{request, tokens, tokens, request->item.prefill_time,
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

void EngineSimulation::StartPass(Target& target) {
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
  const auto index = static_cast<size_t>(&target - targets_.data());
  target.pass_ends = now_ + pass * slowdown_(index, now_);
}

void EngineSimulation::EmitEvent(const std::shared_ptr<Request>& request) {
  LearnFrom(*request);
  if (request->last_event == absl::InfinitePast()) {
    request->first_after = now_ - request->arrived_at;
  } else {
    request->longest_pause =
        std::max(request->longest_pause, now_ - request->last_event);
  }
  request->last_event = now_;
  if (--request->events_left > 0) {
    return;
  }
  ClassResult& result = results_[request->kind.name];
  if (request->first_after > request->kind.aim) {
    ++result.late_first;
  } else if (request->longest_pause > request->kind.gap_aim) {
    ++result.late_pause;
  } else if (now_ - request->arrived_at > request->kind.timeout) {
    ++result.late_end;
  } else {
    ++result.on_time;
  }
}

void EngineSimulation::EndPass(Target& target) {
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
        first.decoding.push_back(prefill.request);
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

void EngineSimulation::RunUntil(absl::Time until) {
  while (true) {
    const auto next = std::min_element(
        targets_.begin(), targets_.end(),
        [](const auto& a, const auto& b) { return a.pass_ends < b.pass_ends; });
    const absl::Time ask =
        waiting_.empty() ? absl::InfiniteFuture() : waiting_.begin()->first;
    if (std::min(ask, next->pass_ends) > until) {
      break;
    }
    if (ask < next->pass_ends) {
      const auto request = std::move(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
      now_ = ask;
      Ask(request);
      continue;
    }
    now_ = next->pass_ends;
    EndPass(*next);
  }
  if (until < absl::InfiniteFuture()) {
    now_ = until;
  }
}

void EngineSimulation::Run(const std::vector<RequestClass>& kinds,
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

void EngineSimulation::Drain() {
  RunUntil(absl::FromUnixSeconds(1000000));
}

}  // namespace umbertrail::dispatch
