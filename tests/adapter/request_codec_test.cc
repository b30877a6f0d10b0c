#include "platform/request_codec.h"

#include <catch2/catch.hpp>

#include "umbertrail/base/hash.h"

namespace umbertrail::adapter {
namespace {

net::RequestHead SampleRequest() {
  net::RequestHead head;
  head.method = "POST";
  head.target = "/x/2f?q=1";
  head.headers.Add("Host", "a.example");
  head.headers.Add("X-Attempt-Id", "9c41");
  head.headers.Add("X-Model", "m");
  head.headers.Add("X-Token-Counts", "1460,80");
  head.headers.Add("X-Prompt-Prefix",
                   "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  head.headers.Add("X-Deadline-Ms", "10000");
  head.headers.Add("Authorization", "Token k1");
  return head;
}

RequestMetadata MetadataOf(const net::RequestHead& head) {
  const auto read = ReadRequest(head);
  REQUIRE(std::holds_alternative<RequestMetadata>(read));
  return std::get<RequestMetadata>(read);
}

TEST_CASE("a request's headers are parsed") {
  const net::RequestHead head = SampleRequest();
  const RequestMetadata metadata = MetadataOf(head);
  CHECK(metadata.id.text() == "9c41");
  CHECK(metadata.host == "a.example");
  CHECK(metadata.time_left == absl::Seconds(10));
  CHECK(metadata.prompt == Tokens(1460));
  // The last part belongs to this request alone.
  REQUIRE(metadata.shared_parts.size() == 2);
  CHECK(metadata.shared_parts[0] == Fingerprint(StableHash("5c1e07a2")));
  CHECK(metadata.shared_parts[1] == Fingerprint(StableHash("91bd3f06")));
  REQUIRE(metadata.key);
  CHECK(*metadata.key == "k1");
}

TEST_CASE("a request without optional headers gets the defaults") {
  net::RequestHead head;
  head.target = "/";
  head.headers.Add("Host", "a.example");
  const RequestMetadata metadata = MetadataOf(head);
  CHECK(metadata.time_left == absl::InfiniteDuration());
  CHECK(metadata.prompt == Tokens(0));
  CHECK(metadata.shared_parts.empty());
  CHECK_FALSE(metadata.key);
}

TEST_CASE("duplicate or invalid control headers are rejected") {
  for (const char* name : {"X-Attempt-Id", "X-Deadline-Ms", "Authorization"}) {
    net::RequestHead head = SampleRequest();
    head.headers.Add(name, "other");
    CHECK(std::holds_alternative<std::string>(ReadRequest(head)));
  }
  net::RequestHead head = SampleRequest();
  head.headers.Remove("X-Deadline-Ms");
  head.headers.Add("X-Deadline-Ms", "soon");
  CHECK(std::holds_alternative<std::string>(ReadRequest(head)));
}

TEST_CASE("a target gets the client's request and account but no key") {
  net::RequestHead from = SampleRequest();
  from.headers.Add("X-Tenant", "forged");
  from.headers.Add("X-Expect-Instance", "forged");
  from.headers.Add("X-Helpers", "10.0.0.1:1");
  from.headers.Add("X-Request-Urgency", "0");
  from.headers.Add("Connection", "X-Secret");
  from.headers.Add("X-Secret", "1");
  ForwardOptions options;
  options.target = TargetId("i-7f");
  options.account = ClientAccountId("club");
  options.time_left = absl::Milliseconds(9876.5);
  options.urgency = 3;
  options.helpers = {{"10.2.64.3:8080", "t81"}, {"10.2.64.5:8080", ""}};
  const net::RequestHead head = WriteRequest(from, options);
  const auto value = [&](const char* name) {
    const std::string* found = head.headers.Find(name);
    return found == nullptr ? std::string("none") : *found;
  };
  CHECK(head.method == "POST");
  CHECK(head.target == "/x/2f?q=1");
  CHECK(value("X-Attempt-Id") == "9c41");
  CHECK(value("X-Prompt-Prefix") == "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  CHECK(value("X-Tenant") == "club");
  CHECK(value("X-Expect-Instance") == "i-7f");
  CHECK(value("X-Deadline-Ms") == "9876");
  CHECK(value("X-Helpers") == "10.2.64.3:8080/t81,10.2.64.5:8080");
  CHECK(value("X-Request-Urgency") == "3");
  for (const char* dropped : {"Authorization", "X-Secret", "Connection"}) {
    CAPTURE(dropped);
    CHECK(value(dropped) == "none");
  }
  for (const char* single : {"X-Tenant", "X-Expect-Instance", "X-Deadline-Ms",
                             "X-Helpers", "X-Request-Urgency"}) {
    CHECK(head.headers.Count(single) == 1);
  }
}

TEST_CASE("a forged account is removed on a public route") {
  net::RequestHead from = SampleRequest();
  from.headers.Add("X-Tenant", "forged");
  const net::RequestHead head = WriteRequest(from, {});
  CHECK(head.headers.Find("X-Tenant") == nullptr);
}

TEST_CASE("a stream resumes after the stated event") {
  net::RequestHead from = SampleRequest();
  from.headers.Add("Last-Event-Id", "3");
  CHECK(*WriteRequest(from, {}).headers.Find("Last-Event-Id") == "3");
  ForwardOptions options;
  options.last_event = "12";
  const net::RequestHead head = WriteRequest(from, options);
  CHECK(head.headers.Count("Last-Event-Id") == 1);
  CHECK(*head.headers.Find("Last-Event-Id") == "12");
}

TEST_CASE("a response states its request and whether it ran") {
  net::ResponseHead head;
  head.status = 200;
  head.headers.Add("X-Attempt-Id", "9c41");
  CHECK(ReadResponse(head, RequestId("9c41")).matches_request);
  CHECK_FALSE(ReadResponse(head, RequestId("other")).matches_request);
  CHECK_FALSE(ReadResponse(head, RequestId("9c41")).not_run);
  net::ResponseHead busy;
  busy.status = 503;
  CHECK_FALSE(ReadResponse(busy, RequestId("9c41")).not_run);
  busy.headers.Add("X-Not-Executed", "1");
  CHECK(ReadResponse(busy, RequestId("9c41")).not_run);
  net::ResponseHead other;
  other.status = 421;
  CHECK(ReadResponse(other, RequestId("9c41")).misdirected);
  CHECK(ReadResponse(other, RequestId("9c41")).not_run);
}

TEST_CASE("only a response to this request counts as sealed") {
  net::ResponseHead head;
  head.status = 200;
  head.headers.Add("X-Attempt-Id", "9c41");
  CHECK_FALSE(ReadResponse(head, RequestId("9c41")).sealed);
  head.headers.Add("X-Response-Seal", "3e1b.07");
  CHECK(ReadResponse(head, RequestId("9c41")).sealed);
  CHECK_FALSE(ReadResponse(head, RequestId("other")).sealed);
  net::ResponseHead empty;
  empty.headers.Add("X-Response-Seal", "");
  CHECK_FALSE(ReadResponse(empty, RequestId("9c41")).sealed);
}

TEST_CASE("another request's response does not mark this one as not run") {
  net::ResponseHead late;
  late.status = 503;
  late.headers.Add("X-Not-Executed", "1");
  late.headers.Add("X-Attempt-Id", "other");
  CHECK_FALSE(ReadResponse(late, RequestId("9c41")).not_run);
  late.status = 421;
  CHECK_FALSE(ReadResponse(late, RequestId("9c41")).not_run);
}

TEST_CASE("Server-Leaving is parsed, except in a misdirected response") {
  net::ResponseHead head;
  head.status = 500;
  head.headers.Add("Server-Leaving", "1");
  CHECK(ReadResponse(head, RequestId("9c41")).leaving);
  head.status = 421;
  CHECK_FALSE(ReadResponse(head, RequestId("9c41")).leaving);
  net::ResponseHead stays;
  stays.status = 200;
  CHECK_FALSE(ReadResponse(stays, RequestId("9c41")).leaving);
}

TEST_CASE("Retry-After is parsed and capped") {
  const auto read = [](int status, const std::string& text) {
    net::ResponseHead head;
    head.status = status;
    head.headers.Add("Retry-After", text);
    return ReadResponse(head, RequestId("9c41"));
  };
  CHECK(read(503, "1.5").retry_after == absl::Milliseconds(1500));
  CHECK(read(503, "1.5").invalid_retry_after.empty());
  CHECK(read(200, "1.5").retry_after == absl::ZeroDuration());
  for (const std::string text : {"-1", "soon", "nan", "", "1s"}) {
    CAPTURE(text);
    CHECK(read(503, text).retry_after == absl::ZeroDuration());
    CHECK(read(503, text).invalid_retry_after == text);
  }
  for (const std::string text : {"86400", "inf", "1e300"}) {
    CAPTURE(text);
    CHECK(read(503, text).retry_after == absl::Hours(1));
    CHECK(read(503, text).invalid_retry_after == text);
  }
}

TEST_CASE("a stated rate limit is parsed") {
  const auto read = [](int status, const std::string& text) {
    net::ResponseHead head;
    head.status = status;
    head.headers.Add("Server-Limit", text);
    return ReadResponse(head, RequestId("9c41"));
  };
  CHECK(read(200, "2.5").rate_limit == 2.5);
  CHECK(read(503, "0").rate_limit == 0.0);
  CHECK(read(421, "2.5").rate_limit == std::nullopt);
  for (const std::string text : {"-1", "few", "nan", "inf", "", "2/s"}) {
    CAPTURE(text);
    CHECK(read(200, text).rate_limit == std::nullopt);
    CHECK(read(200, text).invalid_rate_limit == text);
  }
}

TEST_CASE("a request for another instance keeps the client's key") {
  const net::RequestHead head =
      WriteRelayedRequest(SampleRequest(), {absl::Milliseconds(700), 1, "12"});
  CHECK(*head.headers.Find("Authorization") == "Token k1");
  CHECK(*head.headers.Find("X-Deadline-Ms") == "700");
  CHECK(*head.headers.Find("Last-Event-Id") == "12");
  CHECK(MetadataOf(head).attempts_before == 1);
  CHECK(head.headers.Count("X-Deadline-Ms") == 1);
}

TEST_CASE("only what an instance passed on is a relayed request") {
  CHECK_FALSE(IsRelayedRequest(SampleRequest()));
  net::RequestHead probe;
  probe.target = "/readiness";
  CHECK_FALSE(IsRelayedRequest(probe));
  net::RequestHead forged = SampleRequest();
  forged.headers.Add("X-Attempts-Before", "7");
  const net::RequestHead head = WriteRelayedRequest(forged, {});
  CHECK(IsRelayedRequest(head));
  CHECK(MetadataOf(head).attempts_before == 0);
}

TEST_CASE("what instances tell each other doesn't reach a target") {
  net::RequestHead head = SampleRequest();
  head.headers.Add("X-Attempts-Before", "0");
  CHECK(WriteRequest(head, {}).headers.Find("X-Attempts-Before") == nullptr);
}

}  // namespace
}  // namespace umbertrail::adapter
