#include "plain_routing.h"

#include <algorithm>
#include <array>
#include <memory>

namespace umbertrail::measure {
namespace {

// Runs on after the last arrival so that what was admitted can finish.
constexpr absl::Duration kTail = absl::Minutes(12);

class PlainRun {
 public:
  PlainRun(PlainPolicy policy,
           const std::vector<Job>& jobs,
           const EngineSpec& spec,
           int engines,
           uint64_t seed)
      : policy_(policy),
        jobs_(jobs),
        random_(MakeSeededRandom(seed)),
        results_(jobs.size()) {
    for (int i = 0; i < engines; ++i) {
      engines_.push_back(std::make_unique<EngineFake>(
          spec, "e" + std::to_string(i), false, &loop_));
    }
    for (auto& it : connections_) {
      it.resize(engines_.size());
    }
  }

  std::vector<JobResult> Run() {
    const absl::Time start = loop_.now();
    for (size_t i = 0; i < jobs_.size(); ++i) {
      loop_.At(start + jobs_[i].arrival, [this, i] { Send(i); });
    }
    loop_.RunUntil(start + jobs_.back().arrival + kTail);
    return results_;
  }

 private:
  void Send(size_t i) {
    const size_t router = random_->Below(kRouters);
    const size_t target = Pick(router);
    const absl::Time arrived = loop_.now();
    const Job& job = jobs_[i];
    EngineRun run;
    run.request = RequestId(std::to_string(i));
    run.prompt = job.prompt;
    run.output = job.output;
    run.max_output = job.max_output;
    if (policy_ == PlainPolicy::kTwoChoicesPriority) {
      run.priority = -static_cast<int>(core::ClassOf(Tokens(job.prompt)));
    }
    run.on_first_token = [this, i, arrived] {
      results_[i].first_token = loop_.now() + kHop - arrived;
    };
    run.on_done = [this, i, arrived, router, target] {
      --connections_[router][target];
      results_[i].total = loop_.now() + kHop - arrived;
      results_[i].finished = results_[i].total <= jobs_[i].time_limit;
    };
    run.on_broken = [] {};
    ++connections_[router][target];
    loop_.After(kHop, [this, target, run] { engines_[target]->Submit(run); });
  }

  size_t Pick(size_t router) {
    const size_t n = engines_.size();
    if (policy_ == PlainPolicy::kRoundRobin) {
      return next_[router]++ % n;
    }
    if (policy_ == PlainPolicy::kLeastConnections) {
      const auto& counts = connections_[router];
      const int least = *std::min_element(counts.begin(), counts.end());
      size_t at = random_->Below(n);
      while (counts[at] != least) {
        at = (at + 1) % n;
      }
      return at;
    }
    const size_t a = random_->Below(n);
    const size_t b = (a + 1 + random_->Below(n - 1)) % n;
    return Reported(a) <= Reported(b) ? a : b;
  }

  Tokens Reported(size_t target) const {
    return engines_[target]->Report().tokens_in_flight;
  }

  PlainPolicy policy_;
  const std::vector<Job>& jobs_;
  EventLoop loop_;
  std::unique_ptr<RandomSource> random_;
  std::vector<std::unique_ptr<EngineFake>> engines_;
  std::array<std::vector<int>, kRouters> connections_;
  std::array<size_t, kRouters> next_ = {};
  std::vector<JobResult> results_;
};

}  // namespace

std::vector<JobResult> RunPlain(PlainPolicy policy,
                                const std::vector<Job>& jobs,
                                const EngineSpec& spec,
                                int engines,
                                uint64_t seed) {
  return PlainRun(policy, jobs, spec, engines, seed).Run();
}

}  // namespace umbertrail::measure
