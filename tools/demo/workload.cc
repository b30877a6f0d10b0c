#include "demo/workload.h"

#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "demo/filing.h"
#include "standins/answer_text.h"
#include "umbertrail/base.h"

namespace umbertrail::demo {
namespace {

// One stream of requests of like length.
struct LengthPlan {
  const char* name;
  int threads;
  int64_t shortest;
  int64_t longest;
  int64_t max_tokens;
  absl::Duration pause;
  absl::Duration time_limit;
};

const LengthPlan kPlans[] = {
    {"1: 1 k to 4 k", 6, 1000, 4000, 40, absl::Milliseconds(100),
     absl::Seconds(10)},
    {"2: 8 k to 60 k", 3, 8000, 60000, 60, absl::Milliseconds(300),
     absl::Seconds(20)},
    {"3: 100 k to 400 k", 2, 100000, 400000, 80, absl::Seconds(1),
     absl::Seconds(40)},
    {"4: 1 M", 1, 1000000, 1000000, 100, absl::Seconds(3), absl::Seconds(50)},
};

constexpr int kMaxTries = 12;
constexpr absl::Duration kRetryPause = absl::Milliseconds(400);
constexpr int kFilingThreads = 2;
constexpr absl::Duration kFilingPause = absl::Milliseconds(150);
// One in so many filings is sent again through another entry.
constexpr uint64_t kResendOneIn = 3;
constexpr int64_t kOverheadPromptTokens = 1000;
constexpr int64_t kOverheadMaxTokens = 10;
constexpr absl::Duration kOverheadLimit = absl::Seconds(10);

// A prompt that no other request has, so that no cache holds it.
Prompt MakePrompt(RandomSource& random, int64_t tokens, int64_t max_tokens) {
  Prompt prompt;
  prompt.tokens = tokens;
  prompt.max_tokens = max_tokens;
  prompt.text = absl::StrCat(absl::Hex(random.Next(), absl::kZeroPad16), " ");
  const auto bytes = static_cast<size_t>(tokens * standin::kBytesPerToken);
  prompt.text.resize(bytes, 'a');
  return prompt;
}

// One thread's random source and its choice of entries and accounts.
class Chooser {
 public:
  Chooser(const WorkloadSettings& settings, uint64_t seed)
      : settings_(settings), random_(MakeSeededRandom(seed)) {}

  RandomSource& random() { return *random_; }
  const std::string& Entry() { return Any(settings_.entries); }
  const Account& AnyAccount() { return Any(settings_.accounts); }

 private:
  template <typename Element>
  const Element& Any(const std::vector<Element>& from) {
    return from[random_->Below(from.size())];
  }

  const WorkloadSettings& settings_;
  const std::unique_ptr<RandomSource> random_;
};

// Completions may be repeated: sends one again until it is answered.
void RunRequest(const WorkloadSettings& settings,
                const LengthPlan& plan,
                Chooser& choose,
                Tally& tally) {
  const auto spread = static_cast<uint64_t>(plan.longest - plan.shortest + 1);
  const int64_t tokens =
      plan.shortest + static_cast<int64_t>(choose.random().Below(spread));
  const Prompt prompt = MakePrompt(choose.random(), tokens, plan.max_tokens);
  const Account& account = choose.AnyAccount();
  for (int n = 1;; ++n) {
    const TryResult result = Complete(choose.Entry(), account, settings.model,
                                      prompt, plan.time_limit);
    const bool answered =
        result.end == TryEnd::kComplete || result.end == TryEnd::kWrong;
    if (answered || n == kMaxTries) {
      tally.AddRequest(plan.name, result);
      return;
    }
    tally.AddRetry(plan.name, result);
    absl::SleepFor(kRetryPause);
  }
}

// Sends a filing again with the same ticket through another entry.
void Resend(const FilingCall& filing,
            const Account& account,
            const std::string& ticket,
            const std::string& first_answer,
            Chooser& choose,
            FilingTally& counts) {
  ++counts.resent;
  const FilingResult again = Submit(choose.Entry(), account, filing, ticket);
  if (again.end == TryEnd::kComplete && again.answer != first_answer) {
    ++counts.changed;
  }
}

// Whether the same ticket may have another answer elsewhere: nothing came back,
// or the instance was leaving and could not look.
bool MaySubmitAgain(const FilingResult& result) {
  switch (result.end) {
    case TryEnd::kNoAnswer:
    case TryEnd::kCut:
      return true;
    case TryEnd::kRefused:
      return result.reason == "stopping" && result.ran == "unknown";
    case TryEnd::kComplete:
    case TryEnd::kWrong:
      return false;
  }
  return false;
}

// Submits one ticket until it has its answer: a ticket may be submitted any
// number of times and runs at most once.
FilingResult SubmitUntilAnswered(const FilingCall& filing,
                                 const Account& account,
                                 const std::string& ticket,
                                 Chooser& choose) {
  FilingResult result;
  for (int n = 0; n < kMaxTries; ++n) {
    result = Submit(choose.Entry(), account, filing, ticket);
    if (!MaySubmitAgain(result)) {
      break;
    }
    absl::SleepFor(kRetryPause);
  }
  return result;
}

// Counts the last result of a filing that is not complete.
void CountUnfinished(const FilingResult& last, FilingTally& counts) {
  if (last.end != TryEnd::kRefused) {
    counts.lost = 1;
    return;
  }
  ++counts.reasons[last.reason + ", ran: " + last.ran];
  (last.ran == "no" ? counts.not_run : counts.in_doubt) = 1;
}

// One filing; it is sent again under a new ticket only after a definite
// `ran: no`.
FilingTally RunFiling(const WorkloadSettings& settings, Chooser& choose) {
  FilingTally counts;
  counts.sent = 1;
  const FilingCall filing{settings.service, settings.call,
                          absl::StrCat("tally ", choose.random().Next())};
  const Account& account = choose.AnyAccount();
  FilingResult last;
  last.end = TryEnd::kRefused;
  last.reason = "no ticket";
  last.ran = "no";
  for (int n = 0; n < kMaxTries; ++n) {
    const auto ticket = AskTicket(choose.Entry(), account, filing);
    if (ticket.has_value()) {
      last = SubmitUntilAnswered(filing, account, *ticket, choose);
    }
    if (last.end == TryEnd::kComplete) {
      counts.complete = 1;
      if (choose.random().Below(kResendOneIn) == 0) {
        Resend(filing, account, *ticket, last.answer, choose, counts);
      }
      return counts;
    }
    if (last.end != TryEnd::kRefused || last.ran != "no") {
      break;
    }
    absl::SleepFor(kRetryPause);
  }
  CountUnfinished(last, counts);
  return counts;
}

}  // namespace

void RunWorkload(const WorkloadSettings& settings, Tally& tally) {
  const absl::Time end = absl::Now() + settings.time;
  uint64_t seed = settings.seed;
  std::vector<std::thread> threads;
  for (const LengthPlan& plan : kPlans) {
    for (int n = 0; n < plan.threads; ++n) {
      threads.emplace_back([&settings, &plan, &tally, end, s = ++seed] {
        Chooser choose(settings, s);
        while (absl::Now() < end) {
          RunRequest(settings, plan, choose, tally);
          absl::SleepFor(plan.pause);
        }
      });
    }
  }
  for (int n = 0; n < kFilingThreads; ++n) {
    threads.emplace_back([&settings, &tally, end, s = ++seed] {
      Chooser choose(settings, s);
      while (absl::Now() < end) {
        tally.AddFilings(RunFiling(settings, choose));
        absl::SleepFor(kFilingPause);
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

OverheadSamples MeasureOverhead(const WorkloadSettings& settings, int count) {
  OverheadSamples samples;
  Chooser choose(settings, settings.seed);
  for (int n = 0; n < count; ++n) {
    const auto engine = static_cast<size_t>(n) % settings.engines.size();
    const Prompt direct =
        MakePrompt(choose.random(), kOverheadPromptTokens, kOverheadMaxTokens);
    const TryResult first = AskEngine(settings.engines[engine], settings.model,
                                      absl::StrCat("direct-", n), direct);
    const Prompt through =
        MakePrompt(choose.random(), kOverheadPromptTokens, kOverheadMaxTokens);
    const TryResult second = Complete(choose.Entry(), choose.AnyAccount(),
                                      settings.model, through, kOverheadLimit);
    if (first.end != TryEnd::kComplete || second.end != TryEnd::kComplete) {
      ++samples.failures;
      continue;
    }
    samples.direct_first_token.push_back(first.first_token);
    samples.direct_total.push_back(first.total);
    samples.through_first_token.push_back(second.first_token);
    samples.through_total.push_back(second.total);
  }
  return samples;
}

}  // namespace umbertrail::demo
