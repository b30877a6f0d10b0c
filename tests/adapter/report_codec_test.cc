#include "platform/report_codec.h"

#include <catch2/catch.hpp>

namespace umbertrail::adapter {
namespace {

TEST_CASE("the question for a report names the target that is meant") {
  const net::RequestHead head =
      WriteReportRequest("10.2.64.21:8144", TargetId("i-7f3a91c2"));
  CHECK(net::WriteRequestHead(head, 0) ==
        "GET /report HTTP/1.1\r\nHost: 10.2.64.21:8144\r\n"
        "X-Expect-Instance: i-7f3a91c2\r\n\r\n");
}

TEST_CASE("only status 421 says that another target has the address") {
  net::ResponseHead head;
  head.status = 421;
  CHECK(IsMisdirected(head));
  head.status = GENERATE(200, 404, 400, 503);
  CHECK_FALSE(IsMisdirected(head));
}

TEST_CASE("a report's time of birth is a whole number at its top level") {
  CHECK(ReadReportedBirth(R"({"sequence":2,"born":1700000000000})") ==
        1700000000000);
  CHECK_FALSE(ReadReportedBirth(R"({"sequence":2})").has_value());
  CHECK_FALSE(ReadReportedBirth(R"({"born":"1700000000000"})").has_value());
  CHECK_FALSE(ReadReportedBirth(R"({"born":1.5})").has_value());
  CHECK_FALSE(ReadReportedBirth(R"({"models":{"born":1}})").has_value());
  CHECK_FALSE(ReadReportedBirth(R"([{"born":1}])").has_value());
  CHECK_FALSE(ReadReportedBirth("").has_value());
  CHECK_FALSE(ReadReportedBirth("\xff\xfe{").has_value());
}

}  // namespace
}  // namespace umbertrail::adapter
