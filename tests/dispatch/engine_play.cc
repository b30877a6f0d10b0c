#include "engine_play.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {

struct EnginePlay::Request {
  PlayedKind kind;
  Tokens prompt;
  absl::Time came;
  std::string target;
  WorkItem item;
  int parts_left = 0;
  int events_left = 0;
  absl::Time last_event = absl::InfinitePast();
  absl::Duration first_after;
  absl::Duration longest_pause = absl::ZeroDuration();
};

EnginePlay::EnginePlay(const EngineModel& engine, int targets, uint64_t seed)
    : engine_(engine), random_(seed) {
  for (int i = 0; i < targets; ++i) {
    Target target;
    target.id = std::to_string(i);
    targets_.push_back(std::move(target));
  }
}

double EnginePlay::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<WorkItem> EnginePlay::WorkAt(const Target& target) const {
  std::vector<WorkItem> work;
  for (const auto& request : target.writing) {
    work.push_back(request->item);
    work.back().reading = false;
  }
  const auto add = [&](const Reading& reading) {
    WorkItem item = reading.request->item;
    item.helping = reading.helping;
    work.push_back(item);
  };
  std::for_each(target.waiting.begin(), target.waiting.end(), add);
  std::for_each(target.read_now.begin(), target.read_now.end(), add);
  return work;
}

std::vector<Candidate> EnginePlay::Candidates() const {
  std::vector<Candidate> candidates;
  for (const Target& target : targets_) {
    Candidate candidate;
    candidate.id = TargetId(target.id);
    candidate.slots = engine_.slots;
    candidate.near = true;
    candidate.work = WorkAt(target);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void EnginePlay::Arrive(const PlayedKind& kind) {
  auto request = std::make_shared<Request>();
  request->kind = kind;
  std::lognormal_distribution<double> size(
      std::log(kind.mean_prompt) - kind.spread * kind.spread / 2, kind.spread);
  request->prompt =
      Tokens(static_cast<int64_t>(std::min(size(random_), kind.most_prompt)));
  request->came = now_;
  request->events_left =
      1 + std::poisson_distribution<int>(kind.mean_events - 1)(random_);
  ++results_[kind.name].asked;
  Shape shape;
  shape.prompt = request->prompt;
  shape.aim = kind.aim;
  shape.gap_aim = kind.gap_aim;
  shape.left = absl::Seconds(15);
  const PlacementResult result =
      Place(shape, &engine_, Candidates(), now_, Uniform());
  if (!result.placed) {
    ++results_[kind.name].refused;
    return;
  }
  const auto work = WorkOf(shape, &engine_, *result.placed, now_);
  request->item = work.front().second;
  request->target = result.placed->target.text();
  Submit(request, *result.placed);
}

void EnginePlay::Submit(const std::shared_ptr<Request>& request,
                        const Placed& placed) {
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
    const Reading reading{request, tokens, tokens, request->item.read_time,
                          helps};
    // Engines read parts of joint prompts ahead of others.
    if (request->parts_left > 1) {
      target.waiting.push_front(reading);
    } else {
      target.waiting.push_back(reading);
    }
    if (target.pass_ends == absl::InfiniteFuture()) {
      StartPass(target);
    }
  }
}

void EnginePlay::StartPass(Target& target) {
  if (target.waiting.empty() && target.writing.empty()) {
    target.pass_ends = absl::InfiniteFuture();
    return;
  }
  const auto writers = static_cast<int>(target.writing.size());
  const int steps = writers > 0 ? engine_.steps_per_pass : 1;
  double context = 0;
  for (const auto& request : target.writing) {
    context += static_cast<double>(request->prompt.value());
  }
  absl::Duration pass = absl::Milliseconds(
      steps * (engine_.step_ms + engine_.writer_ms * writers +
               engine_.context_ms_per_1k * context / 1000));
  double room = static_cast<double>(engine_.chunk_tokens) * steps;
  int slots = engine_.slots - writers;
  for (auto it = target.waiting.begin();
       it != target.waiting.end() && room > 0 && slots > 0;) {
    const double tokens = std::min(room, it->tokens_left);
    pass += it->read_time * (tokens / it->tokens);
    it->tokens_left -= tokens;
    room -= tokens;
    slots -= it->helping ? 0 : 1;
    if (it->tokens_left > 0) {
      break;
    }
    target.read_now.push_back(*it);
    it = target.waiting.erase(it);
  }
  target.pass_ends = now_ + pass;
}

void EnginePlay::GiveEvent(const std::shared_ptr<Request>& request) {
  if (request->last_event == absl::InfinitePast()) {
    request->first_after = now_ - request->came;
  } else {
    request->longest_pause =
        std::max(request->longest_pause, now_ - request->last_event);
  }
  request->last_event = now_;
  if (--request->events_left > 0) {
    return;
  }
  PlayedResult& result = results_[request->kind.name];
  if (request->first_after > request->kind.aim) {
    ++result.late_first;
  } else if (request->longest_pause > request->kind.gap_aim) {
    ++result.late_pause;
  } else {
    ++result.on_time;
  }
}

void EnginePlay::EndPass(Target& target) {
  for (const auto& request : target.writing) {
    GiveEvent(request);
  }
  const auto read = std::move(target.read_now);
  target.read_now.clear();
  for (const Reading& reading : read) {
    if (--reading.request->parts_left > 0) {
      continue;
    }
    for (Target& first : targets_) {
      if (first.id == reading.request->target) {
        GiveEvent(reading.request);
        first.writing.push_back(reading.request);
        if (first.pass_ends == absl::InfiniteFuture()) {
          StartPass(first);
        }
      }
    }
  }
  target.writing.erase(
      std::remove_if(
          target.writing.begin(), target.writing.end(),
          [](const auto& request) { return request->events_left <= 0; }),
      target.writing.end());
  StartPass(target);
}

void EnginePlay::PlayUntil(absl::Time until) {
  while (true) {
    const auto next = std::min_element(
        targets_.begin(), targets_.end(),
        [](const auto& a, const auto& b) { return a.pass_ends < b.pass_ends; });
    if (next->pass_ends > until) {
      break;
    }
    now_ = next->pass_ends;
    EndPass(*next);
  }
  if (until < absl::InfiniteFuture()) {
    now_ = until;
  }
}

void EnginePlay::Run(const std::vector<PlayedKind>& kinds,
                     absl::Duration length) {
  double per_s = 0;
  for (const PlayedKind& kind : kinds) {
    per_s += kind.per_s;
  }
  const absl::Time end = now_ + length;
  while (true) {
    const absl::Time next =
        now_ + absl::Seconds(-std::log(1 - Uniform()) / per_s);
    if (next >= end) {
      break;
    }
    PlayUntil(next);
    double pick = Uniform() * per_s;
    for (const PlayedKind& kind : kinds) {
      pick -= kind.per_s;
      if (pick <= 0) {
        Arrive(kind);
        break;
      }
    }
  }
  PlayUntil(end);
}

void EnginePlay::Drain() {
  PlayUntil(absl::FromUnixSeconds(1000000));
}

}  // namespace umbertrail::dispatch
