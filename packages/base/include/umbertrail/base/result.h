#ifndef UMBERTRAIL_BASE_RESULT_H_
#define UMBERTRAIL_BASE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

namespace umbertrail {

enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kUnavailable,
  kTimeout,
  kPermissionDenied,
  kCorrupt,
};

// An error with a human-readable message.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// Holds either a value or an error.
template <typename T>
using Result = std::variant<T, Error>;

// Value type of a Result that carries no value.
struct Done {};

template <typename T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

// Precondition: IsOk(result).
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

// Precondition: !IsOk(result).
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_RESULT_H_
