#ifndef UMBERTRAIL_CLI_SRC_COMMAND_LINE_H_
#define UMBERTRAIL_CLI_SRC_COMMAND_LINE_H_

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::cli {

struct ManifestCheckCommand {
  std::string file;
  bool json = false;
};
struct ManifestDiffCommand {
  std::string old_file;
  std::string new_file;
  bool json = false;
};
struct StatusCommand {
  std::vector<std::string> addresses;
  bool json = false;
};
struct ExplainCommand {
  RequestId request;
  std::vector<std::string> addresses;
  bool json = false;
};

// Whom a request is sent as.
struct Credentials {
  std::string account;
  std::string key_file;
};

struct SendCommand {
  std::string address;
  Credentials credentials;
  std::string model;
  std::string prompt;
  std::string prompt_file;
  int64_t max_tokens = 0;
  std::string service;
  std::string call;
  std::string body_file;
  // Takes a ticket first, so that the call runs at most once.
  bool once = false;
  std::string request_id;
  absl::Duration time_limit;
  std::string ca_file;
  bool json = false;
};

// Prompts of one size and their part of the load.
struct MixEntry {
  Tokens prompt;
  int weight = 0;
};

struct LoadCommand {
  std::vector<std::string> addresses;
  std::vector<Credentials> accounts;
  std::string model;
  std::vector<MixEntry> mix;
  double requests_per_second = 0;
  absl::Duration duration;
  int64_t max_tokens = 0;
  absl::Duration time_limit;
  int max_open = 0;
  int alone = 0;
  uint64_t seed = 0;
  bool allow_remote = false;
  std::string ca_file;
  std::string report_file;
  std::string compare_file;
  std::string plot_file;
  bool json = false;
};

struct KeyHashCommand {
  std::string salt;
  std::string key_file;
  bool json = false;
};

// Reads logs that instances wrote, without asking any.
struct LogsCommand {
  std::vector<std::string> files;
  // One request's story, or those of all that failed; else the lines.
  std::string request;
  bool failed = false;
  // A table of what was not served or late, by time, route and reason.
  bool losses = false;
  // Lines that name this target; all when empty.
  std::string target;
  // From this time on, in the seconds that are printed.
  double since_s = -std::numeric_limits<double>::infinity();
  bool json = false;
};

// Prints a text and ends: help or version.
struct ShowText {
  std::string text;
};

using Command = std::variant<ManifestCheckCommand,
                             ManifestDiffCommand,
                             StatusCommand,
                             ExplainCommand,
                             SendCommand,
                             LoadCommand,
                             KeyHashCommand,
                             LogsCommand,
                             ShowText>;

// Reads the arguments. The fault says what is wrong and how a command is used.
Result<Command> ParseCommandLine(const std::vector<std::string>& args);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_COMMAND_LINE_H_
