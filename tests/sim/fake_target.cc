#include "fake_target.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace umbertrail::sim {
namespace {

constexpr int64_t kPartTokens = 4;
constexpr absl::Duration kServiceTime = absl::Milliseconds(30);
constexpr absl::Duration kPoisonDelay = absl::Milliseconds(40);
constexpr absl::Duration kReportLag = absl::Milliseconds(400);
constexpr absl::Duration kRestart = absl::Seconds(2);

Tokens CostOf(const core::StartAttempt& start) {
  return start.spec.prompt + start.spec.max_output;
}

}  // namespace

FakeTarget::FakeTarget(Traits traits,
                       Scheduler* scheduler,
                       Reference* reference,
                       RandomSource* random)
    : traits_(std::move(traits)),
      scheduler_(scheduler),
      reference_(reference),
      random_(random) {
  Boot();
}

void FakeTarget::Boot() {
  ++boot_;
  const bool first = boot_ == 1;
  cold_ = traits_.info.kind == core::TargetKind::kEngine &&
          !(first && traits_.starts_warm);
  done_ = Tokens(0);
  allocations_.clear();
  lagged_at_ = absl::InfinitePast();
}

Tokens FakeTarget::InFlight() const {
  Tokens sum;
  for (const auto& [id, run] : runs_) {
    sum += CostOf(run.start);
  }
  return sum;
}

void FakeTarget::Start(const core::StartAttempt& start,
                       const InstanceRef& holder,
                       Reply reply) {
  const uint64_t id = next_run_++;
  Run run;
  run.start = start;
  run.holder = holder;
  run.reply = std::move(reply);
  run.sent = start.resume_offset.value();
  run.total = start.spec.max_output.value();
  runs_.emplace(id, std::move(run));
  const bool service = start.spec.kind == core::RequestKind::kServiceCall;
  const bool once =
      start.spec.ticket.has_value() || !start.spec.idempotency_key.empty();
  const std::string payload = start.body != nullptr ? *start.body : "";
  if (once) {
    reference_->RanFiling(scheduler_->now(), payload);
  } else {
    reference_->Ran(scheduler_->now(), payload);
  }
  if (service) {
    scheduler_->After(kServiceTime, [this, id] { RunService(id); });
    return;
  }
  if (cold_ && InFlight() > traits_.cold_budget) {
    ++overloads_;
    reference_->Violated(
        scheduler_->now(),
        absl::StrCat("cold target over its budget: ", traits_.info.id.text(),
                     " holds ", InFlight().value()));
  }
  allocations_.push_back({holder, start.spec.id, CostOf(start)});
  if ((start.spec.fingerprint.value() & kPoisonBit) != 0) {
    const Fingerprint fingerprint = start.spec.fingerprint;
    scheduler_->After(kPoisonDelay, [this, id, fingerprint, holder] {
      if (Alive(id)) {
        deaths_.push_back({fingerprint, scheduler_->now(), holder});
        Die(kRestart);
      }
    });
    return;
  }
  const double prompt = static_cast<double>(start.spec.prompt.value());
  const auto prefill = absl::Seconds(prompt / traits_.prefill_rate);
  scheduler_->After(absl::Milliseconds(5), [this, id] { Began(id); });
  scheduler_->After(prefill + absl::Milliseconds(10), [this, id] { Emit(id); });
}

void FakeTarget::Began(uint64_t run) {
  if (Alive(run) && !silent()) {
    const Run& it = runs_.at(run);
    it.reply(core::AttemptStarted{it.start.spec.id, it.start.attempt});
  }
}

void FakeTarget::RunService(uint64_t run) {
  if (!Alive(run)) {
    return;
  }
  const Run it = runs_.at(run);
  runs_.erase(run);
  if (!silent()) {
    it.reply(core::AttemptDone{it.start.spec.id, it.start.attempt, Tokens(0),
                               it.start.body});
  }
}

void FakeTarget::Emit(uint64_t run) {
  if (!Alive(run)) {
    return;
  }
  Run& it = runs_.at(run);
  if (silent()) {
    // The stream is lost track of for good; the receiver must notice.
    const RequestId request = it.start.spec.id;
    const AttemptNumber attempt = it.start.attempt;
    const Reply reply = it.reply;
    scheduler_->After(it.start.progress_limit, [reply, request, attempt] {
      reply(core::AttemptFailed{request, attempt, core::AttemptFailure::kSilent,
                                "no progress"});
    });
    return;
  }
  if (it.sent >= it.total) {
    End(run, true);
    return;
  }
  const int64_t n = std::min(kPartTokens, it.total - it.sent);
  const std::string& name = *it.start.body;
  it.reply(core::AttemptChunk{it.start.spec.id, it.start.attempt,
                              Tokens(it.sent), Tokens(n),
                              ExpectedText(name, it.sent, n)});
  it.sent += n;
  const auto pace = absl::Seconds(static_cast<double>(n) / traits_.decode_rate);
  scheduler_->After(pace, [this, run] { Emit(run); });
}

void FakeTarget::End(uint64_t run, bool whole) {
  const Run it = runs_.at(run);
  runs_.erase(run);
  Free(it.holder, it.start.spec.id);
  done_ += CostOf(it.start);
  cold_ = cold_ && done_ < traits_.warm_after;
  if (whole) {
    it.reply(core::AttemptDone{it.start.spec.id, it.start.attempt,
                               Tokens(it.total), nullptr});
  }
}

void FakeTarget::Cancel(const InstanceRef& holder,
                        const RequestId& request,
                        AttemptNumber attempt) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const bool same = it->second.holder == holder &&
                      it->second.start.spec.id == request &&
                      it->second.start.attempt == attempt;
    it = same ? runs_.erase(it) : ++it;
  }
  Free(holder, request);
}

void FakeTarget::Free(const InstanceRef& holder, const RequestId& request) {
  allocations_.erase(
      std::remove_if(allocations_.begin(), allocations_.end(),
                     [&](const core::Allocation& it) {
                       return it.holder == holder &&
                              (request.empty() || it.request == request);
                     }),
      allocations_.end());
  if (!request.empty()) {
    return;
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = it->second.holder == holder ? runs_.erase(it) : ++it;
  }
}

void FakeTarget::Disconnect(const InstanceRef& holder) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = it->second.holder == holder ? runs_.erase(it) : ++it;
  }
}

core::TargetReport FakeTarget::Report() {
  // What it says is up to kReportLag old, except for what it is.
  if (scheduler_->now() - lagged_at_ >= kReportLag) {
    lagged_.running = static_cast<int>(runs_.size());
    lagged_.tokens_in_flight = InFlight();
    lagged_.memory_used = Tokens(0);
    for (const core::Allocation& it : allocations_) {
      lagged_.memory_used += it.tokens;
    }
    lagged_.allocations = allocations_;
    lagged_at_ = scheduler_->now();
  }
  core::TargetReport report = lagged_;
  report.boot = BootId(absl::StrCat(traits_.info.id.text(), "#", boot_));
  report.age = scheduler_->now() - lagged_at_;
  report.state = leaving_ ? core::TargetState::kLeaving
                 : cold_  ? core::TargetState::kCold
                          : core::TargetState::kWarm;
  report.memory_total = traits_.memory;
  report.model = order_.model;
  report.version = order_.version;
  report.adapters = order_.adapters;
  report.fence = order_.fence;
  return report;
}

core::OrderAnswered FakeTarget::TakeOrder(const core::Order& order) {
  core::OrderAnswered answer;
  answer.target = traits_.info.id;
  answer.fence = order.fence;
  const bool old = order.fence < order_.fence;
  if (old && traits_.checks_fencing) {
    answer.result = core::OrderAnswered::Result::kOldFence;
    return answer;
  }
  if (old) {
    reference_->Violated(
        scheduler_->now(),
        absl::StrCat("order went backwards on ", traits_.info.id.text()));
  }
  order_ = order;
  answer.result = core::OrderAnswered::Result::kAccepted;
  return answer;
}

void FakeTarget::Die(absl::Duration down_for) {
  std::map<uint64_t, Run> runs;
  runs.swap(runs_);
  down_until_ = scheduler_->now() + down_for;
  Boot();
  for (const auto& [id, run] : runs) {
    run.reply(core::AttemptFailed{run.start.spec.id, run.start.attempt,
                                  core::AttemptFailure::kBroken, "died"});
  }
}

void FakeTarget::TurnCold() {
  if (traits_.info.kind != core::TargetKind::kEngine) {
    return;
  }
  // It restarted between two reports without refusing a connection.
  Die(absl::ZeroDuration());
  ++cold_starts_;
}

void FakeTarget::GoSilent(absl::Duration silent_for) {
  silent_until_ = scheduler_->now() + silent_for;
}

void FakeTarget::Leave() {
  leaving_ = true;
}

}  // namespace umbertrail::sim
