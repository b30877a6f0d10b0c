#ifndef UMBERTRAIL_NET_MESSAGE_H_
#define UMBERTRAIL_NET_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

// Heads of HTTP/1.1 messages as plain values, independent of the parser.

namespace umbertrail::net {

// The name keeps the spelling of the sender.
struct HeaderField {
  std::string name;
  std::string value;
};

// Compares header names, ignoring case.
bool SameName(absl::string_view a, absl::string_view b);

// Header fields in the order in which they were sent.
class Headers {
 public:
  // The value of the first field of that name, or null.
  const std::string* Find(absl::string_view name) const;
  int Count(absl::string_view name) const;
  void Add(std::string name, std::string value);
  // Removes every field of that name.
  void Remove(absl::string_view name);
  // Removes the hop-by-hop fields (RFC 9110, 7.6.1) and those that the
  // Connection field names.
  void RemoveHopByHop();

  const std::vector<HeaderField>& fields() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

struct RequestHead {
  std::string method;
  // Path and query as sent.
  std::string target;
  // HTTP version: 10 or 11.
  int version = 11;
  Headers headers;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  // Content-Length, if any.
  std::optional<uint64_t> length;
  // The body is delimited by the end of the connection.
  bool ends_with_connection = false;
  // The sender accepts another request on this connection.
  bool keep_alive = true;
};

// Serialises a request head with its final empty line. `length` is the body's
// size; Content-Length is written if there is a body or the method usually has
// one.
std::string WriteRequestHead(const RequestHead& head, size_t length);

// Serialises a response head. Without a length the body is chunked if
// `chunked`, else delimited by the end of the connection.
std::string WriteResponseHead(const ResponseHead& head,
                              bool chunked,
                              bool close);

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_MESSAGE_H_
