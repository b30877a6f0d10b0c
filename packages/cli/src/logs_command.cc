#include <fstream>
#include <ostream>

#include "absl/strings/str_format.h"
#include "commands.h"
#include "text_table.h"
#include "umbertrail/logbook/logbook.h"
#include "umbertrail/logbook/losses.h"
#include "umbertrail/logbook/story.h"

namespace umbertrail::cli {
namespace {

using logbook::LogLine;
using logbook::MergedLog;
using logbook::RequestReport;

// None when a file can't be read; the fault is on the console then.
std::optional<MergedLog> ReadLogs(const std::vector<std::string>& files,
                                  Console& console) {
  MergedLog book;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) {
      console.err << "umbertrail: cannot read " << path << "\n";
      return std::nullopt;
    }
    book.Read(file);
  }
  book.Sort();
  if (book.lines().empty()) {
    console.err << "umbertrail: no log lines in these files\n";
    return std::nullopt;
  }
  if (book.unreadable() > 0) {
    console.err << "umbertrail: " << book.unreadable()
                << " lines are no log lines and were passed over\n";
  }
  return book;
}

void PrintLine(const LogLine& line, bool json, std::ostream& out) {
  if (json) {
    out << logbook::WriteJson(line) << "\n";
    return;
  }
  out << absl::StrFormat("%14.3f  %-20s  %-18s%s\n", line.at_s, line.instance,
                         line.event, logbook::WriteFields(line));
}

void PrintLines(const LogsCommand& command,
                const MergedLog& book,
                std::ostream& out) {
  for (const LogLine& line : book.lines()) {
    const bool concerned =
        command.target.empty() || line.Text("target") == command.target;
    if (concerned && line.at_s >= command.since_s) {
      PrintLine(line, command.json, out);
    }
  }
}

std::string VerdictOf(const RequestReport& story) {
  std::string verdict =
      absl::StrFormat("%s: %s", logbook::NameOf(story.outcome),
                      !story.cause.empty() ? story.cause
                      : story.failed       ? "the logs don't tell why"
                                           : "its caller got the whole answer");
  if (story.left_out > 0) {
    absl::StrAppendFormat(&verdict, " (%d lines left out at that time)",
                          story.left_out);
  }
  return verdict;
}

ExitStatus PrintStory(const LogsCommand& command,
                      const logbook::LogAnalyser& teller,
                      Console& console) {
  const std::optional<RequestReport> story = teller.Find(command.request);
  if (!story.has_value()) {
    console.err << "umbertrail: no line names request " << command.request
                << "\n";
    return ExitStatus::kFound;
  }
  for (const LogLine& line : story->lines) {
    PrintLine(line, command.json, console.out);
  }
  if (command.json) {
    console.out << logbook::WriteJson(*story) << "\n";
    return ExitStatus::kOk;
  }
  if (!story->related.empty()) {
    console.out << "around it, on the same instance\n";
  }
  for (const LogLine& line : story->related) {
    PrintLine(line, command.json, console.out);
  }
  console.out << VerdictOf(*story) << "\n";
  return ExitStatus::kOk;
}

ExitStatus PrintFailures(const LogsCommand& command,
                         const logbook::LogAnalyser& teller,
                         Console& console) {
  int failed = 0;
  int explained = 0;
  for (const RequestReport& story : teller.FindFailures()) {
    const double at_s = story.lines.front().at_s;
    if (at_s < command.since_s) {
      continue;
    }
    ++failed;
    explained += story.cause.empty() ? 0 : 1;
    if (command.json) {
      console.out << logbook::WriteJson(story) << "\n";
      continue;
    }
    console.out << absl::StrFormat("%14.3f  %-20s  %-18s  %s\n", at_s,
                                   story.instance, story.request,
                                   VerdictOf(story));
  }
  if (!command.json) {
    console.out << absl::StrFormat(
        "%d requests failed; the logs tell why of %d\n", failed, explained);
  }
  return explained == failed ? ExitStatus::kOk : ExitStatus::kFound;
}

// Width of a row's span of time.
constexpr double kLossSpanS = 2;

ExitStatus PrintLosses(const LogsCommand& command,
                       const MergedLog& book,
                       Console& console) {
  TextTable table({"from second", "route", "reason", "requests"});
  int all = 0;
  for (const logbook::Loss& loss : logbook::CountLosses(book, kLossSpanS)) {
    if (loss.from_s + kLossSpanS <= command.since_s) {
      continue;
    }
    all += loss.requests;
    if (command.json) {
      LogLine line;
      line.at_s = loss.from_s;
      line.event = "loss";
      line.fields = {{"route", loss.route},
                     {"reason", loss.reason},
                     {"requests", static_cast<int64_t>(loss.requests)}};
      console.out << logbook::WriteJson(line) << "\n";
    } else {
      table.Add({absl::StrFormat("%.0f", loss.from_s), loss.route, loss.reason,
                 absl::StrFormat("%d", loss.requests)});
    }
  }
  if (!command.json) {
    console.out << table.Text()
                << absl::StrFormat("%d requests not served or late\n", all);
  }
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus ReadInstanceLogs(const LogsCommand& command, Console& console) {
  const std::optional<MergedLog> book = ReadLogs(command.files, console);
  if (!book.has_value()) {
    return ExitStatus::kUsage;
  }
  if (command.losses) {
    return PrintLosses(command, *book, console);
  }
  if (command.request.empty() && !command.failed) {
    PrintLines(command, *book, console.out);
    return ExitStatus::kOk;
  }
  const logbook::LogAnalyser teller(&*book);
  return command.failed ? PrintFailures(command, teller, console)
                        : PrintStory(command, teller, console);
}

}  // namespace umbertrail::cli
