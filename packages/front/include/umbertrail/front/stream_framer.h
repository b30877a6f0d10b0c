#ifndef UMBERTRAIL_FRONT_STREAM_FRAMER_H_
#define UMBERTRAIL_FRONT_STREAM_FRAMER_H_

#include <string>

#include "absl/strings/string_view.h"

namespace umbertrail::front {

// Splits a stream of server-sent events (HTML, 9.2) into whole events, so that
// an answer never stops inside one and can be continued after the last.
class StreamFramer {
 public:
  // Adds bytes as they came.
  void Add(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
  }
  // All whole events that have come, unchanged; empty when there is none.
  std::string TakeWhole();
  // The bytes after the last whole event.
  std::string TakeRest();
  // Id of the last event that was taken; empty when none stated one.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteIds(absl::string_view events);

  std::string pending_;
  std::string last_id_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STREAM_FRAMER_H_
