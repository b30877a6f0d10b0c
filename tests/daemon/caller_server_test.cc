#include "umbertrail/daemon/caller_server.h"

#include <atomic>
#include <thread>

#include <httplib.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "raw_client.h"
#include "test_accounts.h"
#include "umbertrail/daemon/ticket_text.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kPatience = absl::Seconds(30);

// Stands for the core loop: answers each arrival by a script.
class FakeCore : public EventPort {
 public:
  using Script = std::function<void(const RequestId&, RequestTable*)>;

  explicit FakeCore(RequestTable* table) : table_(table) {}

  bool Offer(core::Event event) override {
    if (full) {
      return false;
    }
    RequestId id;
    if (const auto* arrival = std::get_if<core::RequestArrived>(&event)) {
      id = arrival->spec.id;
    } else {
      id = std::get<core::TicketRequested>(event).request;
    }
    Script current;
    {
      absl::MutexLock lock(&mutex_);
      arrivals_.push_back(std::move(event));
      current = script_;
    }
    if (current) {
      current(id, table_);
    }
    return true;
  }
  void Post(core::Event event) override {
    absl::MutexLock lock(&mutex_);
    if (std::holds_alternative<core::CallerGone>(event)) {
      ++gone_;
    }
  }

  void SetScript(Script script) {
    absl::MutexLock lock(&mutex_);
    script_ = std::move(script);
  }
  core::Event LastArrival() {
    absl::MutexLock lock(&mutex_);
    return arrivals_.back();
  }
  size_t arrivals() {
    absl::MutexLock lock(&mutex_);
    return arrivals_.size();
  }
  bool AwaitArrivals(size_t n) {
    absl::MutexLock lock(&mutex_);
    const auto reached = [this, n] { return arrivals_.size() >= n; };
    return mutex_.AwaitWithTimeout(absl::Condition(&reached), kPatience);
  }
  bool AwaitGone(int n) {
    absl::MutexLock lock(&mutex_);
    const auto reached = [this, n] { return gone_ >= n; };
    return mutex_.AwaitWithTimeout(absl::Condition(&reached), kPatience);
  }
  int gone() {
    absl::MutexLock lock(&mutex_);
    return gone_;
  }

  std::atomic<bool> full{false};

 private:
  RequestTable* table_;
  absl::Mutex mutex_;
  Script script_;
  std::vector<core::Event> arrivals_;
  int gone_ = 0;
};

void Finish(RequestTable* table,
            const RequestId& id,
            core::Reason reason,
            core::Ran ran,
            int64_t total = 0) {
  core::Outcome outcome;
  outcome.reason = reason;
  outcome.ran = ran;
  outcome.total = Tokens(total);
  table->Finish(core::FinishRequest{id, outcome});
}

// Relays "one two " as two parts and finishes.
void AnswerTwoParts(const RequestId& id, RequestTable* table) {
  table->Relay(core::RelayChunk{id, Tokens(0), Tokens(1), "one "});
  table->Relay(core::RelayChunk{id, Tokens(1), Tokens(2), "two "});
  Finish(table, id, core::Reason::kOk, core::Ran::kYes, 3);
}

CallerServerOptions TestOptions() {
  CallerServerOptions options;
  options.address = "127.0.0.1:0";
  options.connections = 16;
  options.read_timeout = absl::Milliseconds(300);
  options.idle_timeout = absl::Milliseconds(300);
  return options;
}

class FrontTest {
 protected:
  explicit FrontTest(const CallerServerOptions& options = TestOptions())
      : server_(options, Parts()) {
    accounts_.Replace(ManifestWithClub());
    REQUIRE(IsOk(server_.Start()));
    client_ = std::make_unique<httplib::Client>("http://" + server_.address());
    client_->set_read_timeout(30, 0);
  }

  CallerServerParts Parts() {
    CallerServerParts parts;
    parts.filters = &filters_;
    parts.table = &table_;
    parts.events = &core_;
    parts.limits = [] {
      CallerLimits limits;
      limits.body_bytes = 4096;
      limits.service_body_bytes = 100;
      return limits;
    };
    return parts;
  }

  httplib::Headers Headers() const {
    return {{"Authorization", kClubAuthorization}, {"X-Request-Id", "r"}};
  }
  httplib::Result Complete(const std::string& more = "") {
    return client_->Post(
        "/v1/completions", Headers(),
        R"({"model":"m","prompt":"p","max_tokens":9)" + more + "}",
        "application/json");
  }
  std::string Head(size_t length) const {
    return absl::StrCat(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: ",
        kClubAuthorization, "\r\nContent-Length: ", length, "\r\n\r\n");
  }
  // The answer to raw bytes, after which sending ends.
  std::string RawAnswer(const std::string& bytes) {
    RawClient client(server_.address());
    client.Send(bytes);
    return client.ReadAll();
  }

  RequestTable table_;
  FakeCore core_{&table_};
  AccountDirectory accounts_;
  RequestFilters filters_{
      Incarnation(1), &accounts_, [] {
        return FilterLimits{absl::Seconds(60), absl::Hours(24)};
      }};
  CallerServer server_;
  std::unique_ptr<httplib::Client> client_;
};

TEST_CASE_METHOD(FrontTest, "a whole completion comes in one answer") {
  core_.SetScript(AnswerTwoParts);
  const auto result = Complete();
  REQUIRE(result);
  CHECK(result->status == 200);
  const Json json = Json::parse(result->body);
  CHECK(json["id"] == "r");
  CHECK(json["model"] == "m");
  CHECK(json["text"] == "one two ");
  CHECK(json["total_tokens"] == 3);
  CHECK(json["finish"] == "complete");
  CHECK(core_.gone() == 0);
  CHECK(table_.size() == 0);  // NOLINT(readability-container-size-empty)
}

TEST_CASE_METHOD(FrontTest, "a range or an encoding never changes an answer") {
  core_.SetScript(AnswerTwoParts);
  httplib::Headers headers = Headers();
  headers.emplace("Range", "bytes=0-3");
  headers.emplace("Accept-Encoding", "gzip");
  const auto result =
      client_->Post("/v1/completions", headers,
                    R"({"model":"m","prompt":"p","max_tokens":9})", "a/b");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(Json::parse(result->body)["finish"] == "complete");
}

TEST_CASE_METHOD(FrontTest, "a streamed completion ends explicitly") {
  core_.SetScript(AnswerTwoParts);
  const auto result = Complete(R"(,"stream":true)");
  REQUIRE(result);
  CHECK(result->get_header_value("Content-Type") == "text/event-stream");
  CHECK(result->body ==
        "data: {\"id\":\"r\",\"offset\":0,\"text\":\"one \",\"tokens\":1}\n\n"
        "data: {\"id\":\"r\",\"offset\":1,\"text\":\"two \",\"tokens\":2}\n\n"
        "data: {\"done\":true,\"id\":\"r\",\"total_tokens\":3}\n\n"
        "data: [DONE]\n\n");
}

TEST_CASE_METHOD(FrontTest, "a stream that fails ends with its error") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    table->Relay(core::RelayChunk{id, Tokens(0), Tokens(1), "one"});
    Finish(table, id, core::Reason::kRetriesExhausted, core::Ran::kYes);
  });
  const auto result = Complete(R"(,"stream":true)");
  REQUIRE(result);
  CHECK(result->body.find("\"reason\":\"retries_exhausted\"") !=
        std::string::npos);
  CHECK(result->body.find("[DONE]") == std::string::npos);
}

TEST_CASE_METHOD(FrontTest, "a total that doesn't fit is never called whole") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    table->Relay(core::RelayChunk{id, Tokens(0), Tokens(1), "one"});
    Finish(table, id, core::Reason::kOk, core::Ran::kYes, 2);
  });
  CHECK(Complete()->status == 500);
  CHECK(Complete(R"(,"stream":true)")->body.find("[DONE]") ==
        std::string::npos);
}

TEST_CASE_METHOD(FrontTest, "a refusal before the first part has its status") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    core::Outcome outcome;
    outcome.reason = core::Reason::kOverAccountLimit;
    outcome.retry_after = absl::Milliseconds(1500);
    table->Finish(core::FinishRequest{id, outcome});
  });
  for (const char* more : {"", R"(,"stream":true)"}) {
    const auto result = Complete(more);
    REQUIRE(result);
    CHECK(result->status == 429);
    CHECK(result->get_header_value("Retry-After") == "2");
    const Json error = Json::parse(result->body)["error"];
    CHECK(error["reason"] == "over_account_limit");
    CHECK(error["ran"] == "no");
    CHECK(error["request_id"] == "r");
    CHECK(error["retry_after_ms"] == 1500);
  }
}

TEST_CASE_METHOD(FrontTest, "a service call gives the service's bytes") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    core::Outcome outcome;
    outcome.ran = core::Ran::kYes;
    outcome.body =
        std::make_shared<const std::string>(std::string("\x00\xff", 2));
    table->Finish(core::FinishRequest{id, outcome});
  });
  httplib::Headers headers = Headers();
  headers.emplace("Idempotency-Key", "k1");
  const auto result = client_->Post("/v1/services/filing/submit", headers,
                                    "sheet", "text/plain");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->body == std::string("\x00\xff", 2));
  const auto arrival = std::get<core::RequestArrived>(core_.LastArrival());
  CHECK(arrival.spec.service == ServiceId("filing"));
  CHECK(arrival.spec.call == "submit");
  CHECK(arrival.spec.idempotency_key == "k1");
  CHECK(*arrival.body == "sheet");
}

TEST_CASE_METHOD(FrontTest, "a ticket is issued as text") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    core::Ticket ticket;
    ticket.serial = 5;
    table->Issue(core::TicketIssued{id, ticket, absl::Seconds(30)});
  });
  const auto result =
      client_->Post("/v1/tickets", Headers(),
                    R"({"service":"filing","call":"submit"})", "a/b");
  REQUIRE(result);
  const Json json = Json::parse(result->body);
  CHECK(json["valid_for_ms"] == 30000);
  const auto ticket = ParseTicket(json["ticket"].get<std::string>());
  REQUIRE(IsOk(ticket));
  CHECK(ValueOf(ticket).serial == 5);
}

TEST_CASE_METHOD(FrontTest, "an id in flight can't be used a second time") {
  absl::Notification release;
  std::thread first([&] {
    httplib::Client client("http://" + server_.address());
    client.set_read_timeout(30, 0);
    const auto result = client.Post(
        "/v1/completions", Headers(),
        R"({"model":"m","prompt":"p","max_tokens":9})", "application/json");
    REQUIRE(result);
    CHECK(result->status == 200);
  });
  REQUIRE(core_.AwaitArrivals(1));
  const auto result = Complete();
  REQUIRE(result);
  CHECK(result->status == 409);
  CHECK(Json::parse(result->body)["error"]["ran"] == "no");
  CHECK(core_.arrivals() == 1);
  const auto event = std::get<core::RequestArrived>(core_.LastArrival());
  AnswerTwoParts(event.spec.id, &table_);
  first.join();
}

TEST_CASE_METHOD(FrontTest, "a caller that goes away is reported") {
  {
    RawClient client(server_.address());
    const std::string body = R"({"model":"m","prompt":"p","max_tokens":9})";
    client.Send(Head(body.size()) + body);
    REQUIRE(core_.AwaitArrivals(1));
  }
  CHECK(core_.AwaitGone(1));
}

TEST_CASE_METHOD(FrontTest, "a caller that leaves a stream is reported") {
  core_.SetScript([](const RequestId& id, RequestTable* table) {
    table->Relay(core::RelayChunk{id, Tokens(0), Tokens(1), "one"});
  });
  {
    RawClient client(server_.address());
    const std::string body =
        R"({"model":"m","prompt":"p","max_tokens":9,"stream":true})";
    client.Send(Head(body.size()) + body);
    CHECK(client.Read().find("200 OK") != std::string::npos);
  }
  CHECK(core_.AwaitGone(1));
}

TEST_CASE_METHOD(FrontTest, "a full core is an honest refusal") {
  core_.full = true;
  const auto result = Complete();
  REQUIRE(result);
  CHECK(result->status == 503);
  CHECK(result->get_header_value("Retry-After") == "1");
  CHECK(Json::parse(result->body)["error"]["ran"] == "no");
  CHECK(table_.size() == 0);  // NOLINT(readability-container-size-empty)
}

TEST_CASE_METHOD(FrontTest, "a refused resend may have run before") {
  const std::pair<const char*, const char*> tokens[] = {
      {"Idempotency-Key", "key-1"}, {"X-Ticket", "any"}};
  for (const auto& token : tokens) {
    httplib::Headers headers = {{token.first, token.second},
                                {"Authorization", "Bearer nobody:wrong"}};
    const auto result =
        client_->Post("/v1/services/desk/file", headers, "x", "text/plain");
    REQUIRE(result);
    CHECK(result->status == 401);
    CHECK(Json::parse(result->body)["error"]["ran"] == "unknown");
  }
}

TEST_CASE_METHOD(FrontTest, "bad input is refused as not run") {
  struct Case {
    const char* name;
    std::string bytes;
    const char* status;
  };
  const std::string auth =
      absl::StrCat("Authorization: ", kClubAuthorization, "\r\n");
  const std::string post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
  const std::vector<Case> cases{
      {"oversize", Head(5000) + std::string(5000, 'x'), " 413 "},
      {"oversize, announced", Head(size_t{1} << 40), " 413 "},
      {"oversize, chunked",
       post + auth + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
           std::string(5000, 'x') + "\r\n0\r\n\r\n",
       " 413 "},
      {"truncated", Head(100) + "{", " 408 "},
      {"not UTF-8", Head(2) + "\xff\xfe", " 400 "},
      {"no JSON", Head(1) + "{", " 400 "},
      {"no account", post + "Content-Length: 2\r\n\r\n{}", " 401 "},
      {"no length", post + auth + "\r\n", " 400 "},
      {"two lengths",
       post + auth + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
       " 400 "},
      {"length and chunks",
       post + auth +
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
       " 400 "},
      {"negative length", post + auth + "Content-Length: -2\r\n\r\n{}",
       " 400 "},
      {"multipart",
       post + auth +
           "Content-Type: multipart/form-data; boundary=x\r\n"
           "Content-Length: 2\r\n\r\n{}",
       " 400 "},
      {"deadline",
       post + auth + "X-Deadline-Ms: -5\r\nContent-Length: 2\r\n\r\n{}",
       " 400 "},
      {"request id",
       post + auth + "X-Request-Id: a b\r\nContent-Length: 2\r\n\r\n{}",
       " 400 "},
      {"unknown path", "POST /v2/x HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
       " 404 "},
      {"endless path",
       "POST /v1/services/" + std::string(4000, 'a') +
           "/b HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
       " 404 "},
      {"other method", "GET /v1/completions HTTP/1.1\r\n\r\n", " 404 "},
      {"endless head",
       post + "X-Pad: " + std::string(7000, 'a') +
           "\r\nX-Pad: " + std::string(7000, 'a') +
           "\r\nX-Pad: " + std::string(7000, 'a') + "\r\n\r\n",
       " 431 "},
      {"no HTTP", "rubbish\r\n\r\n", " 400 "},
  };
  for (const Case& it : cases) {
    CAPTURE(it.name);
    const std::string answer = RawAnswer(it.bytes);
    CHECK(answer.substr(0, 16).find(it.status) != std::string::npos);
    CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
  }
  CHECK(core_.arrivals() == 0);
}

TEST_CASE_METHOD(FrontTest, "an unread body is never taken for a request") {
  const std::string hidden = Head(2) + "{}";
  const std::string answer =
      RawAnswer("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
  CHECK(answer.find(" 401 ") != std::string::npos);
  CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE_METHOD(FrontTest, "random bytes never reach the core") {
  const auto random = MakeSeededRandom(13);
  const std::string good = Head(2) + "{}";
  std::vector<std::thread> threads;
  std::vector<std::string> inputs;
  for (int round = 0; round < 200; ++round) {
    std::string bytes = good;
    for (uint64_t flips = random->Below(8); flips > 0; --flips) {
      bytes[random->Below(bytes.size())] = static_cast<char>(random->Next());
    }
    bytes.resize(random->Below(bytes.size()) + 1);
    inputs.push_back(std::move(bytes));
  }
  constexpr size_t workers = 8;
  for (size_t worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&, worker] {
      for (size_t i = worker; i < inputs.size(); i += workers) {
        RawClient client(server_.address());
        client.Send(inputs[i]);
        client.EndSending();
        client.ReadAll();
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  CHECK(core_.arrivals() == 0);
  core_.SetScript(AnswerTwoParts);
  CHECK(Complete()->status == 200);
}

class NarrowFrontTest : public FrontTest {
 protected:
  static CallerServerOptions Options() {
    CallerServerOptions options = TestOptions();
    options.connections = 1;
    return options;
  }
  NarrowFrontTest() : FrontTest(Options()) {}
};

TEST_CASE_METHOD(NarrowFrontTest, "connections beyond the limit get 503") {
  RawClient first(server_.address());
  const std::string body = R"({"model":"m","prompt":"p","max_tokens":9})";
  first.Send(Head(body.size()) + body);
  REQUIRE(core_.AwaitArrivals(1));
  const std::string answer = RawAnswer("");
  CHECK(answer.find(" 503 ") != std::string::npos);
  // Its head is not read, so it may be a resend of a call that ran.
  CHECK(answer.find("\"ran\":\"unknown\"") != std::string::npos);
  const auto event = std::get<core::RequestArrived>(core_.LastArrival());
  AnswerTwoParts(event.spec.id, &table_);
  CHECK(first.Read().find(" 200 ") != std::string::npos);
}

class LittleMemoryTest : public FrontTest {
 protected:
  // For one of the longest bodies.
  static CallerServerOptions Options() {
    CallerServerOptions options = TestOptions();
    options.body_memory = 4096;
    options.read_timeout = absl::Hours(1);
    return options;
  }
  LittleMemoryTest() : FrontTest(Options()) { core_.SetScript(AnswerTwoParts); }

  bool AwaitServed() {
    for (const absl::Time until = absl::Now() + kPatience;
         absl::Now() < until;) {
      const auto result = Complete();
      if (result && result->status == 200) {
        return true;
      }
    }
    return false;
  }
  // The answer to whichever is answered first; empty if neither is.
  static std::string FirstAnswer(RawClient* one, RawClient* other) {
    for (const absl::Time until = absl::Now() + kPatience;
         absl::Now() < until;) {
      for (RawClient* it : {one, other}) {
        if (it->HasAnswer()) {
          return it->ReadAll();
        }
      }
    }
    return "";
  }
};

// Nothing bounded what the bodies of all connections held together. Both stop
// short of their end, so that the one with the memory keeps it.
TEST_CASE_METHOD(LittleMemoryTest,
                 "bodies beyond the memory for them get 503") {
  RawClient first(server_.address());
  RawClient second(server_.address());
  for (RawClient* it : {&first, &second}) {
    it->Send(Head(4096) + std::string(4095, 'x'));
  }
  const std::string answer = FirstAnswer(&first, &second);
  CHECK(answer.find("HTTP/1.1 503") == 0);
  CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
  first.Close();
  second.Close();
  CHECK(AwaitServed());
}

TEST_CASE_METHOD(FrontTest, "stopping lets answers in flight end") {
  RawClient client(server_.address());
  const std::string body = R"({"model":"m","prompt":"p","max_tokens":9})";
  client.Send(Head(body.size()) + body);
  REQUIRE(core_.AwaitArrivals(1));
  std::thread stopper([this] { server_.Stop(); });
  const auto event = std::get<core::RequestArrived>(core_.LastArrival());
  AnswerTwoParts(event.spec.id, &table_);
  CHECK(client.ReadAll().find("\"finish\":\"complete\"") != std::string::npos);
  stopper.join();
  CHECK(RawAnswer("x").empty());
}

}  // namespace
}  // namespace umbertrail::daemon
