#include "load_plan.h"

#include <cmath>

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"

namespace umbertrail::cli {
namespace {

constexpr int64_t kBytesPerToken = 4;

Tokens DrawPrompt(const std::vector<MixEntry>& mix, RandomSource& random) {
  uint64_t sum = 0;
  for (const MixEntry& it : mix) {
    sum += static_cast<uint64_t>(it.weight);
  }
  uint64_t drawn = random.Below(sum);
  for (const MixEntry& it : mix) {
    const auto weight = static_cast<uint64_t>(it.weight);
    if (drawn < weight) {
      return it.prompt;
    }
    drawn -= weight;
  }
  return mix.back().prompt;
}

absl::Duration DrawGap(double rate, RandomSource& random) {
  return absl::Seconds(-std::log(1 - random.Fraction()) / rate);
}

}  // namespace

std::vector<Arrival> PlanLoad(const LoadCommand& command) {
  const auto random = MakeSeededRandom(command.seed);
  std::vector<Arrival> out;
  absl::Duration at = DrawGap(command.requests_per_second, *random);
  while (at < command.duration && out.size() < kMaxPlanned) {
    Arrival arrival;
    arrival.at = at;
    arrival.prompt = DrawPrompt(command.mix, *random);
    arrival.account = random->Below(command.accounts.size());
    arrival.address = random->Below(command.addresses.size());
    out.push_back(arrival);
    at += DrawGap(command.requests_per_second, *random);
  }
  return out;
}

std::string MakePromptText(Tokens tokens, uint64_t serial) {
  const auto n = static_cast<size_t>(tokens.value() * kBytesPerToken);
  std::string out = absl::StrFormat("%016x ", serial);
  out.reserve(n);
  while (out.size() < n) {
    out += "umbertrail load ";
  }
  out.resize(n);
  return out;
}

bool IsLoopback(const std::string& address) {
  return absl::StartsWith(address, "127.") &&
         address.find_first_not_of("0123456789.:") == std::string::npos;
}

}  // namespace umbertrail::cli
