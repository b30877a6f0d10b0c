#include "owner_routing.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "plain_routing.h"
#include "static_fleet.h"
#include "umbertrail/core/owner/owner_table.h"

namespace umbertrail::measure {
namespace {

using core::AdmitDecision;

constexpr absl::Duration kTail = absl::Minutes(12);
constexpr absl::Duration kWarmUp = absl::Seconds(5);
constexpr absl::Duration kHeartbeat = absl::Seconds(1);
// First tokens sooner than this are as good as one another.
constexpr absl::Duration kFirstTokenAim = absl::Milliseconds(250);
// As kNearMargin and kNearPart of flow_probe.cc.
constexpr absl::Duration kNearMargin = absl::Milliseconds(10);
constexpr int kNearPart = 20;
// Long prompts gather on few targets while these finish them within this part
// of their time; a larger share of it makes reviews wait for one another.
constexpr int kGatherPart = 16;
// A refused request asks again after this while it has time.
constexpr absl::Duration kAskAgain = absl::Milliseconds(500);

class OwnedRun {
 public:
  OwnedRun(const core::OwnerConfig& config,
           const std::vector<Job>& jobs,
           const EngineSpec& spec,
           int engines,
           uint64_t seed)
      : classes_(config.length_classes),
        jobs_(jobs),
        fleet_(spec, engines),
        random_(MakeSeededRandom(seed)),
        table_(config, self_, &fleet_, random_.get(), &mutations_),
        flights_(jobs.size()),
        results_(jobs.size()) {
    for (int i = 0; i < engines; ++i) {
      engines_.push_back(std::make_unique<EngineFake>(
          spec, "e" + std::to_string(i), false, &loop_));
    }
  }

  std::vector<JobResult> Run() {
    Tick();
    Beat();
    const absl::Time start = loop_.now() + kWarmUp;
    for (size_t i = 0; i < jobs_.size(); ++i) {
      loop_.At(start + jobs_[i].arrival, [this, i] {
        flights_[i].arrived = loop_.now();
        // The probe travels to the owners and back.
        loop_.After(2 * kHop, [this, i] { Ask(i); });
      });
    }
    loop_.RunUntil(start + jobs_.back().arrival + kTail);
    return results_;
  }

 private:
  struct Flight {
    absl::Time arrived;
    absl::Time started;
    uint32_t attempt = 0;
    size_t target = 0;
    bool running = false;
    bool ended = false;
    int64_t generated = 0;
    absl::Duration first_token;
  };

  absl::Duration TimeLeft(size_t i) const {
    return jobs_[i].time_limit - (loop_.now() - flights_[i].arrived);
  }

  void Ask(size_t i) {
    Flight& flight = flights_[i];
    if (TimeLeft(i) <= absl::ZeroDuration()) {
      return;
    }
    const std::optional<size_t> best = Probe(i);
    if (!best) {
      loop_.After(kAskAgain, [this, i] { Ask(i); });
      return;
    }
    flight.target = *best;
    ++flight.attempt;
    // The request travels to the owner, and the answer back.
    loop_.After(kHop, [this, i] { Admit(i, false); });
  }

  // The receiving instance's rule. Targets that meet the aim for the first
  // token are ranked by their finish; the others come after them, by their
  // first token.
  static absl::Duration CostOf(const core::ProbeReply& reply, bool is_long) {
    const bool meets = reply.first_token <= kFirstTokenAim;
    return is_long || meets ? reply.finish
                            : absl::Hours(24) + reply.first_token;
  }

  // Long prompts gather on the first targets that have time for them.
  std::optional<size_t> Probe(size_t i) {
    core::ProbeRequest probe;
    probe.model = ModelId("m");
    probe.prompt = Tokens(jobs_[i].prompt);
    probe.max_output = Tokens(jobs_[i].max_output);
    probe.time_left = TimeLeft(i);
    const bool is_long =
        classes_ && core::ClassOf(probe.prompt) == core::LengthClass::kLong;
    std::vector<Choice> able;
    for (size_t target = 0; target < engines_.size(); ++target) {
      probe.target = fleet_.targets()[target].id;
      const core::ProbeReply reply = table_.OnProbe(loop_.now(), probe);
      if (!reply.can_serve) {
        continue;
      }
      if (is_long && reply.finish <= probe.time_left / kGatherPart) {
        return target;
      }
      able.push_back({target, CostOf(reply, is_long), reply.finish});
    }
    return NearBest(able, is_long);
  }

  struct Choice {
    size_t target = 0;
    absl::Duration cost;
    absl::Duration finish;
  };

  // One of the choices close to the least cost, at random.
  std::optional<size_t> NearBest(const std::vector<Choice>& able,
                                 bool is_long) {
    const auto best = std::min_element(
        able.begin(), able.end(),
        [](const Choice& a, const Choice& b) { return a.cost < b.cost; });
    if (best == able.end()) {
      return std::nullopt;
    }
    const absl::Duration part =
        is_long ? absl::ZeroDuration() : best->finish / kNearPart;
    const absl::Duration most = best->cost + kNearMargin + part;
    std::vector<size_t> near;
    for (const Choice& it : able) {
      if (it.cost <= most) {
        near.push_back(it.target);
      }
    }
    return near[random_->Below(near.size())];
  }

  void Admit(size_t i, bool claim) {
    const Flight& flight = flights_[i];
    core::AdmitRequest request;
    request.request = RequestId(std::to_string(i));
    request.attempt = AttemptNumber(flight.attempt);
    request.target = fleet_.targets()[flight.target].id;
    request.account = ClientAccountId(std::to_string(jobs_[i].account));
    request.model = ModelId("m");
    request.prompt = Tokens(jobs_[i].prompt);
    request.max_output = Tokens(jobs_[i].max_output);
    request.time_left = TimeLeft(i);
    request.time_total = jobs_[i].time_limit;
    request.claim = claim;
    const auto reply = table_.OnAdmit(loop_.now(), self_, request);
    Wake();
    if (reply.decision == AdmitDecision::kGranted) {
      loop_.After(2 * kHop, [this, i] { Start(i); });
    } else if (reply.decision == AdmitDecision::kRefused) {
      loop_.After(kHop + kAskAgain, [this, i] { Ask(i); });
    }
  }

  void Start(size_t i) {
    Flight& flight = flights_[i];
    flight.started = loop_.now();
    flight.running = true;
    const Job& job = jobs_[i];
    EngineRun run;
    run.holder = self_;
    run.request = RequestId(std::to_string(i));
    run.prompt = job.prompt;
    run.output = job.output;
    run.max_output = job.max_output;
    run.priority =
        classes_ ? -static_cast<int>(core::ClassOf(Tokens(job.prompt))) : 0;
    run.on_first_token = [this, i] {
      flights_[i].generated = 1;
      flights_[i].first_token = loop_.now() - flights_[i].started;
      results_[i].first_token = loop_.now() + kHop - flights_[i].arrived;
      loop_.After(2 * kHop, [this, i] { TellFirstToken(i); });
    };
    run.on_done = [this, i] { loop_.After(2 * kHop, [this, i] { End(i); }); };
    run.on_broken = [] {};
    engines_[flight.target]->Submit(run);
  }

  void End(size_t i) {
    Flight& flight = flights_[i];
    flight.running = false;
    flight.ended = true;
    results_[i].total = loop_.now() - kHop - flight.arrived;
    results_[i].finished = results_[i].total <= jobs_[i].time_limit;
    core::AttemptSettled settled;
    settled.request = RequestId(std::to_string(i));
    settled.attempt = AttemptNumber(flight.attempt);
    settled.target = fleet_.targets()[flight.target].id;
    settled.first_token = flight.first_token;
    settled.total = loop_.now() - 2 * kHop - flight.started;
    settled.generated = Tokens(jobs_[i].output);
    core::Actions actions;
    table_.OnSettled(loop_.now(), self_, settled, &actions);
    Carry(actions);
    Wake();
  }

  core::AttemptsAlive::Entry AliveEntry(size_t i) const {
    return {RequestId(std::to_string(i)), AttemptNumber(flights_[i].attempt),
            fleet_.targets()[flights_[i].target].id,
            Tokens(jobs_[i].prompt + jobs_[i].max_output),
            Tokens(flights_[i].generated)};
  }

  void TellFirstToken(size_t i) {
    if (flights_[i].running) {
      table_.OnAlive(loop_.now(), self_, {{AliveEntry(i)}});
      Wake();
    }
  }

  void Beat() {
    core::AttemptsAlive alive;
    for (size_t i = first_open_; i < flights_.size(); ++i) {
      if (flights_[i].arrived == absl::Time()) {
        break;
      }
      if (i == first_open_ && flights_[i].ended) {
        ++first_open_;
      }
      if (flights_[i].running) {
        alive.attempts.push_back(AliveEntry(i));
      }
    }
    table_.OnAlive(loop_.now(), self_, alive);
    Wake();
    loop_.After(kHeartbeat, [this] { Beat(); });
  }

  void Carry(const core::Actions& actions) {
    for (const core::Action& action : actions) {
      if (const auto* poll = std::get_if<core::PollTarget>(&action)) {
        const TargetId target = poll->target;
        loop_.After(2 * kHop, [this, target] { Report(target); });
      }
      const auto* send = std::get_if<core::SendPeer>(&action);
      if (send == nullptr) {
        continue;
      }
      if (const auto* it = std::get_if<core::AdmitReady>(&send->payload)) {
        const size_t i = std::stoul(it->request.text());
        loop_.After(2 * kHop, [this, i] { Admit(i, true); });
      }
      if (const auto* it = std::get_if<core::AdmitReply>(&send->payload)) {
        const size_t i = std::stoul(it->request.text());
        loop_.After(kHop, [this, i] { Ask(i); });
      }
    }
  }

  void Report(const TargetId& target) {
    const size_t i = std::stoul(target.text().substr(1));
    core::Actions actions;
    table_.OnReport(loop_.now(), target, engines_[i]->Report(), &actions);
    Carry(actions);
    Wake();
  }

  void Tick() {
    core::Actions actions;
    table_.OnTick(loop_.now(), &actions);
    Carry(actions);
    Wake();
  }

  void Wake() {
    const absl::Time next = table_.NextWakeup();
    if (next < wake_at_ || wake_at_ <= loop_.now()) {
      wake_at_ = std::max(next, loop_.now());
      const absl::Time at = wake_at_;
      loop_.At(at, [this, at] {
        if (wake_at_ == at) {
          wake_at_ = absl::InfiniteFuture();
          Tick();
        }
      });
    }
  }

  bool classes_;
  const std::vector<Job>& jobs_;
  EventLoop loop_;
  InstanceRef self_{InstanceId("10.0.0.1:1"), Incarnation(1)};
  StaticFleet fleet_;
  core::Mutations mutations_;
  std::unique_ptr<RandomSource> random_;
  core::OwnerTable table_;
  std::vector<std::unique_ptr<EngineFake>> engines_;
  std::vector<Flight> flights_;
  size_t first_open_ = 0;
  std::vector<JobResult> results_;
  absl::Time wake_at_ = absl::InfiniteFuture();
};

}  // namespace

std::vector<JobResult> RunOwned(const core::OwnerConfig& config,
                                const std::vector<Job>& jobs,
                                const EngineSpec& spec,
                                int engines,
                                uint64_t seed) {
  return OwnedRun(config, jobs, spec, engines, seed).Run();
}

}  // namespace umbertrail::measure
