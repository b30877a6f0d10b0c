#ifndef UMBERTRAIL_DAEMON_FILTERS_H_
#define UMBERTRAIL_DAEMON_FILTERS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/daemon/accounts.h"
#include "umbertrail/daemon/refusal.h"

// The filters that turn a caller's HTTP request into an event for the node.
// Each passes a value on or ends the request with a refusal.

namespace umbertrail::daemon {

template <typename T>
using Filtered = std::variant<T, Refusal>;

// The headers that matter, as they came.
struct CallHeaders {
  std::optional<std::string> authorization;
  std::optional<std::string> request_id;
  std::optional<std::string> deadline_ms;
  std::optional<std::string> ticket;
  std::optional<std::string> idempotency_key;
};

// Who calls, and how long they wait.
struct Caller {
  ClientAccountId account;
  // The id that the caller knows its request by.
  std::string caller_id;
  // The id that the node and the targets know it by: unique to this request,
  // so that no caller can name another's. Begins with the caller's id.
  RequestId id;
  absl::Duration time_limit;
};

struct CompletionCall {
  core::RequestArrived arrival;
  bool stream = false;
};

// Limits that a reload may change.
struct FilterLimits {
  absl::Duration default_deadline;
  absl::Duration max_deadline;
};

// Thread-safe.
class RequestFilters {
 public:
  // `accounts` must outlive the filters; `limits` is asked for each request.
  RequestFilters(Incarnation incarnation,
                 const AccountDirectory* accounts,
                 std::function<FilterLimits()> limits);

  // Authenticates the account, then reads the request id and the deadline.
  Filtered<Caller> Authenticate(const CallHeaders& headers);

  // Reads a completion's body, and measures its prompt: its length in tokens,
  // the marks of its prefixes and its fingerprint. Cost: linear in the body.
  static Filtered<CompletionCall> ClassifyCompletion(const Caller& caller,
                                                     std::string_view body);

  // Reads the headers of a service call.
  static Filtered<core::RequestArrived> ClassifyServiceCall(
      const Caller& caller,
      const CallHeaders& headers,
      const std::string& service,
      const std::string& call,
      std::string body);

  // Reads the body of a request for a ticket.
  static Filtered<core::TicketRequested> ClassifyTicketRequest(
      const Caller& caller,
      std::string_view body);

 private:
  RequestId MakeId(const std::string& caller_id);

  const Incarnation incarnation_;
  const AccountDirectory* const accounts_;
  const std::function<FilterLimits()> limits_;
  std::atomic<uint64_t> next_serial_{1};
};

// Bytes that count as one token where the caller gives no count.
inline constexpr size_t kBytesPerToken = 4;

// Marks of the prompt's prefixes at 1024, 2048, 4096, ... tokens of
// kBytesPerToken bytes, each hash chained to the one before.
std::vector<core::PrefixMark> MarkPrefixes(std::string_view prompt);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_FILTERS_H_
