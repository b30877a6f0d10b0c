#include "caller.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "admin_client.h"

namespace umbertrail::cli {
namespace {

// An instance that answers every call with what a test sets.
class FakeInstance {
 public:
  FakeInstance() {
    server_.Post(".*", [this](const httplib::Request& request,
                              httplib::Response& response) {
      seen = request;
      response.status = status;
      response.set_content(body, "application/json");
    });
    server_.Get(".*",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(body, "application/json");
                });
    port_ = server_.bind_to_any_port("127.0.0.1");
    listener_ = std::thread([this] { server_.listen_after_bind(); });
    // A stop before the server runs would be lost.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeInstance() {
    server_.stop();
    listener_.join();
  }

  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }

  int status = 200;
  std::string body;
  httplib::Request seen;

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread listener_;
};

PromptCall PromptFor(const std::string& address) {
  PromptCall out;
  out.address = address;
  out.account = "club";
  out.secret = "secret";
  out.request_id = "r1";
  out.model = "small";
  out.prompt = "hello";
  out.time_limit = absl::Seconds(5);
  return out;
}

ServiceCall ServiceFor(const std::string& address) {
  ServiceCall out;
  out.address = address;
  out.account = "club";
  out.secret = "secret";
  out.service = "desk";
  out.call = "file";
  out.body = "sheet";
  out.time_limit = absl::Seconds(5);
  return out;
}

TEST_CASE("a prompt's stream is read to its end") {
  FakeInstance instance;
  instance.body =
      "data: {\"id\":\"r1\",\"offset\":0,\"tokens\":1,\"text\":\"hi\"}\n\n"
      "data: {\"id\":\"r1\",\"done\":true,\"total_tokens\":1}\n\n"
      "data: [DONE]\n\n";
  std::string shown;
  const CallResult result = MakeHttpCaller()->Prompt(
      PromptFor(instance.address()),
      [&](std::string_view text) { shown.append(text); });
  CHECK(result.end == CallEnd::kWhole);
  CHECK(shown == "hi");
  CHECK(instance.seen.get_header_value("Authorization") ==
        "Bearer club:secret");
  CHECK(instance.seen.get_header_value("X-Deadline-Ms") == "5000");
  CHECK(instance.seen.get_header_value("X-Request-Id") == "r1");
}

TEST_CASE("a refusal tells reason, ran and when to come back") {
  FakeInstance instance;
  instance.status = 503;
  instance.body =
      R"({"error":{"reason":"overloaded","ran":"no","retry_after_ms":1500}})";
  const CallResult result = MakeHttpCaller()->Prompt(
      PromptFor(instance.address()), [](std::string_view) {});
  CHECK(result.end == CallEnd::kRefused);
  CHECK(result.status == 503);
  CHECK(result.reason == "overloaded");
  CHECK(result.ran == "no");
  CHECK(result.retry_after == absl::Milliseconds(1500));
}

TEST_CASE("a ticket is taken and shown with the call") {
  FakeInstance instance;
  const auto caller = MakeHttpCaller();
  instance.body = R"({"ticket":"t1","valid_for_ms":1000})";
  ServiceCall call = ServiceFor(instance.address());
  const CallResult ticket = caller->Ticket(call);
  REQUIRE(ticket.end == CallEnd::kWhole);
  CHECK(ticket.body == "t1");
  call.ticket = ticket.body;
  instance.body = "filed";
  const CallResult result = caller->Service(call);
  CHECK(result.end == CallEnd::kWhole);
  CHECK(result.body == "filed");
  CHECK(instance.seen.get_header_value("X-Ticket") == "t1");
  CHECK(instance.seen.path == "/v1/services/desk/file");
  CHECK(instance.seen.body == "sheet");
}

TEST_CASE("an address where nobody listens is unreachable") {
  std::string address;
  {
    const FakeInstance gone;
    address = gone.address();
  }
  CHECK(MakeHttpCaller()->Service(ServiceFor(address)).end ==
        CallEnd::kUnreachable);
  CHECK_FALSE(IsOk(MakeHttpAdminClient()->Get(address, "/status")));
}

TEST_CASE("admin pages come in the order of their addresses") {
  FakeInstance a;
  FakeInstance b;
  a.body = "a";
  b.body = "b";
  const auto pages = GetAll(*MakeHttpAdminClient(),
                            {b.address(), a.address(), b.address()}, "/status");
  REQUIRE(pages.size() == 3);
  CHECK(ValueOf(pages[0]).body == "b");
  CHECK(ValueOf(pages[1]).body == "a");
  CHECK(ValueOf(pages[2]).body == "b");
}

}  // namespace
}  // namespace umbertrail::cli
