#include "umbertrail/daemon/filters.h"

#include <catch2/catch.hpp>

#include "test_accounts.h"

namespace umbertrail::daemon {
namespace {

class FiltersTest {
 protected:
  FiltersTest() { accounts_.Replace(ManifestWithClub()); }

  Filtered<Caller> Authenticate(const CallHeaders& headers) {
    return filters_.Authenticate(headers);
  }
  int StatusFor(const CallHeaders& headers) {
    const auto result = Authenticate(headers);
    return result.index() == 0 ? 200 : std::get<Refusal>(result).status;
  }

  AccountDirectory accounts_;
  RequestFilters filters_{
      Incarnation(0xabc), &accounts_, [] {
        return FilterLimits{absl::Seconds(60), absl::Hours(24)};
      }};
  CallHeaders good_{std::string(kClubAuthorization), std::nullopt, std::nullopt,
                    std::nullopt, std::nullopt};
};

Caller ExampleCaller() {
  return Caller{ClientAccountId("club"), "r", RequestId("r~1-1"),
                absl::Seconds(3)};
}

Filtered<CompletionCall> Classify(const std::string& body) {
  return RequestFilters::ClassifyCompletion(ExampleCaller(), body);
}

std::string FaultOf(const std::string& body) {
  const auto result = Classify(body);
  if (result.index() == 0) {
    return "";
  }
  CHECK(std::get<Refusal>(result).status == 400);
  CHECK(std::get<Refusal>(result).ran == core::Ran::kNo);
  return std::get<Refusal>(result).message;
}

bool Refused(const std::string& body) {
  return !FaultOf(body).empty();
}

TEST_CASE_METHOD(FiltersTest, "a known account passes with its own limits") {
  CallHeaders headers = good_;
  headers.request_id = "tally.7";
  headers.deadline_ms = "1500";
  const auto result = Authenticate(headers);
  REQUIRE(result.index() == 0);
  const Caller& caller = std::get<Caller>(result);
  CHECK(caller.account == ClientAccountId("club"));
  CHECK(caller.caller_id == "tally.7");
  CHECK(caller.id.text() == "tally.7~abc-1");
  CHECK(caller.time_limit == absl::Milliseconds(1500));
  CHECK(std::get<Caller>(Authenticate(good_)).caller_id == "abc-2");
}

TEST_CASE_METHOD(FiltersTest, "wrong credentials are refused alike") {
  for (const char* header :
       {"", "Bearer", "Bearer club", "Bearer club:wrong", "Bearer :secret",
        "Bearer other:secret", "Basic club:secret", "Bearer club:"}) {
    CAPTURE(header);
    CallHeaders headers = good_;
    headers.authorization = header;
    CHECK(StatusFor(headers) == 401);
  }
  CHECK(StatusFor(CallHeaders{}) == 401);
}

TEST_CASE("without a manifest nobody is known") {
  const AccountDirectory accounts;
  CHECK(accounts.Check(ClientAccountId("club"), "secret") ==
        AccountDirectory::Answer::kNoManifest);
}

TEST_CASE_METHOD(FiltersTest, "absurd deadlines are refused") {
  for (const char* text : {"0", "-1", "+5", "1.5", "1e3", "", " 5", "soon",
                           "86400001", "99999999999999999999", "nan"}) {
    CAPTURE(text);
    CallHeaders headers = good_;
    headers.deadline_ms = text;
    CHECK(StatusFor(headers) == 400);
  }
}

TEST_CASE_METHOD(FiltersTest, "malformed request ids are refused") {
  for (const std::string& text :
       {std::string(), std::string("a b"), std::string("a~b"),
        std::string("a/b"), std::string(65, 'a')}) {
    CAPTURE(text);
    CallHeaders headers = good_;
    headers.request_id = text;
    CHECK(StatusFor(headers) == 400);
  }
}

TEST_CASE("a completion is measured") {
  const std::string prompt(kBytesPerToken * 2048 + 1, 'p');
  const auto result = Classify(R"({"model":"m","max_tokens":7,"stream":true,)"
                               R"("session":"s","prompt":")" +
                               prompt + "\"}");
  REQUIRE(result.index() == 0);
  const auto& call = std::get<CompletionCall>(result);
  const core::RequestSpec& spec = call.arrival.spec;
  CHECK(call.stream);
  CHECK(spec.id == RequestId("r~1-1"));
  CHECK(spec.prompt == Tokens(2049));
  CHECK(spec.max_output == Tokens(7));
  REQUIRE(spec.prefix.size() == 2);
  CHECK(spec.prefix[1].length == Tokens(2048));
  CHECK(*call.arrival.body == prompt);
  CHECK(call.arrival.time_limit == absl::Seconds(3));
}

TEST_CASE("prefixes of equal prompts have equal marks") {
  const std::string shared(kBytesPerToken * 1024, 'a');
  const auto one =
      MarkPrefixes(shared + std::string(kBytesPerToken * 1024, 'b'));
  const auto two =
      MarkPrefixes(shared + std::string(kBytesPerToken * 1024, 'c'));
  CHECK(one[0].hash == two[0].hash);
  CHECK(one[1].hash != two[1].hash);
  CHECK(MarkPrefixes(std::string(4095, 'a')).empty());
}

TEST_CASE("bodies that make no sense are refused") {
  CHECK(Refused(""));
  CHECK(Refused("{"));
  CHECK(Refused("[]"));
  CHECK(Refused("{\"model\":\"m\",\"prompt\":\"\xff\",\"max_tokens\":1}"));
  const std::string start = R"({"model":"m","prompt":"p","max_tokens":)";
  CHECK_FALSE(Refused(start + "1}"));
  for (const char* count : {"0", "-1", "1.0", "1e2", "1000001", "\"1\"", "null",
                            "99999999999999999999", "true", "[1]"}) {
    CAPTURE(count);
    CHECK(Refused(start + count + "}"));
  }
  CHECK(Refused(start + R"(1,"prompt_tokens":2})"));
  CHECK(Refused(start + R"(1,"prompt_tokens":-2})"));
  CHECK_FALSE(Refused(start + R"(1,"prompt_tokens":1})"));
  CHECK(Refused(start + R"(1,"stream":"yes"})"));
  CHECK(Refused(start + R"(1,"temperature":1})"));
  CHECK(Refused(R"({"model":"","prompt":"p","max_tokens":1})"));
  CHECK(Refused(R"({"model":"m","prompt":"","max_tokens":1})"));
  CHECK(FaultOf(R"({"model":"m","max_tokens":1})") == "prompt is required");
}

TEST_CASE("a prompt far longer than its stated tokens is refused") {
  const std::string prompt(6400, 'p');
  const std::string start = R"({"model":"m","max_tokens":1,"prompt":")" +
                            prompt + R"(","prompt_tokens":)";
  CHECK(Refused(start + "99}"));
  CHECK_FALSE(Refused(start + "100}"));
}

TEST_CASE("a service call carries a ticket or a key, not both") {
  CallHeaders headers;
  const auto classify = [&] {
    return RequestFilters::ClassifyServiceCall(ExampleCaller(), headers,
                                               "filing", "submit", "bytes");
  };
  auto result = classify();
  REQUIRE(result.index() == 0);
  CHECK(std::get<core::RequestArrived>(result).spec.call == "submit");

  headers.idempotency_key = "key-1";
  result = classify();
  REQUIRE(result.index() == 0);
  CHECK(std::get<core::RequestArrived>(result).spec.idempotency_key == "key-1");

  headers.ticket = "rubbish";
  CHECK(std::get<Refusal>(classify()).status == 400);
  headers.idempotency_key.reset();
  CHECK(std::get<Refusal>(classify()).reason == "ticket_invalid");
  headers.ticket.reset();
  headers.idempotency_key = "with space";
  CHECK(std::get<Refusal>(classify()).status == 400);
}

}  // namespace
}  // namespace umbertrail::daemon
