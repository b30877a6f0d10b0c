#ifndef UMBERTRAIL_BASE_RESULT_H_
#define UMBERTRAIL_BASE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

namespace umbertrail {

// What kind of fault an operation met.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kUnavailable,
  kTimeout,
  kPermissionDenied,
  kCorrupt,
};

// A fault with a sentence for people.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// Either the value or the fault that kept it from being made.
template <typename T>
using Result = std::variant<T, Error>;

// Stands for "done" where there is no value to return.
struct Done {};

// True when `result` holds its value.
template <typename T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

// The value of `result`. Precondition: IsOk(result).
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<T>(result);
}
template <typename T>
T& ValueOf(Result<T>& result) {
  return std::get<T>(result);
}
template <typename T>
T ValueOf(Result<T>&& result) {
  return std::get<T>(std::move(result));
}

// The fault of `result`. Precondition: !IsOk(result).
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_RESULT_H_
