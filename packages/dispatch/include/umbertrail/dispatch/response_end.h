#ifndef UMBERTRAIL_DISPATCH_RESPONSE_END_H_
#define UMBERTRAIL_DISPATCH_RESPONSE_END_H_

#include "absl/strings/string_view.h"

// Decides whether a response that has ended is complete. Only a stated length
// or chunked coding shows that by itself; a response that ends with its
// connection looks the same whether its sender has finished or crashed.

namespace umbertrail::dispatch {

// What is known of the target's process after the end of its response.
enum class ProcessState {
  // Nobody asked.
  kNotAsked,
  // It answered a question that was sent after the end.
  kAlive,
  // It is gone.
  kEnded,
  // It accepts connections, but gives no answer in time.
  kSilent,
  // Neither it nor any other target that was tried can be reached.
  kUnknown,
};

absl::string_view NameOf(ProcessState state);

struct ResponseEnd {
  // Neither a length nor chunked coding marked the end.
  bool ends_with_connection = false;
  // Another instance passed it on, which always marks the end.
  bool from_instance = false;
  // The target stated the length, and all bytes have arrived.
  bool has_stated_length = false;
  bool is_stream = false;
  // The request may run again, or go on after the last event.
  bool may_run_again = false;
  // A stream's last event is incomplete.
  bool is_inside_event = false;
  // A stream from its beginning, of which no event has come.
  bool is_empty_stream = false;
  ProcessState process = ProcessState::kNotAsked;
};

enum class EndVerdict {
  kComplete,
  // The stream ended within an event.
  kEndedInEvent,
  // A stream ended before its first event.
  kEndedEmpty,
  // The process that sent the response ended with it.
  kEndedByCrash,
  // Nothing shows that the response is complete.
  kUnproven,
};

absl::string_view NameOf(EndVerdict verdict);

// Where nothing can be reached, a crash of all targets looks like an instance
// to which new connections are refused while live ones go on. Then a stream, or
// what may run again, counts as broken off, as that can be repeated or at least
// be seen; another response counts as complete, as its caller couldn't ask
// again.
EndVerdict JudgeEnd(const ResponseEnd& end);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_RESPONSE_END_H_
