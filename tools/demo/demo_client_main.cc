// Callers of the demo: sends prompts and filings through entry instances and
// judges every answer.

#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "demo/filing.h"
#include "demo/tally.h"
#include "demo/workload.h"
#include "standins/arguments.h"

namespace umbertrail::demo {
namespace {

constexpr char kUsage[] = R"(Callers of the demo.

Usage:
  demo_client load --entries LIST --accounts LIST --service ADDRESS [options]
  demo_client overhead --entries LIST --accounts LIST --engines LIST [options]

Options:
  --entries LIST      Callers' addresses of entry instances, divided by commas.
  --accounts LIST     Client accounts as NAME:SECRET, divided by commas.
  --engines LIST      Addresses of warm engines, divided by commas [default: ].
  --service ADDRESS   Address of the service stand-in [default: ].
  --model MODEL       Model to ask for [default: small].
  --seconds N         How long new requests are sent [default: 30].
  --count N           Requests measured for the overhead [default: 100].
  --seed N            Seed of prompts and choices [default: 1].

`load` exits with 1 when anything was lost, doubled, cut or wrong.
)";

std::vector<Account> ParseAccounts(const std::string& text) {
  std::vector<Account> accounts;
  for (const auto it : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts =
        absl::StrSplit(it, absl::MaxSplits(':', 1));
    accounts.push_back({parts.front(), parts.back()});
  }
  return accounts;
}

WorkloadSettings ReadSettings(const standin::Arguments& arguments) {
  WorkloadSettings settings;
  settings.entries =
      absl::StrSplit(arguments.Text("--entries"), ',', absl::SkipEmpty());
  settings.engines =
      absl::StrSplit(arguments.Text("--engines"), ',', absl::SkipEmpty());
  settings.service_address = arguments.Text("--service");
  settings.model = arguments.Text("--model");
  settings.accounts = ParseAccounts(arguments.Text("--accounts"));
  settings.time = arguments.Seconds("--seconds");
  settings.seed = static_cast<uint64_t>(arguments.Number("--seed"));
  return settings;
}

int RunLoad(const WorkloadSettings& settings) {
  Tally tally;
  RunWorkload(settings, tally);
  tally.Print();
  const auto counts = ReadServiceCounts(settings.service_address);
  if (!counts.has_value()) {
    std::printf("the service's counts could not be read\n");
    return 1;
  }
  std::printf("filings run by the service: %lld, duplicates: %lld\n",
              static_cast<long long>(counts->runs),
              static_cast<long long>(counts->duplicates));
  return tally.HasFault() || counts->duplicates > 0 ? 1 : 0;
}

void PrintQuantiles(const char* name,
                    const std::vector<absl::Duration>& samples) {
  std::printf("%-28s p50 %.2f ms, p99 %.2f ms\n", name,
              absl::ToDoubleMilliseconds(Quantile(samples, 0.5)),
              absl::ToDoubleMilliseconds(Quantile(samples, 0.99)));
}

int RunOverhead(const WorkloadSettings& settings, int count) {
  const OverheadSamples samples = MeasureOverhead(settings, count);
  std::printf("overhead over %zu pairs of requests, %lld failed\n",
              samples.direct_total.size(),
              static_cast<long long>(samples.failures));
  PrintQuantiles("first token, engine alone", samples.direct_first_token);
  PrintQuantiles("first token, through entry", samples.through_first_token);
  PrintQuantiles("whole answer, engine alone", samples.direct_total);
  PrintQuantiles("whole answer, through entry", samples.through_total);
  return samples.direct_total.empty() ? 1 : 0;
}

int Run(const standin::Arguments& arguments) {
  const WorkloadSettings settings = ReadSettings(arguments);
  if (settings.entries.empty() || settings.accounts.empty()) {
    std::fprintf(stderr, "entries and accounts must not be empty\n");
    return 1;
  }
  if (arguments.Flag("load")) {
    return RunLoad(settings);
  }
  if (settings.engines.empty()) {
    std::fprintf(stderr, "engines must not be empty\n");
    return 1;
  }
  return RunOverhead(settings, static_cast<int>(arguments.Number("--count")));
}

}  // namespace
}  // namespace umbertrail::demo

int main(int argc, char** argv) {
  return umbertrail::demo::Run(
      umbertrail::standin::Arguments(umbertrail::demo::kUsage, argc, argv));
}
