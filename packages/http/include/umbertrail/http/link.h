#ifndef UMBERTRAIL_HTTP_LINK_H_
#define UMBERTRAIL_HTTP_LINK_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace umbertrail::http {

// Where a link leads and how long it may stay without progress.
struct LinkSettings {
  // IP number and port.
  std::string address;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  // No byte read or written for this long means that the link is silent.
  absl::Duration progress_limit = absl::Seconds(1);
  // Whether the connection stays open for the next call.
  bool keep_alive = false;
  // File of the certificate authority; TLS is used when it is set.
  std::string ca_path;
};

struct Header {
  std::string name;
  std::string value;
};

struct Call {
  std::string method;
  std::string path;
  std::string body;
  std::vector<Header> headers;
};

// How far a call got. Only kRefused and kNotConnected promise that no byte of
// the call was written.
enum class Fault {
  kNone,          // a whole answer was read
  kRefused,       // the address refused the connection
  kNotConnected,  // no connection came about in time, or no TLS session
  kBroken,        // the connection broke after it stood, or the answer is not
                  // valid HTTP, its status outside 100 to 599 for one
  kSilent,        // no byte moved within the progress limit
  kStopped,       // the receiver wanted no more bytes, or Abort was called
  kTooLarge,      // the answer is over its size limit
};

struct Answer {
  Fault fault = Fault::kNone;
  // HTTP status; 0 when no answer's head was read.
  int status = 0;
  // Whether the answer says where it ends, by length or by chunks. Without,
  // an answer cut short looks like a whole one.
  bool delimited = false;
  // Bytes of the answer that no receiver took.
  std::string body;
};

// Takes the bytes of an answer with status 200; false ends the call.
using Receiver = std::function<bool(std::string_view)>;

// One client connection. Calls follow each other; a call is never sent twice,
// also when a kept connection turns out to be closed. Send belongs to one
// thread at a time, Abort to any.
class Link {
 public:
  explicit Link(LinkSettings settings);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Sends one call and reads its answer, at most `max_body` bytes of it.
  // Blocks for as long as there is progress.
  Answer Send(Call call, size_t max_body);

  // As above, but hands the bytes of a status 200 answer to `receiver`, which
  // runs on this thread.
  Answer Send(Call call, size_t max_body, const Receiver& receiver);

  // Ends the call under way, and each later one, with kStopped. Does not
  // block.
  void Abort();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::http

#endif  // UMBERTRAIL_HTTP_LINK_H_
