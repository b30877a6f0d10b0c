#include "umbertrail/core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace umbertrail::core {
namespace {

void PrintAndAbort(const char* condition, const char* file, int line) {
  std::fprintf(stderr, "%s:%d: invariant broken: %s\n", file, line, condition);
  std::abort();
}

InvariantHandler g_handler = PrintAndAbort;

}  // namespace

InvariantHandler SetInvariantHandler(InvariantHandler handler) {
  const InvariantHandler former = g_handler;
  g_handler = handler;
  return former;
}

namespace detail {

void InvariantBroken(const char* condition, const char* file, int line) {
  g_handler(condition, file, line);
  std::abort();
}

}  // namespace detail
}  // namespace umbertrail::core
