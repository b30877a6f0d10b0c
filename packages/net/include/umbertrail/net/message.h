#ifndef UMBERTRAIL_NET_MESSAGE_H_
#define UMBERTRAIL_NET_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

// The heads of HTTP/1.1 messages as plain values, independent of the parser
// that read them.

namespace umbertrail::net {

// One header field. The name keeps the spelling of the sender.
struct HeaderField {
  std::string name;
  std::string value;
};

// True when both names are equal without regard to case.
bool SameName(absl::string_view a, absl::string_view b);

// Header fields in the order in which they were sent.
class Headers {
 public:
  // The value of the first field of that name, or null.
  const std::string* Find(absl::string_view name) const;
  // How many fields have that name.
  int Count(absl::string_view name) const;
  void Add(std::string name, std::string value);
  // Drops every field of that name.
  void Remove(absl::string_view name);
  // Drops the fields that concern one connection only (RFC 9110, 7.6.1), and
  // those that the message's Connection field names.
  void RemoveHopByHop();

  const std::vector<HeaderField>& fields() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

struct RequestHead {
  std::string method;
  // Path and query as sent.
  std::string target;
  // 10 or 11.
  int version = 11;
  Headers headers;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  // Length of the body where the sender states one.
  std::optional<uint64_t> length;
  // The body ends with the connection.
  bool ends_with_connection = false;
  // The sender takes another request on this connection.
  bool keep_alive = true;
};

// Text of a request head that ends with the empty line. `length` is the size
// of the body that follows; a length is stated when there is a body or the
// method usually has one.
std::string WriteRequestHead(const RequestHead& head, size_t length);

// Text of a response head. Without a length the body is chunked when
// `chunked`, and ends with the connection otherwise.
std::string WriteResponseHead(const ResponseHead& head,
                              bool chunked,
                              bool close);

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_MESSAGE_H_
