#ifndef UMBERTRAIL_NET_SRC_SERVER_READER_H_
#define UMBERTRAIL_NET_SRC_SERVER_READER_H_

#include <string>

#include "absl/strings/string_view.h"
#include "parser.h"
#include "umbertrail/net/server.h"

namespace umbertrail::net {

// Reads one request; its body goes to `body`.
struct ServerConnection::Reader {
  explicit Reader(std::string& body)
      : message([&body](absl::string_view bytes) {
          body.append(bytes.data(), bytes.size());
        }) {}
  MessageReader<true> message;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SRC_SERVER_READER_H_
