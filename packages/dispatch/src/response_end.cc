#include "umbertrail/dispatch/response_end.h"

namespace umbertrail::dispatch {

absl::string_view NameOf(ProcessState state) {
  switch (state) {
    case ProcessState::kNotAsked:
      return "not_asked";
    case ProcessState::kAlive:
      return "alive";
    case ProcessState::kEnded:
      return "ended";
    case ProcessState::kSilent:
      return "silent";
    case ProcessState::kUnknown:
      return "unknown";
  }
  return "";
}

absl::string_view NameOf(EndVerdict verdict) {
  switch (verdict) {
    case EndVerdict::kComplete:
      return "complete";
    case EndVerdict::kEndedInEvent:
      return "ended_in_event";
    case EndVerdict::kEndedEmpty:
      return "ended_empty";
    case EndVerdict::kEndedByCrash:
      return "ended_by_crash";
    case EndVerdict::kUnproven:
      return "end_unproven";
  }
  return "";
}

EndVerdict JudgeEnd(const ResponseEnd& end) {
  if (end.is_stream && end.is_inside_event && !end.has_stated_length) {
    return EndVerdict::kEndedInEvent;
  }
  if (!end.ends_with_connection) {
    return EndVerdict::kComplete;
  }
  if (end.from_instance) {
    return EndVerdict::kUnproven;
  }
  if (end.is_empty_stream) {
    return EndVerdict::kEndedEmpty;
  }
  switch (end.process) {
    case ProcessState::kEnded:
      return EndVerdict::kEndedByCrash;
    case ProcessState::kSilent:
      return EndVerdict::kUnproven;
    case ProcessState::kUnknown:
      return end.is_stream || end.may_run_again ? EndVerdict::kUnproven
                                                : EndVerdict::kComplete;
    case ProcessState::kNotAsked:
    case ProcessState::kAlive:
      return EndVerdict::kComplete;
  }
  return EndVerdict::kUnproven;
}

}  // namespace umbertrail::dispatch
