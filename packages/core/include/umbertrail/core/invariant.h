#ifndef UMBERTRAIL_CORE_INVARIANT_H_
#define UMBERTRAIL_CORE_INVARIANT_H_

// Stops the process when a property that must always hold is broken; in
// production builds too. Tests replace the handler to collect the failure.

namespace umbertrail::core {

// Called with the broken condition and its place; must not return normally.
using InvariantHandler = void (*)(const char* condition,
                                  const char* file,
                                  int line);

// Replaces the handler and returns the former one. Not thread-safe: call it
// before any node runs.
InvariantHandler SetInvariantHandler(InvariantHandler handler);

namespace detail {
[[noreturn]] void InvariantBroken(const char* condition,
                                  const char* file,
                                  int line);
}  // namespace detail

}  // namespace umbertrail::core

#define UMBERTRAIL_INVARIANT(condition)                                 \
  do {                                                                  \
    if (!(condition)) {                                                 \
      ::umbertrail::core::detail::InvariantBroken(#condition, __FILE__, \
                                                  __LINE__);            \
    }                                                                   \
  } while (false)

#endif  // UMBERTRAIL_CORE_INVARIANT_H_
