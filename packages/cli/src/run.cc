#include <ostream>
#include <variant>

#include "commands.h"
#include "umbertrail/cli.h"

namespace umbertrail::cli {
namespace {

// Passes a command on to its function.
struct Dispatch {
  Console& console;
  const AdminClient& admin;
  const Caller& caller;

  ExitStatus operator()(const ManifestCheckCommand& command) const {
    return CheckManifest(command, console);
  }
  ExitStatus operator()(const ManifestDiffCommand& command) const {
    return DiffManifest(command, console);
  }
  ExitStatus operator()(const StatusCommand& command) const {
    return ShowStatus(command, admin, console);
  }
  ExitStatus operator()(const ExplainCommand& command) const {
    return Explain(command, admin, console);
  }
  ExitStatus operator()(const SendCommand& command) const {
    return Send(command, caller, console);
  }
  ExitStatus operator()(const LoadCommand& command) const {
    return Load(command, caller, console);
  }
  ExitStatus operator()(const KeyHashCommand& command) const {
    return HashKey(command, console);
  }
  ExitStatus operator()(const LogsCommand& command) const {
    return ReadInstanceLogs(command, console);
  }
  ExitStatus operator()(const ShowText& command) const {
    console.out << command.text;
    return ExitStatus::kOk;
  }
};

}  // namespace

ExitStatus Run(const std::vector<std::string>& args, Console& console) {
  const Result<Command> command = ParseCommandLine(args);
  if (!IsOk(command)) {
    console.err << "umbertrail: " << ErrorOf(command).message << "\n";
    return ExitStatus::kUsage;
  }
  const auto admin = MakeHttpAdminClient();
  const auto caller = MakeHttpCaller();
  return std::visit(Dispatch{console, *admin, *caller}, ValueOf(command));
}

}  // namespace umbertrail::cli
