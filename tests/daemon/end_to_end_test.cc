#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/synchronization/notification.h"

#include "fleet.h"
#include "standins/answer_text.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::json;

std::string CompletionBody(const std::string& prompt,
                           int64_t max_tokens,
                           bool stream) {
  const Json body = {{"model", "small"},
                     {"prompt", prompt},
                     {"max_tokens", max_tokens},
                     {"stream", stream}};
  return body.dump();
}

std::string ExpectedText(const std::string& prompt, int64_t tokens) {
  return standin::AnswerText(standin::PromptHash(prompt), 0, tokens);
}

// The text of a streamed answer; checks that its offsets follow each other and
// that it ends explicitly with its total.
std::string StreamedText(const std::string& body, int64_t tokens) {
  std::string text;
  int64_t offset = 0;
  size_t begin = 0;
  const std::string start = "data: ";
  std::string last;
  for (size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", begin)) {
    const std::string data =
        body.substr(begin + start.size(), end - begin - start.size());
    begin = end + 2;
    last = data;
    if (data == "[DONE]") {
      break;
    }
    const Json event = Json::parse(data);
    if (event.contains("done")) {
      CHECK(event["total_tokens"] == tokens);
      continue;
    }
    REQUIRE(event.contains("offset"));
    CHECK(event["offset"] == offset);
    offset += event["tokens"].get<int64_t>();
    text += event["text"].get<std::string>();
  }
  CHECK(last == "[DONE]");
  return text;
}

TEST_CASE("two daemons serve whole answers before real clients") {
  Fleet fleet;
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));

  SECTION("completions, whole and streamed, through either") {
    for (size_t n = 0; n < 2; ++n) {
      httplib::Client caller = fleet.Caller(n);
      for (const size_t length : {100, 5000, 60000}) {
        const std::string prompt(length, static_cast<char>('a' + n));
        const auto whole =
            caller.Post("/v1/completions", CompletionBody(prompt, 20, false),
                        "application/json");
        REQUIRE(whole);
        INFO(whole->body);
        REQUIRE(whole->status == 200);
        CHECK(Json::parse(whole->body)["text"] == ExpectedText(prompt, 20));
        const auto streamed =
            caller.Post("/v1/completions", CompletionBody(prompt, 20, true),
                        "application/json");
        REQUIRE(streamed);
        CHECK(StreamedText(streamed->body, 20) == ExpectedText(prompt, 20));
      }
    }
  }

  SECTION("a ticket runs a call once, through whichever daemon it comes") {
    httplib::Client issuer = fleet.Caller(0);
    const auto issued =
        issuer.Post("/v1/tickets", R"({"service":"desk","call":"file"})",
                    "application/json");
    REQUIRE(issued);
    INFO(issued->body);
    REQUIRE(issued->status == 200);
    const httplib::Headers headers{
        {"X-Ticket", Json::parse(issued->body)["ticket"].get<std::string>()}};
    for (const size_t n : {1, 0, 1}) {
      httplib::Client caller = fleet.Caller(n);
      const auto filed = caller.Post("/v1/services/desk/file", headers,
                                     "sheet 7", "text/plain");
      REQUIRE(filed);
      INFO(filed->body);
      CHECK(filed->status == 200);
      CHECK(filed->body == "filed sheet 7");
    }
    CHECK(fleet.service().RunsOf("sheet 7") == 1);
  }

  SECTION("a call that may not be repeated needs a ticket") {
    const auto refused =
        fleet.Caller(0).Post("/v1/services/desk/file", "sheet 8", "text/plain");
    REQUIRE(refused);
    CHECK(refused->status == 428);
    CHECK(Json::parse(refused->body)["error"]["ran"] == "no");
    CHECK(fleet.service().RunsOf("sheet 8") == 0);
  }

  SECTION("unknown models are refused as not run") {
    Json body = Json::parse(CompletionBody("p", 1, false));
    body["model"] = "none";
    const auto refused = fleet.Caller(0).Post("/v1/completions", body.dump(),
                                              "application/json");
    REQUIRE(refused);
    CHECK(refused->status == 404);
    CHECK(Json::parse(refused->body)["error"]["ran"] == "no");
  }

  SECTION("a graceful stop cuts off no answer and the rest goes on") {
    const std::string prompt(4000, 'z');
    std::string streamed;
    absl::Notification begun;
    std::thread thread([&] {
      httplib::Client caller = fleet.Caller(0);
      httplib::Request request;
      request.method = "POST";
      request.path = "/v1/completions";
      request.body = CompletionBody(prompt, 200, true);
      request.content_receiver = [&](const char* data, size_t n, uint64_t,
                                     uint64_t) {
        streamed.append(data, n);
        if (!begun.HasBeenNotified()) {
          begun.Notify();
        }
        return true;
      };
      caller.send(request);
    });
    begun.WaitForNotification();
    fleet.daemon(0).RequestStop();
    CHECK(fleet.Admin(0).Get("/readyz")->status == 503);
    CHECK(fleet.daemon(0).AwaitStopComplete(absl::Seconds(60)));
    fleet.daemon(0).Stop();
    thread.join();
    CHECK(StreamedText(streamed, 200) == ExpectedText(prompt, 200));
    const auto other = fleet.Caller(1).Post("/v1/completions",
                                            CompletionBody(prompt, 5, false),
                                            "application/json");
    REQUIRE(other);
    INFO(other->body);
    CHECK(other->status == 200);
  }
}

TEST_CASE("a graceful stop finishes requests that wait for a target") {
  Fleet fleet;
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.AwaitReady(1));
  const std::string prompt(4000, 'z');
  int status = 0;
  std::string answer;
  std::thread thread([&] {
    const auto result = fleet.Caller(0).Post("/v1/completions",
                                             CompletionBody(prompt, 20, false),
                                             "application/json");
    REQUIRE(result);
    status = result->status;
    answer = result->body;
  });
  httplib::Client admin = fleet.Admin(0);
  while (Json::parse(admin.Get("/status")->body)["requests"].empty()) {
    std::this_thread::yield();
  }
  fleet.daemon(0).RequestStop();
  CHECK(fleet.daemon(0).AwaitStopComplete(absl::Seconds(60)));
  fleet.daemon(0).Stop();
  thread.join();
  INFO(answer);
  CHECK(status == 200);
}

}  // namespace
}  // namespace umbertrail::daemon
