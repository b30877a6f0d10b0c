#include <optional>
#include <ostream>

#include "commands.h"
#include "files.h"
#include "load_plan.h"
#include "load_report.h"
#include "load_runner.h"
#include "svg_plot.h"
#include "umbertrail/core/types.h"

namespace umbertrail::cli {
namespace {

std::optional<Error> CheckAddresses(const LoadCommand& command) {
  for (const std::string& it : command.addresses) {
    if (!command.allow_remote && !IsLoopback(it)) {
      return Error{ErrorCode::kInvalidArgument,
                   it + ": outside 127.0.0.0/8; see --allow-remote"};
    }
  }
  return std::nullopt;
}

Result<std::vector<std::string>> ReadSecrets(const LoadCommand& command) {
  std::vector<std::string> out;
  for (const Credentials& it : command.accounts) {
    Result<std::string> secret = ReadSecret(it.key_file);
    if (!IsOk(secret)) {
      return ErrorOf(secret);
    }
    out.push_back(ValueOf(std::move(secret)));
  }
  return out;
}

// Reads the report to compare with before the load runs, so that a wrong name
// costs no load.
Result<std::optional<LoadReport>> ReadEarlier(const LoadCommand& command) {
  if (command.compare_file.empty()) {
    return std::optional<LoadReport>();
  }
  const Result<std::string> text = ReadFile(command.compare_file);
  if (!IsOk(text)) {
    return ErrorOf(text);
  }
  Result<LoadReport> report = ParseReport(ValueOf(text));
  if (!IsOk(report)) {
    return ErrorOf(report);
  }
  return std::optional<LoadReport>(ValueOf(std::move(report)));
}

std::vector<Curve> CurvesOf(const LoadResult& result) {
  std::vector<Curve> out = {{"short", {}}, {"medium", {}}, {"long", {}}};
  for (const LoadSample& it : result.samples) {
    if (it.result.end == CallEnd::kWhole) {
      const auto i = static_cast<size_t>(core::ClassOf(it.arrival.prompt));
      out.at(i).values.push_back(absl::ToDoubleMilliseconds(it.first_token));
    }
  }
  return out;
}

Result<Done> WriteFiles(const LoadCommand& command,
                        const LoadReport& report,
                        const LoadResult& result) {
  if (!command.report_file.empty()) {
    const auto written = WriteFile(command.report_file, ReportJson(report));
    if (!IsOk(written)) {
      return written;
    }
  }
  if (!command.plot_file.empty()) {
    return WriteFile(
        command.plot_file,
        PlotDistributions("time to first token, ms", CurvesOf(result)));
  }
  return Done{};
}

ExitStatus StatusOf(const LoadReport& report) {
  int64_t planned = 0;
  int64_t offered = 0;
  int64_t whole = 0;
  int64_t unreachable = 0;
  for (const LoadRow& it : report.classes) {
    planned += it.planned;
    offered += it.planned - it.not_offered;
    whole += it.whole;
    unreachable += it.unreachable;
  }
  if (offered > 0 && unreachable == offered) {
    return ExitStatus::kUnreachable;
  }
  return whole == planned ? ExitStatus::kOk : ExitStatus::kFound;
}

ExitStatus Fail(const Error& error, Console& console) {
  console.err << "umbertrail: " << error.message << "\n";
  return ExitStatus::kUsage;
}

}  // namespace

ExitStatus Load(const LoadCommand& command,
                const Caller& caller,
                Console& console) {
  if (const auto fault = CheckAddresses(command)) {
    return Fail(*fault, console);
  }
  const auto secrets = ReadSecrets(command);
  if (!IsOk(secrets)) {
    return Fail(ErrorOf(secrets), console);
  }
  const auto earlier = ReadEarlier(command);
  if (!IsOk(earlier)) {
    return Fail(ErrorOf(earlier), console);
  }
  const auto progress = [&](size_t ended, size_t planned) {
    if (console.err_is_terminal) {
      console.err << "\r" << ended << " of " << planned << std::flush;
      console.err << (ended == planned ? "\n" : "");
    }
  };
  const LoadResult result =
      RunLoad(command, ValueOf(secrets), PlanLoad(command), caller, progress);
  const LoadReport report = MakeReport(command, result);
  console.out << (command.json ? ReportJson(report) + "\n"
                               : ReportText(report));
  if (ValueOf(earlier) && !command.json) {
    console.out << "\n" << CompareText(*ValueOf(earlier), report);
  }
  const Result<Done> written = WriteFiles(command, report, result);
  if (!IsOk(written)) {
    return Fail(ErrorOf(written), console);
  }
  return StatusOf(report);
}

}  // namespace umbertrail::cli
