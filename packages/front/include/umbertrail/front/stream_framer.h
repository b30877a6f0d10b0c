#ifndef UMBERTRAIL_FRONT_STREAM_FRAMER_H_
#define UMBERTRAIL_FRONT_STREAM_FRAMER_H_

#include <string>

#include "absl/strings/string_view.h"

namespace umbertrail::front {

// Splits a stream of server-sent events (HTML, 9.2) into complete events, so
// that a response never ends inside one and can be resumed after the last.
class StreamFramer {
 public:
  void Add(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
  }
  // Removes and returns all complete events, unmodified; empty if none.
  std::string TakeCompleteEvents();
  // Removes and returns the bytes after the last complete event.
  std::string TakeRemainder();
  // True if a stream that ended now would end inside an event.
  bool has_incomplete_event() const;
  // Bytes that are held.
  size_t held_bytes() const { return pending_.capacity(); }
  // True if the incomplete event is longer than any that a target sends.
  bool is_event_too_long() const { return pending_.size() > kMaxEventBytes; }
  // Number of events taken, without blank lines between them.
  int event_count() const { return event_count_; }
  // Id of the last event taken that had one; empty if none had.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  static constexpr size_t kMaxEventBytes = 262144;

  // Updates the id of the last event and the number of events.
  void ScanEvents(absl::string_view events);

  std::string pending_;
  // Bytes at the start of `pending_` that hold no end of an event.
  size_t searched_ = 0;
  std::string last_event_id_;
  int event_count_ = 0;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STREAM_FRAMER_H_
