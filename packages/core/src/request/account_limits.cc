#include "umbertrail/core/request/account_limits.h"

#include <algorithm>
#include <set>

namespace umbertrail::core {
namespace {

// A share never falls under one request at once.
constexpr double kSmallestBurst = 2.0;
// Answers free tokens at the pace of running requests.
constexpr absl::Duration kTokensRetry = absl::Seconds(1);

double ShareOf(double limit, std::size_t instances) {
  const double n = static_cast<double>(std::max<std::size_t>(instances, 1));
  return std::min(limit, limit * AccountLimits::kHeadroom / n);
}

}  // namespace

std::optional<absl::Duration> AccountLimits::Acquire(
    absl::Time now,
    const manifest::ClientAccount& account,
    std::size_t instances,
    Tokens tokens) {
  Usage& usage = usage_[account.id];
  const double rate = ShareOf(account.requests_per_second, instances);
  const double burst = std::max(rate, kSmallestBurst);
  if (usage.refilled == absl::InfinitePast()) {
    usage.requests = burst;
  } else {
    const double elapsed = absl::ToDoubleSeconds(now - usage.refilled);
    usage.requests = std::min(burst, usage.requests + elapsed * rate);
  }
  usage.refilled = now;
  if (usage.requests < 1.0) {
    return absl::Seconds((1.0 - usage.requests) / std::max(rate, 0.001));
  }
  const double share =
      ShareOf(static_cast<double>(account.tokens_in_flight.value()), instances);
  const Tokens after = usage.in_flight + tokens;
  const bool over = static_cast<double>(after.value()) > share;
  if (usage.in_flight > Tokens(0) && over) {
    return kTokensRetry;
  }
  usage.requests -= 1.0;
  usage.in_flight = after;
  return std::nullopt;
}

void AccountLimits::Release(const ClientAccountId& account, Tokens tokens) {
  usage_[account].in_flight -= tokens;
}

void AccountLimits::Forget(const manifest::Manifest& manifest) {
  std::set<ClientAccountId> known;
  for (const manifest::ClientAccount& it : manifest.accounts) {
    known.insert(it.id);
  }
  for (auto it = usage_.begin(); it != usage_.end();) {
    const bool idle = it->second.in_flight <= Tokens(0);
    it = idle && known.count(it->first) == 0 ? usage_.erase(it) : ++it;
  }
}

}  // namespace umbertrail::core
