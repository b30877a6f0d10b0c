#include "umbertrail/net/message.h"

#include <catch2/catch.hpp>

namespace umbertrail::net {
namespace {

TEST_CASE("header names are case-insensitive") {
  Headers headers;
  headers.Add("Host", "a");
  headers.Add("X-Two", "1");
  headers.Add("x-two", "2");
  REQUIRE(headers.Find("HOST") != nullptr);
  CHECK(*headers.Find("HOST") == "a");
  CHECK(headers.Count("X-TWO") == 2);
  headers.Remove("X-Two");
  CHECK(headers.Find("x-two") == nullptr);
  CHECK(headers.fields().size() == 1);
}

TEST_CASE("hop-by-hop fields are removed") {
  Headers headers;
  headers.Add("Connection", "close, X-Mine");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Mine", "1");
  headers.Add("X-Yours", "2");
  headers.RemoveHopByHop();
  REQUIRE(headers.fields().size() == 1);
  CHECK(headers.fields().front().name == "X-Yours");
}

TEST_CASE("heads are serialised with the framing of their body") {
  RequestHead request;
  request.method = "POST";
  request.target = "/x?y=1";
  request.headers.Add("Host", "a");
  CHECK(WriteRequestHead(request, 0) ==
        "POST /x?y=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  request.method = "GET";
  CHECK(WriteRequestHead(request, 0) ==
        "GET /x?y=1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ResponseHead response;
  response.status = 200;
  response.reason = "OK";
  CHECK(WriteResponseHead(response, true, false) ==
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  response.length = 3;
  CHECK(WriteResponseHead(response, false, true) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n");
}

}  // namespace
}  // namespace umbertrail::net
