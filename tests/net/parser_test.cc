#include "parser.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

namespace umbertrail::net {
namespace {

struct Read {
  bool done = false;
  bool failed = false;
  std::string body;
  std::string target;
};

// Feeds `bytes` in parts of `size` bytes, keeping those not consumed.
Read ReadRequestIn(const std::string& bytes, size_t size) {
  Read read;
  MessageReader<true> reader([&](absl::string_view part) {
    read.body.append(part.data(), part.size());
  });
  std::string pending;
  for (size_t at = 0; at < bytes.size() && !read.failed; at += size) {
    pending += bytes.substr(at, size);
    boost::beast::error_code error;
    pending.erase(0, reader.Feed(pending, error));
    read.failed = static_cast<bool>(error);
  }
  read.done = reader.is_done();
  read.target = reader.request().target;
  return read;
}

TEST_CASE("a request is parsed the same in parts of any size") {
  const std::string whole =
      "POST /a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n1a;ext=1\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n";
  for (size_t size = 1; size <= whole.size(); ++size) {
    const Read read = ReadRequestIn(whole, size);
    REQUIRE_FALSE(read.failed);
    REQUIRE(read.done);
    REQUIRE(read.body == "helloabcdefghijklmnopqrstuvwxyz");
    REQUIRE(read.target == "/a/b");
  }
}

TEST_CASE("ambiguous framing is rejected") {
  const char* const malformed[] = {
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
      "Content-Length: 3\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\nHost: x\n\n",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1x\r\n\r\na",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\na",
      "POST / HTTP/1.1\r\nHost : x\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "zz\r\nab\r\n0\r\n\r\n",
  };
  for (const char* bad : malformed) {
    CAPTURE(bad);
    CHECK(ReadRequestIn(bad, 1000).failed);
  }
}

// Bytes that the parser neither consumes nor rejects fill the reader's buffer
// for as long as the sender goes on.
TEST_CASE("bytes without end in a chunked body are rejected") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string endless(size_t{1} << 20, '0');
  for (const std::string& start :
       {std::string(), std::string("1;"), std::string("5\r\nhello\r\n"),
        std::string("0\r\nX-Trailer: ")}) {
    for (const size_t size : {size_t{1000}, size_t{8192}, size_t{1} << 20}) {
      CAPTURE(start, size);
      CHECK(ReadRequestIn(head + start + endless, size).failed);
    }
  }
}

TEST_CASE("a chunk extension and a trailer of ordinary size are accepted") {
  const std::string ordinary(4000, 'a');
  const Read read = ReadRequestIn(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;e=" +
          ordinary + "\r\nhello\r\n0\r\nX-Trailer: " + ordinary + "\r\n\r\n",
      1000);
  CHECK_FALSE(read.failed);
  CHECK(read.done);
  CHECK(read.body == "hello");
}

TEST_CASE("arbitrary bytes do not break the parser") {
  CHECK(rc::check([] {
    std::string bytes =
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n";
    const int changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      const auto byte = *rc::gen::arbitrary<char>();
      if (*rc::gen::arbitrary<bool>()) {
        bytes[at] = byte;
      } else {
        bytes.insert(at, 1, byte);
      }
    }
    const size_t size = *rc::gen::inRange<size_t>(1, 40);
    const Read read = ReadRequestIn(bytes, size);
    RC_ASSERT(read.body.size() <= bytes.size());
  }));
}

}  // namespace
}  // namespace umbertrail::net
