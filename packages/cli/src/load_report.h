#ifndef UMBERTRAIL_CLI_SRC_LOAD_REPORT_H_
#define UMBERTRAIL_CLI_SRC_LOAD_REPORT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "load_runner.h"
#include "umbertrail/base.h"

namespace umbertrail::cli {

// Milliseconds at three quantiles; 0 when nothing was seen.
struct Quantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

// Figures of the requests of one length class or one account.
struct LoadRow {
  std::string name;
  int64_t planned = 0;
  int64_t not_offered = 0;
  int64_t whole = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  int64_t cut = 0;
  int64_t unreachable = 0;
  Quantiles first_token;
  Quantiles total;
};

// Refusals and failures of one kind.
struct ReasonCount {
  std::string reason;
  std::string ran;
  int64_t count = 0;
};

struct LoadReport {
  std::vector<LoadRow> classes;
  std::vector<LoadRow> accounts;
  std::vector<ReasonCount> reasons;
  // Median first token of short prompts sent alone, in ms.
  double alone_ms = 0;
  // First token of short prompts under load over that median.
  Quantiles slowdown;
};

// The value at quantile `q` (0 to 1) by nearest rank; 0 when empty.
double QuantileOf(std::vector<double> values, double q);

LoadReport MakeReport(const LoadCommand& command, const LoadResult& result);

std::string ReportText(const LoadReport& report);
std::string ReportJson(const LoadReport& report);

// Reads what ReportJson() wrote. Fails with kCorrupt.
Result<LoadReport> ParseReport(std::string_view json);

// A table of both reports' figures by length class, and their ratios.
std::string CompareText(const LoadReport& before, const LoadReport& after);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_LOAD_REPORT_H_
