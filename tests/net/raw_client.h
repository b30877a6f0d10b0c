#ifndef UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_
#define UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_

#include <string>

#include "absl/time/time.h"

namespace umbertrail::testing {

// A connection that writes and reads bytes as they are, blocking.
class RawClient {
 public:
  // `address` is IP:PORT.
  explicit RawClient(const std::string& address);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return socket_ >= 0; }
  // A read that waits longer than this ends like a closed connection.
  void SetReadLimit(absl::Duration limit);
  void Send(const std::string& bytes);
  // Reads until `mark` has come, or the other end has closed; all that was
  // read since the last call.
  std::string ReadUntil(const std::string& mark);
  // Reads to the end of the connection.
  std::string ReadToEnd();
  // One answer with a stated length, or with chunks.
  std::string ReadAnswer();
  void Close();

 private:
  bool ReadSome();

  int socket_ = -1;
  std::string buffer_;
};

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_
