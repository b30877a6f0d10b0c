#ifndef UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_
#define UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_

#include <string>

#include "absl/time/time.h"

namespace umbertrail::testing {

// A blocking connection that writes and reads raw bytes.
class RawClient {
 public:
  // `address` is IP:PORT. With a receive buffer of that size in bytes, or the
  // system's default, and from the loopback address `source`, if it is given.
  explicit RawClient(const std::string& address,
                     int receive_buffer = 0,
                     const std::string& source = "");
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return socket_ >= 0; }
  // A read that times out after this is treated like a closed connection.
  void SetReadLimit(absl::Duration limit);
  void Send(const std::string& bytes);
  // Reads up to and including `mark`, or until the peer closes; returns the
  // bytes since the last call.
  std::string ReadUntil(const std::string& mark);
  // Reads to the end of the connection.
  std::string ReadToEnd();
  // Reads one response with Content-Length or chunked coding.
  std::string ReadAnswer();
  // Reads once; false at the end of the connection.
  bool ReadSome();
  // Sends no more, as a program that half-closes.
  void CloseSending();
  void Close();
  // The last read found that the peer had reset the connection.
  bool was_reset() const { return was_reset_; }

 private:
  int socket_ = -1;
  std::string buffer_;
  bool was_reset_ = false;
};

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_NET_RAW_CLIENT_H_
