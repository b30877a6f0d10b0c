#ifndef UMBERTRAIL_TOOLS_STANDINS_ARGUMENTS_H_
#define UMBERTRAIL_TOOLS_STANDINS_ARGUMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <docopt/docopt.h>

#include "absl/strings/numbers.h"
#include "absl/time/time.h"

namespace umbertrail::standin {

// The options of a program as docopt read them. A text that is no number
// counts as 0.
class Arguments {
 public:
  // Ends the program with the usage when the arguments don't fit it.
  Arguments(const std::string& usage, int argc, char** argv)
      : values_(docopt::docopt(usage, {argv + 1, argv + argc})) {}

  std::string Text(const std::string& name) const {
    return values_.at(name).asString();
  }
  bool Flag(const std::string& name) const { return values_.at(name).asBool(); }
  int64_t Number(const std::string& name) const {
    int64_t n = 0;
    static_cast<void>(absl::SimpleAtoi(Text(name), &n));
    return n;
  }
  double Fraction(const std::string& name) const {
    double n = 0;
    static_cast<void>(absl::SimpleAtod(Text(name), &n));
    return n;
  }
  absl::Duration Millis(const std::string& name) const {
    return absl::Milliseconds(Number(name));
  }
  absl::Duration Seconds(const std::string& name) const {
    return absl::Seconds(Number(name));
  }

 private:
  const std::map<std::string, docopt::value> values_;
};

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_ARGUMENTS_H_
