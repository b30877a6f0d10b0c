#ifndef UMBERTRAIL_CLI_H_
#define UMBERTRAIL_CLI_H_

#include <iosfwd>
#include <string>
#include <vector>

// Public header of the `cli` package: the operators' client. It reads, explains
// and checks; it changes nothing of a fleet.

namespace umbertrail::cli {

// What the program's exit status says.
enum class ExitStatus {
  kOk = 0,
  // Faults, differences, disagreements or failed requests were found.
  kFound = 1,
  // The arguments or a named file can't be used.
  kUsage = 2,
  // No instance that was named could be reached.
  kUnreachable = 3,
  // The instance refused the request; it says whether it ran.
  kRefused = 4,
  // The answer was cut; the request may have run.
  kCut = 5,
};

// Where a command writes: answers to `out`, faults and progress to `err`.
struct Console {
  std::ostream& out;
  std::ostream& err;
  // Progress is shown on a terminal only.
  bool err_is_terminal = false;
};

// Runs one command. `args` come without the program's name.
ExitStatus Run(const std::vector<std::string>& args, Console& console);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_H_
