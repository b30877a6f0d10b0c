#include "demo/tally.h"

#include <algorithm>
#include <cstdio>

namespace umbertrail::demo {
namespace {

double Millis(absl::Duration duration) {
  return absl::ToDoubleMilliseconds(duration);
}

void PrintReasons(const char* what,
                  const std::map<std::string, int64_t>& reasons) {
  for (const auto& it : reasons) {
    std::printf("    %s: %s: %lld\n", what, it.first.c_str(),
                static_cast<long long>(it.second));
  }
}

std::string ReasonOf(const TryResult& result) {
  switch (result.end) {
    case TryEnd::kRefused:
      return result.reason + ", ran: " + result.ran;
    case TryEnd::kNoAnswer:
      return "no connection";
    case TryEnd::kCut:
      return result.first_token == absl::ZeroDuration()
                 ? "connection closed before the answer"
                 : "answer cut";
    case TryEnd::kComplete:
    case TryEnd::kWrong:
      break;
  }
  return "complete";
}

long long Wide(int64_t n) {
  return n;
}

}  // namespace

absl::Duration Quantile(std::vector<absl::Duration> samples, double share) {
  if (samples.empty()) {
    return absl::ZeroDuration();
  }
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(last * share)];
}

void Tally::AddRequest(const std::string& name, const TryResult& last) {
  absl::MutexLock lock(&mutex_);
  ClassTally& tally = classes_[name];
  ++tally.sent;
  switch (last.end) {
    case TryEnd::kComplete:
      ++tally.complete;
      tally.first_tokens.push_back(last.first_token);
      break;
    case TryEnd::kRefused:
      ++tally.refused;
      ++tally.reasons[ReasonOf(last)];
      break;
    case TryEnd::kNoAnswer:
      ++tally.lost;
      break;
    case TryEnd::kCut:
      ++tally.cut;
      break;
    case TryEnd::kWrong:
      ++tally.wrong;
      break;
  }
}

void Tally::AddRetry(const std::string& name, const TryResult& failed) {
  absl::MutexLock lock(&mutex_);
  ClassTally& tally = classes_[name];
  ++tally.retries;
  ++tally.retry_reasons[ReasonOf(failed)];
  tally.cut += failed.end == TryEnd::kCut ? 1 : 0;
}

void Tally::AddFilings(const FilingTally& filings) {
  absl::MutexLock lock(&mutex_);
  filings_.sent += filings.sent;
  filings_.complete += filings.complete;
  filings_.not_run += filings.not_run;
  filings_.in_doubt += filings.in_doubt;
  filings_.resent += filings.resent;
  filings_.changed += filings.changed;
  filings_.lost += filings.lost;
  for (const auto& it : filings.reasons) {
    filings_.reasons[it.first] += it.second;
  }
}

void Tally::Print() const {
  absl::MutexLock lock(&mutex_);
  std::printf("%-22s %6s %9s %8s %8s %4s %6s %5s  %s\n", "prompts", "sent",
              "complete", "refused", "retries", "cut", "wrong", "lost",
              "first token p50 / p95 / p99 (ms)");
  for (const auto& it : classes_) {
    const ClassTally& tally = it.second;
    std::printf("%-22s %6lld %9lld %8lld %8lld %4lld %6lld %5lld",
                it.first.c_str(), Wide(tally.sent), Wide(tally.complete),
                Wide(tally.refused), Wide(tally.retries), Wide(tally.cut),
                Wide(tally.wrong), Wide(tally.lost));
    std::printf("  %.0f / %.0f / %.0f\n",
                Millis(Quantile(tally.first_tokens, 0.5)),
                Millis(Quantile(tally.first_tokens, 0.95)),
                Millis(Quantile(tally.first_tokens, 0.99)));
    PrintReasons("refused", tally.reasons);
    PrintReasons("sent again", tally.retry_reasons);
  }
  std::printf(
      "filings: sent %lld, complete %lld, not run %lld, in doubt %lld, "
      "resent %lld, answer changed %lld, lost %lld\n",
      Wide(filings_.sent), Wide(filings_.complete), Wide(filings_.not_run),
      Wide(filings_.in_doubt), Wide(filings_.resent), Wide(filings_.changed),
      Wide(filings_.lost));
  PrintReasons("refused", filings_.reasons);
}

bool Tally::HasFault() const {
  absl::MutexLock lock(&mutex_);
  const bool any_fault =
      std::any_of(classes_.begin(), classes_.end(), [](const auto& it) {
        return it.second.cut > 0 || it.second.wrong > 0 || it.second.lost > 0;
      });
  return any_fault || filings_.changed > 0 || filings_.lost > 0;
}

}  // namespace umbertrail::demo
