#ifndef UMBERTRAIL_NET_SRC_PARSER_H_
#define UMBERTRAIL_NET_SRC_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "umbertrail/net/message.h"

// Incremental HTTP/1.1 reader on Beast's parser, which rejects two lengths, a
// length with chunked coding, and line ends other than CRLF.

namespace umbertrail::net {

// Responses are streamed, not buffered, so their size is not limited.
inline constexpr uint64_t kUnboundedBody = uint64_t{1} << 50;

// Bytes after the head that the parser may leave unconsumed: the line with a
// chunk's size and extensions, or the trailer. A head has a limit of its own.
inline constexpr size_t kMaxUnconsumedBytes = 16384;

// RFC 9110, 15: a status outside this range is invalid. 600 to 999 belong to no
// class either, so no caller could act on them; they are invalid like 000 and
// 099, and the response is unreadable.
inline constexpr int kMinStatus = 100;
inline constexpr int kMaxStatus = 599;

// Parses one message; body bytes go to `on_body` as they arrive.
template <bool IsRequest>
class MessageReader : public boost::beast::http::basic_parser<IsRequest> {
  using Base = boost::beast::http::basic_parser<IsRequest>;
  using Error = boost::beast::error_code;
  using Text = boost::beast::string_view;

 public:
  explicit MessageReader(std::function<void(absl::string_view)> on_body)
      : on_body_(std::move(on_body)) {
    this->eager(true);
  }

  // Returns the number of bytes consumed; the caller keeps the others for the
  // next call. Sets `error` if the message is malformed or over a limit.
  size_t Feed(absl::string_view bytes, Error& error) {
    error = {};
    size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done()) {
      Error step;
      const size_t n = this->put(
          boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed),
          step);
      consumed += n;
      if (step == boost::beast::http::error::need_more) {
        if (n == 0) {
          break;
        }
        continue;
      }
      if (step) {
        error = step;
        break;
      }
      if (n == 0) {
        break;
      }
    }
    if (!error && !this->is_done() && this->is_header_done() &&
        bytes.size() - consumed > kMaxUnconsumedBytes) {
      error = boost::beast::http::error::buffer_overflow;
    }
    return consumed;
  }

  RequestHead& request() { return request_; }
  ResponseHead& response() { return response_; }

 private:
  void on_request_impl(boost::beast::http::verb,
                       Text method,
                       Text target,
                       int version,
                       Error&) override {
    request_.method.assign(method.data(), method.size());
    request_.target.assign(target.data(), target.size());
    request_.version = version;
  }
  void on_response_impl(int code, Text reason, int, Error& error) override {
    if (code < kMinStatus || code > kMaxStatus) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    response_.status = code;
    response_.reason.assign(reason.data(), reason.size());
  }
  void on_field_impl(boost::beast::http::field,
                     Text name,
                     Text value,
                     Error&) override {
    if (head_read_) {
      return;  // Trailer fields are ignored.
    }
    Headers& headers = IsRequest ? request_.headers : response_.headers;
    headers.Add(std::string(name.data(), name.size()),
                std::string(value.data(), value.size()));
  }
  void on_header_impl(Error&) override { head_read_ = true; }
  void on_body_init_impl(const boost::optional<uint64_t>&, Error&) override {}
  size_t on_body_impl(Text body, Error&) override {
    on_body_(absl::string_view(body.data(), body.size()));
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, Text, Error&) override {}
  size_t on_chunk_body_impl(uint64_t, Text body, Error&) override {
    on_body_(absl::string_view(body.data(), body.size()));
    return body.size();
  }
  void on_finish_impl(Error&) override {}

  std::function<void(absl::string_view)> on_body_;
  RequestHead request_;
  ResponseHead response_;
  bool head_read_ = false;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SRC_PARSER_H_
