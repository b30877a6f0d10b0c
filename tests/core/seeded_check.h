#ifndef UMBERTRAIL_TESTS_CORE_SEEDED_CHECK_H_
#define UMBERTRAIL_TESTS_CORE_SEEDED_CHECK_H_

#include <rapidcheck.h>

#include <sstream>
#include <string>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {

// Thrown in place of stopping the process, so that a broken invariant fails the
// run that broke it.
struct InvariantFailure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// While it lives, a broken invariant throws.
class ThrowingInvariants {
 public:
  ThrowingInvariants()
      : former_(
            SetInvariantHandler([](const char* condition, const char*, int) {
              throw InvariantFailure(condition);
            })) {}
  ~ThrowingInvariants() { SetInvariantHandler(former_); }

 private:
  InvariantHandler former_;
};

// Runs a RapidCheck property with a fixed seed. Returns the counterexample, or
// an empty text when all runs passed.
template <typename Property>
std::string RunSeeded(uint64_t seed, int runs, Property property) {
  const ThrowingInvariants guard;
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable(
      std::move(property), rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return "";
  }
  std::ostringstream out;
  rc::detail::printResultMessage(result, out);
  return out.str();
}

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_SEEDED_CHECK_H_
