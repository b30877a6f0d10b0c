#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "umbertrail/cli.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  umbertrail::cli::Console console{std::cout, std::cerr,
                                   isatty(STDERR_FILENO) == 1};
  return static_cast<int>(umbertrail::cli::Run(args, console));
}
