#include "engine_fake.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace umbertrail::measure {
namespace {

constexpr absl::Duration kSnapshotInterval = absl::Milliseconds(500);

int64_t MemoryOf(const EngineRun& run) {
  return run.prompt + run.max_output;
}

}  // namespace

double EngineSpec::PromptCost() const {
  return absl::ToDoubleSeconds(step_per_prompt_token + step / chunk);
}

double EngineSpec::OutputCost() const {
  return absl::ToDoubleSeconds(step_per_decode);
}

EngineFake::EngineFake(EngineSpec spec,
                       std::string name,
                       bool cold,
                       EventLoop* loop)
    : spec_(spec), name_(std::move(name)), loop_(loop), cold_(cold) {
  Snapshot();
}

void EngineFake::Submit(EngineRun run) {
  if (!up_) {
    loop_->After(absl::Milliseconds(1), run.on_broken);
    return;
  }
  tokens_in_flight_ += MemoryOf(run);
  if (cold_ && tokens_in_flight_ > spec_.cold_budget) {
    ++cold_overloads_;
  }
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const EngineRun& it) { return it.priority < run.priority; });
  waiting_.insert(place, std::move(run));
  Join();
  if (!stepping_) {
    Step();
  }
}

void EngineFake::Restart(absl::Duration down) {
  std::vector<std::function<void()>> broken;
  for (const EngineRun& it : waiting_) {
    broken.push_back(it.on_broken);
  }
  for (const Active& it : active_) {
    broken.push_back(it.run.on_broken);
  }
  waiting_.clear();
  active_.clear();
  memory_used_ = 0;
  tokens_in_flight_ = 0;
  work_done_ = 0;
  up_ = false;
  stepping_ = false;
  cold_ = true;
  const int64_t boot = ++boot_;
  for (const auto& run : broken) {
    loop_->After(absl::Milliseconds(1), run);
  }
  loop_->After(down, [this, boot] {
    if (boot == boot_) {
      up_ = true;
    }
  });
}

core::TargetReport EngineFake::Report() const {
  const absl::Time wanted = loop_->now() - spec_.report_lag;
  const Timed* best = &snapshots_.front();
  for (const Timed& it : snapshots_) {
    if (it.at <= wanted) {
      best = &it;
    }
  }
  core::TargetReport report = best->report;
  report.age = loop_->now() - best->at;
  return report;
}

void EngineFake::Snapshot() {
  core::TargetReport report;
  report.boot = BootId(name_ + "/" + std::to_string(boot_));
  report.state = cold_ ? core::TargetState::kCold : core::TargetState::kWarm;
  report.model = ModelId("m");
  report.running = static_cast<int>(active_.size());
  report.tokens_in_flight = Tokens(tokens_in_flight_);
  report.memory_used = Tokens(memory_used_);
  report.memory_total = Tokens(spec_.memory);
  for (const Active& it : active_) {
    report.allocations.push_back(
        {it.run.holder, it.run.request, Tokens(MemoryOf(it.run))});
  }
  for (const EngineRun& it : waiting_) {
    report.allocations.push_back({it.holder, it.request, Tokens(MemoryOf(it))});
  }
  if (up_) {
    snapshots_.push_back({loop_->now(), std::move(report)});
  }
  while (snapshots_.size() > 1 &&
         snapshots_[1].at <= loop_->now() - spec_.report_lag) {
    snapshots_.pop_front();
  }
  loop_->After(kSnapshotInterval, [this] { Snapshot(); });
}

void EngineFake::Join() {
  while (!waiting_.empty()) {
    const int64_t memory = MemoryOf(waiting_.front());
    if (memory_used_ + memory > spec_.memory) {
      return;
    }
    memory_used_ += memory;
    active_.push_back({std::move(waiting_.front())});
    waiting_.pop_front();
  }
}

std::list<EngineFake::Active>::iterator EngineFake::NextPrompt() {
  auto best = active_.end();
  for (auto it = active_.begin(); it != active_.end(); ++it) {
    const bool waits = it->computed < it->run.prompt;
    if (waits &&
        (best == active_.end() || it->run.priority > best->run.priority)) {
      best = it;
    }
  }
  return best;
}

void EngineFake::Step() {
  stepping_ = !active_.empty();
  if (!stepping_) {
    return;
  }
  int64_t decoding = 0;
  for (const Active& it : active_) {
    decoding += it.computed >= it.run.prompt ? 1 : 0;
  }
  int64_t left = spec_.chunk;
  while (left > 0) {
    const auto next = NextPrompt();
    if (next == active_.end()) {
      break;
    }
    const int64_t n = std::min(left, next->run.prompt - next->computed);
    next->computed += n;
    left -= n;
  }
  const int64_t computed = spec_.chunk - left;
  const absl::Duration time = spec_.step + spec_.step_per_decode * decoding +
                              spec_.step_per_prompt_token * computed;
  work_done_ += computed + decoding;
  const int64_t boot = boot_;
  loop_->After(time, [this, boot] {
    if (boot == boot_) {
      EndStep();
    }
  });
}

void EngineFake::EndStep() {
  const int64_t boot = boot_;
  std::vector<std::function<void()>> calls;
  for (auto it = active_.begin(); it != active_.end();) {
    if (it->computed < it->run.prompt) {
      ++it;
      continue;
    }
    ++it->generated;
    if (it->generated == 1) {
      calls.push_back(it->run.on_first_token);
    }
    if (it->generated < it->run.output) {
      ++it;
      continue;
    }
    calls.push_back(it->run.on_done);
    memory_used_ -= MemoryOf(it->run);
    tokens_in_flight_ -= MemoryOf(it->run);
    it = active_.erase(it);
  }
  cold_ = cold_ && work_done_ < spec_.warm_after;
  Join();
  for (const auto& call : calls) {
    call();
  }
  if (boot == boot_) {
    Step();
  }
}

}  // namespace umbertrail::measure
