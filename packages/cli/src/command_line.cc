#include "command_line.h"

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace umbertrail::cli {
namespace {

constexpr char kUsage[] =
    R"(umbertrail: reads, explains and checks a fleet; changes nothing of it.

Usage:
  umbertrail manifest check FILE [--json]
  umbertrail manifest diff OLD NEW [--json]
  umbertrail status ADMIN... [--json]
  umbertrail explain REQUEST ADMIN... [--json]
  umbertrail send ADDRESS --account=ID --key-file=FILE --model=ID
             (--prompt=TEXT | --prompt-file=FILE) [--max-tokens=N]
             [--request-id=ID] [--time-limit=SECONDS] [--ca=FILE] [--json]
  umbertrail send ADDRESS --account=ID --key-file=FILE --service=ID --call=NAME
             [--body-file=FILE] [--once] [--request-id=ID]
             [--time-limit=SECONDS] [--ca=FILE] [--json]
  umbertrail load ADDRESS... --as=ID:FILE... --model=ID [--rate=R]
             [--duration=SECONDS] [--mix=MIX] [--max-tokens=N]
             [--time-limit=SECONDS] [--max-open=N] [--alone=N] [--seed=N]
             [--allow-remote] [--report=FILE] [--compare=FILE] [--plot=FILE]
             [--ca=FILE] [--json]
  umbertrail logs LOG... [--request=ID | --failed | --losses] [--target=ID]
             [--since=SECONDS] [--json]
  umbertrail key hash --salt=TEXT --key-file=FILE [--json]
  umbertrail --help
  umbertrail --version

Commands:
  manifest check  Names every fault of a manifest by line and key.
  manifest diff   Says what publishing NEW in place of OLD changes.
  status          Shows each instance; disagreements between them come first.
  explain         Tells what happened to a request, and why.
  send            Sends one prompt or service call and streams the answer.
  load            Sends a bounded load of mixed lengths at fixed arrival times.
  logs            Merges the logs of instances in files and prints them, or what
                  they tell of one request or of all that failed.
  key hash        Prints what a manifest stores of an account's key.

ADMIN is IP:PORT of an instance's admin listener, ADDRESS of its callers' one.

Options:
  --account=ID          Client account to send as.
  --key-file=FILE       File that holds the account's key; mode 0600.
  --as=ID:FILE          Account and key file; may be given several times.
  --model=ID            Model to ask.
  --prompt=TEXT         The prompt.
  --prompt-file=FILE    File that holds the prompt.
  --max-tokens=N        Longest answer, in tokens [default: 64].
  --service=ID          Plain service to call.
  --call=NAME           Call of that service.
  --body-file=FILE      File that holds the call's body.
  --once                Takes a ticket first: the call runs at most once.
  --request-id=ID       Id of the request; made by the instance when absent.
  --time-limit=SECONDS  Time for one request [default: 60].
  --ca=FILE             Certificate authorities of the instances, in PEM; uses
                        TLS.
  --rate=R              Requests a second [default: 20].
  --duration=SECONDS    How long requests arrive, 1 to 3600 [default: 10].
  --mix=MIX             PROMPT_TOKENS:WEIGHT,... [default: 1000:80,16000:17,120000:3].
  --max-open=N          Requests open at once, 1 to 1024 [default: 128].
  --alone=N             Short requests sent one by one first, as the measure of
                        "alone" [default: 10].
  --seed=N              Seed of the arrivals [default: 1].
  --allow-remote        Allows addresses outside 127.0.0.0/8.
  --report=FILE         Writes the report as JSON.
  --compare=FILE        Compares with an earlier report.
  --plot=FILE           Writes an SVG of time to first token by length class.
  --request=ID          Prints this request's path and why it ended so.
  --failed              Names each failed request and why it failed.
  --losses              Counts what was not served or late, by time, route and
                        reason.
  --target=ID           Prints only lines that name this target.
  --since=SECONDS       From this time on, in the seconds that are printed.
  --json                Writes JSON instead of text.

Exit status: 0 done, 1 faults or disagreements found or requests failed,
2 arguments or files can't be used, 3 no instance reached, 4 refused,
5 answer cut.
)";

constexpr int kMaxOpenLimit = 1024;
constexpr double kMaxRate = 100000;
constexpr double kMaxSeconds = 3600;
constexpr int64_t kMaxPromptTokens = 1000000;

using Arguments = std::map<std::string, docopt::value>;

// Reads docopt's values and keeps the first fault.
class Reader {
 public:
  explicit Reader(const Arguments& args) : args_(args) {}

  bool Flag(const char* name) const {
    const docopt::value& it = args_.at(name);
    return it.isBool() && it.asBool();
  }

  std::string Text(const char* name) const {
    const docopt::value& it = args_.at(name);
    return it.isString() ? it.asString() : std::string();
  }

  std::vector<std::string> List(const char* name) const {
    const docopt::value& it = args_.at(name);
    return it.isStringList() ? it.asStringList() : std::vector<std::string>();
  }

  int64_t Integer(const char* name, int64_t low, int64_t high) {
    int64_t out = 0;
    if (!absl::SimpleAtoi(Text(name), &out) || out < low || out > high) {
      Fail(absl::StrCat(name, " is a whole number from ", low, " to ", high));
    }
    return out;
  }

  double Number(const char* name, double high) {
    double out = 0;
    if (!absl::SimpleAtod(Text(name), &out) || !(out > 0 && out <= high)) {
      Fail(absl::StrCat(name, " is a number over 0, at most ", high));
    }
    return out;
  }

  absl::Duration Seconds(const char* name, double high) {
    return absl::Seconds(Number(name, high));
  }

  void Fail(std::string message) {
    if (!fault_) {
      fault_ = Error{ErrorCode::kInvalidArgument, std::move(message)};
    }
  }

  Result<Command> Finish(Command command) const {
    if (fault_) {
      return *fault_;
    }
    return command;
  }

 private:
  const Arguments& args_;
  std::optional<Error> fault_;
};

constexpr double kMaxTimeLimitSeconds = 86400;
constexpr int64_t kMaxAnswerTokens = 1000000;

Credentials ReadCredentials(const Reader& in) {
  return Credentials{in.Text("--account"), in.Text("--key-file")};
}

Result<Command> ReadSend(Reader in) {
  SendCommand out;
  out.address = in.List("ADDRESS").at(0);
  out.credentials = ReadCredentials(in);
  out.model = in.Text("--model");
  out.prompt = in.Text("--prompt");
  out.prompt_file = in.Text("--prompt-file");
  out.max_tokens = in.Integer("--max-tokens", 1, kMaxAnswerTokens);
  out.service = in.Text("--service");
  out.call = in.Text("--call");
  out.body_file = in.Text("--body-file");
  out.once = in.Flag("--once");
  out.request_id = in.Text("--request-id");
  out.time_limit = in.Seconds("--time-limit", kMaxTimeLimitSeconds);
  out.ca_file = in.Text("--ca");
  out.json = in.Flag("--json");
  return in.Finish(out);
}

std::vector<MixEntry> ReadMix(Reader& in) {
  std::vector<MixEntry> out;
  const std::vector<std::string> entries =
      absl::StrSplit(in.Text("--mix"), ',');
  for (const std::string& it : entries) {
    const std::pair<std::string, std::string> words =
        absl::StrSplit(it, absl::MaxSplits(':', 1));
    int64_t prompt = 0;
    int weight = 0;
    if (!absl::SimpleAtoi(words.first, &prompt) ||
        !absl::SimpleAtoi(words.second, &weight) || prompt < 1 ||
        prompt > kMaxPromptTokens || weight < 1) {
      in.Fail("--mix is PROMPT_TOKENS:WEIGHT,... with at most 1000000 tokens");
      return out;
    }
    out.push_back({Tokens(prompt), weight});
  }
  return out;
}

std::vector<Credentials> ReadAccounts(Reader& in) {
  std::vector<Credentials> out;
  for (const std::string& it : in.List("--as")) {
    const std::pair<std::string, std::string> words =
        absl::StrSplit(it, absl::MaxSplits(':', 1));
    if (words.first.empty() || words.second.empty()) {
      in.Fail("--as is ID:FILE");
    }
    out.push_back({words.first, words.second});
  }
  return out;
}

Result<Command> ReadLoad(Reader in) {
  LoadCommand out;
  out.addresses = in.List("ADDRESS");
  out.accounts = ReadAccounts(in);
  out.model = in.Text("--model");
  out.mix = ReadMix(in);
  out.requests_per_second = in.Number("--rate", kMaxRate);
  out.duration = in.Seconds("--duration", kMaxSeconds);
  out.max_tokens = in.Integer("--max-tokens", 1, kMaxAnswerTokens);
  out.time_limit = in.Seconds("--time-limit", kMaxSeconds);
  out.max_open = static_cast<int>(in.Integer("--max-open", 1, kMaxOpenLimit));
  out.alone = static_cast<int>(in.Integer("--alone", 0, kMaxOpenLimit));
  out.seed = static_cast<uint64_t>(in.Integer("--seed", 0, INT64_MAX));
  out.allow_remote = in.Flag("--allow-remote");
  out.ca_file = in.Text("--ca");
  out.report_file = in.Text("--report");
  out.compare_file = in.Text("--compare");
  out.plot_file = in.Text("--plot");
  out.json = in.Flag("--json");
  return in.Finish(out);
}

Result<Command> ReadLogs(Reader in) {
  LogsCommand out;
  out.files = in.List("LOG");
  out.request = in.Text("--request");
  out.failed = in.Flag("--failed");
  out.losses = in.Flag("--losses");
  out.target = in.Text("--target");
  const std::string since = in.Text("--since");
  if (!since.empty() && !absl::SimpleAtod(since, &out.since_s)) {
    in.Fail("--since is a number of seconds");
  }
  out.json = in.Flag("--json");
  return in.Finish(out);
}

Result<Command> ReadArguments(const Arguments& args) {
  Reader in(args);
  const bool json = in.Flag("--json");
  if (in.Flag("check")) {
    return Command(ManifestCheckCommand{in.Text("FILE"), json});
  }
  if (in.Flag("diff")) {
    return Command(ManifestDiffCommand{in.Text("OLD"), in.Text("NEW"), json});
  }
  if (in.Flag("status")) {
    return Command(StatusCommand{in.List("ADMIN"), json});
  }
  if (in.Flag("explain")) {
    return Command(
        ExplainCommand{RequestId(in.Text("REQUEST")), in.List("ADMIN"), json});
  }
  if (in.Flag("hash")) {
    return Command(
        KeyHashCommand{in.Text("--salt"), in.Text("--key-file"), json});
  }
  if (in.Flag("logs")) {
    return ReadLogs(in);
  }
  return in.Flag("load") ? ReadLoad(in) : ReadSend(in);
}

}  // namespace

Result<Command> ParseCommandLine(const std::vector<std::string>& args) {
  try {
    return ReadArguments(docopt::docopt_parse(kUsage, args));
  } catch (const docopt::DocoptExitHelp&) {
    return Command(ShowText{kUsage});
  } catch (const docopt::DocoptExitVersion&) {
    return Command(ShowText{"umbertrail " UMBERTRAIL_VERSION "\n"});
  } catch (const docopt::DocoptArgumentError& e) {
    return Error{ErrorCode::kInvalidArgument,
                 absl::StrCat(e.what(), "\nsee umbertrail --help")};
  }
}

}  // namespace umbertrail::cli
