#include "umbertrail/daemon/caller_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "body_budget.h"
#include "caller_json.h"
#include "http_server.h"
#include "in_flight.h"
#include "transport.h"

namespace umbertrail::daemon {
namespace {

using detail::BodyBudget;
using detail::BodyCharge;
using detail::HttpServer;
using detail::InFlight;

constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr char kBytes[] = "application/octet-stream";

constexpr char kCompletions[] = "/v1/completions";
constexpr char kTickets[] = "/v1/tickets";
constexpr char kServices[] = R"(/v1/services/([^/]+)/([^/]+))";
constexpr char kServicesPrefix[] = "/v1/services/";
// Longer paths name nothing, and would make the path's matching expensive.
constexpr size_t kMaxPath = 1024;

using Handler = httplib::Server::HandlerWithContentReader;

std::optional<std::string> Header(const httplib::Request& req,
                                  const char* name) {
  if (!req.has_header(name)) {
    return std::nullopt;
  }
  return req.get_header_value(name);
}

CallHeaders ReadHeaders(const httplib::Request& req) {
  CallHeaders headers;
  headers.authorization = Header(req, "Authorization");
  headers.request_id = Header(req, "X-Request-Id");
  headers.deadline_ms = Header(req, "X-Deadline-Ms");
  headers.ticket = Header(req, "X-Ticket");
  headers.idempotency_key = Header(req, "Idempotency-Key");
  return headers;
}

void Answer(const Refusal& refusal,
            const std::string& id,
            httplib::Response* res) {
  res->status = refusal.status;
  res->set_content(detail::FormatRefusal(refusal, id), kJson);
  if (refusal.retry_after > absl::ZeroDuration()) {
    res->set_header("Retry-After", std::to_string(RetryAfterSeconds(refusal)));
  }
}

// As Answer(), for a request whose body is still unread.
void AnswerUnread(const Refusal& refusal,
                  const std::string& id,
                  httplib::Response* res) {
  HttpServer::CloseAfterAnswer();
  res->set_header("Connection", "close");
  Answer(refusal, id, res);
}

// A refusal of the front for `req`. What it refuses was not run, but under a
// ticket or key it may be a resend of what was: only the node can tell.
Refusal ForRequest(const httplib::Request& req, Refusal refusal) {
  if (req.has_header("X-Ticket") || req.has_header("Idempotency-Key")) {
    refusal.ran = core::Ran::kUnknown;
  }
  return refusal;
}

Refusal Malformed(std::string message) {
  return NotRun(core::Reason::kMalformed, std::move(message));
}

// Whether the body's length is plain to every proxy on the way and to us.
std::optional<Refusal> CheckFraming(const httplib::Request& req) {
  const size_t lengths = req.get_header_value_count("Content-Length");
  const size_t encodings = req.get_header_value_count("Transfer-Encoding");
  if (lengths + encodings != 1) {
    return Malformed("give exactly one Content-Length or Transfer-Encoding");
  }
  const std::string length = req.get_header_value("Content-Length");
  if (lengths == 1 &&
      (length.empty() ||
       length.find_first_not_of("0123456789") != std::string::npos)) {
    return Malformed("Content-Length must be a whole number");
  }
  if (encodings == 1 &&
      !absl::EqualsIgnoreCase(req.get_header_value("Transfer-Encoding"),
                              "chunked")) {
    return Malformed("Transfer-Encoding must be chunked");
  }
  if (req.is_multipart_form_data()) {
    return Malformed("multipart bodies are not taken");
  }
  return std::nullopt;
}

Refusal TooLarge(size_t limit) {
  return NotRun(core::Reason::kTooLong,
                absl::StrCat("the body is over ", limit, " bytes"));
}

Refusal NoBodyMemory() {
  Refusal refusal =
      NotRun(core::Reason::kOverloaded, "no memory is left for the body");
  refusal.retry_after = absl::Seconds(1);
  return refusal;
}

// Adds bytes to a body of at most `limit` bytes whose memory is charged; false
// if there is none.
bool Append(const char* data,
            size_t n,
            size_t limit,
            BodyCharge* charge,
            std::string* body) {
  const size_t need = body->size() + n;
  if (need > body->capacity()) {
    const size_t capacity =
        std::min(std::max(need, 2 * body->capacity()), limit);
    if (!charge->GrowTo(capacity)) {
      return false;
    }
    body->reserve(capacity);
  }
  body->append(data, n);
  return true;
}

Filtered<std::string> ReadBody(const httplib::Request& req,
                               const httplib::ContentReader& reader,
                               size_t limit,
                               BodyCharge* charge) {
  if (req.get_header_value<uint64_t>("Content-Length") > limit) {
    return TooLarge(limit);
  }
  std::string body;
  bool too_large = false;
  bool no_memory = false;
  const bool whole = reader([&](const char* data, size_t n) {
    too_large = body.size() + n > limit;
    no_memory = !too_large && !Append(data, n, limit, charge, &body);
    return !too_large && !no_memory;
  });
  if (too_large) {
    return TooLarge(limit);
  }
  if (no_memory) {
    return NoBodyMemory();
  }
  if (!whole) {
    return NotRun(408, "malformed", "the body did not arrive whole");
  }
  return body;
}

Refusal LostRefusal(InFlight::Lost lost) {
  core::Outcome outcome;
  outcome.ran = core::Ran::kUnknown;
  switch (lost) {
    case InFlight::Lost::kCallerGone:
    case InFlight::Lost::kTooSlow:
      outcome.reason = core::Reason::kCallerGone;
      outcome.detail = "the connection was closed or read too slowly";
      break;
    case InFlight::Lost::kNodeSilent:
      outcome.reason = core::Reason::kDeadlineExceeded;
      outcome.detail = "no outcome came in time";
      break;
  }
  return RefusalOf(outcome);
}

Refusal BrokenAnswer() {
  Refusal refusal;
  refusal.status = 500;
  refusal.reason = "internal";
  refusal.ran = core::Ran::kYes;
  refusal.message = "the answer is not whole";
  return refusal;
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(CallerServerOptions options, CallerServerParts parts)
      : options_(std::move(options)),
        parts_(std::move(parts)),
        body_budget_(options_.body_memory) {}

  Result<Done> Start();
  std::string address() const { return server_->address(); }
  void Stop() {
    if (server_ != nullptr) {
      server_->Shutdown();
    }
  }

 private:
  // The routes.
  void Completion(const httplib::Request& req,
                  httplib::Response* res,
                  const httplib::ContentReader& reader);
  void ServiceCall(const httplib::Request& req,
                   httplib::Response* res,
                   const httplib::ContentReader& reader);
  void TicketRequest(const httplib::Request& req,
                     httplib::Response* res,
                     const httplib::ContentReader& reader);

  // The filters that all routes share.
  std::optional<Caller> Authenticate(const httplib::Request& req,
                                     httplib::Response* res);
  std::optional<std::string> Receive(const httplib::Request& req,
                                     const httplib::ContentReader& reader,
                                     size_t limit,
                                     BodyCharge* charge,
                                     Caller* caller,
                                     httplib::Response* res);
  template <typename T>
  std::optional<T> Pass(Filtered<T> filtered,
                        const Caller& caller,
                        httplib::Response* res);
  std::unique_ptr<InFlight> Submit(const httplib::Request& req,
                                   const Caller& caller,
                                   core::Event event,
                                   httplib::Response* res);
  void RelayWhole(InFlight* in_flight,
                  const ModelId& model,
                  httplib::Response* res);
  void RelayStream(std::unique_ptr<InFlight> in_flight, httplib::Response* res);
  void RelayServiceAnswer(InFlight* in_flight, httplib::Response* res);
  void RelayTicket(InFlight* in_flight, httplib::Response* res);

  Result<Done> MakeServer();
  void SetRoutes();
  Handler Route(void (Impl::*route)(const httplib::Request&,
                                    httplib::Response*,
                                    const httplib::ContentReader&));

  const CallerServerOptions options_;
  const CallerServerParts parts_;
  BodyBudget body_budget_;
  std::unique_ptr<HttpServer> server_;
};

// -- The path of a request, filter by filter ----------------------------------

void CallerServer::Impl::Completion(const httplib::Request& req,
                                    httplib::Response* res,
                                    const httplib::ContentReader& reader) {
  auto caller = Authenticate(req, res);
  if (!caller.has_value()) {
    return;
  }
  BodyCharge charge(&body_budget_);
  const auto body =
      Receive(req, reader, parts_.limits().body_bytes, &charge, &*caller, res);
  if (!body.has_value()) {
    return;
  }
  auto call =
      Pass(RequestFilters::ClassifyCompletion(*caller, *body), *caller, res);
  if (!call.has_value()) {
    return;
  }
  const ModelId model = call->arrival.spec.model;
  auto in_flight = Submit(req, *caller, std::move(call->arrival), res);
  if (in_flight == nullptr) {
    return;
  }
  if (call->stream) {
    RelayStream(std::move(in_flight), res);
  } else {
    RelayWhole(in_flight.get(), model, res);
  }
}

void CallerServer::Impl::ServiceCall(const httplib::Request& req,
                                     httplib::Response* res,
                                     const httplib::ContentReader& reader) {
  auto caller = Authenticate(req, res);
  if (!caller.has_value()) {
    return;
  }
  BodyCharge charge(&body_budget_);
  auto body = Receive(req, reader, parts_.limits().service_body_bytes, &charge,
                      &*caller, res);
  if (!body.has_value()) {
    return;
  }
  auto arrival = Pass(RequestFilters::ClassifyServiceCall(
                          *caller, ReadHeaders(req), req.matches[1].str(),
                          req.matches[2].str(), std::move(*body)),
                      *caller, res);
  if (!arrival.has_value()) {
    return;
  }
  const auto in_flight = Submit(req, *caller, std::move(*arrival), res);
  if (in_flight != nullptr) {
    RelayServiceAnswer(in_flight.get(), res);
  }
}

void CallerServer::Impl::TicketRequest(const httplib::Request& req,
                                       httplib::Response* res,
                                       const httplib::ContentReader& reader) {
  auto caller = Authenticate(req, res);
  if (!caller.has_value()) {
    return;
  }
  BodyCharge charge(&body_budget_);
  const auto body = Receive(req, reader, parts_.limits().service_body_bytes,
                            &charge, &*caller, res);
  if (!body.has_value()) {
    return;
  }
  auto request =
      Pass(RequestFilters::ClassifyTicketRequest(*caller, *body), *caller, res);
  if (!request.has_value()) {
    return;
  }
  const auto in_flight = Submit(req, *caller, std::move(*request), res);
  if (in_flight != nullptr) {
    RelayTicket(in_flight.get(), res);
  }
}

// -- Filters ------------------------------------------------------------------

std::optional<Caller> CallerServer::Impl::Authenticate(
    const httplib::Request& req,
    httplib::Response* res) {
  Filtered<Caller> caller = parts_.filters->Authenticate(ReadHeaders(req));
  if (const auto* refusal = std::get_if<Refusal>(&caller)) {
    AnswerUnread(ForRequest(req, *refusal),
                 Header(req, "X-Request-Id").value_or(""), res);
    return std::nullopt;
  }
  return std::get<Caller>(std::move(caller));
}

// Reads the body; the time that it takes counts against the caller's limit.
std::optional<std::string> CallerServer::Impl::Receive(
    const httplib::Request& req,
    const httplib::ContentReader& reader,
    size_t limit,
    BodyCharge* charge,
    Caller* caller,
    httplib::Response* res) {
  const absl::Time begun = detail::MonotonicNow();
  Filtered<std::string> body = ReadBody(req, reader, limit, charge);
  if (const auto* refusal = std::get_if<Refusal>(&body)) {
    AnswerUnread(ForRequest(req, *refusal), caller->caller_id, res);
    return std::nullopt;
  }
  caller->time_limit -= detail::MonotonicNow() - begun;
  if (caller->time_limit <= absl::ZeroDuration()) {
    const Refusal late = NotRun(core::Reason::kDeadlineExceeded,
                                "the deadline passed while the body arrived");
    Answer(ForRequest(req, late), caller->caller_id, res);
    return std::nullopt;
  }
  return std::get<std::string>(std::move(body));
}

template <typename T>
std::optional<T> CallerServer::Impl::Pass(Filtered<T> filtered,
                                          const Caller& caller,
                                          httplib::Response* res) {
  if (const auto* refusal = std::get_if<Refusal>(&filtered)) {
    // What depends on the content alone holds for each of its resends.
    Answer(*refusal, caller.caller_id, res);
    return std::nullopt;
  }
  return std::get<T>(std::move(filtered));
}

std::unique_ptr<InFlight> CallerServer::Impl::Submit(
    const httplib::Request& req,
    const Caller& caller,
    core::Event event,
    httplib::Response* res) {
  auto channel = parts_.table->Open(caller.id, caller.account, caller.caller_id,
                                    parts_.limits().relay_bytes);
  if (channel == nullptr) {
    const Refusal duplicate = NotRun(409, "duplicate_request",
                                     "a request of this id is in flight here");
    Answer(ForRequest(req, duplicate), caller.caller_id, res);
    return nullptr;
  }
  if (parts_.observer != nullptr && req.has_header("traceparent")) {
    parts_.observer->OnTraceparent(caller.id,
                                   req.get_header_value("traceparent"));
  }
  if (!parts_.events->Offer(std::move(event))) {
    parts_.table->Close(caller.id);
    Refusal refusal =
        NotRun(core::Reason::kOverloaded, "too many requests wait here");
    refusal.retry_after = absl::Seconds(1);
    Answer(ForRequest(req, refusal), caller.caller_id, res);
    return nullptr;
  }
  return std::make_unique<InFlight>(caller, std::move(channel), &parts_,
                                    HttpServer::CurrentSocket());
}

// -- Relay and settle ---------------------------------------------------------

void CallerServer::Impl::RelayWhole(InFlight* in_flight,
                                    const ModelId& model,
                                    httplib::Response* res) {
  const std::string& id = in_flight->caller().caller_id;
  detail::WholeAnswer answer;
  answer.id = id;
  answer.model = model.text();
  while (true) {
    const InFlight::Step step = in_flight->Next();
    if (const auto* chunk = std::get_if<core::RelayChunk>(&step)) {
      answer.text += chunk->text;
      continue;
    }
    if (const auto* lost = std::get_if<InFlight::Lost>(&step)) {
      Answer(LostRefusal(*lost), id, res);
      return;
    }
    const auto& outcome = std::get<core::Outcome>(step);
    if (outcome.reason != core::Reason::kOk) {
      Answer(RefusalOf(outcome), id, res);
      return;
    }
    if (!in_flight->IsWhole(outcome.total)) {
      Answer(BrokenAnswer(), id, res);
      return;
    }
    answer.total = outcome.total;
    res->status = 200;
    res->set_content(detail::FormatWhole(answer), kJson);
    return;
  }
}

namespace {

// Writes one step of a stream; false when the stream can't go on.
bool WriteStep(const InFlight::Step& step,
               const InFlight& in_flight,
               httplib::DataSink* sink) {
  const std::string& id = in_flight.caller().caller_id;
  if (const auto* chunk = std::get_if<core::RelayChunk>(&step)) {
    const std::string part = detail::FormatPart(id, *chunk);
    return sink->write(part.data(), part.size());
  }
  std::string last;
  if (const auto* lost = std::get_if<InFlight::Lost>(&step)) {
    last = detail::FormatStreamRefusal(LostRefusal(*lost), id);
  } else {
    const auto& outcome = std::get<core::Outcome>(step);
    if (outcome.reason != core::Reason::kOk) {
      last = detail::FormatStreamRefusal(RefusalOf(outcome), id);
    } else if (!in_flight.IsWhole(outcome.total)) {
      last = detail::FormatStreamRefusal(BrokenAnswer(), id);
    } else {
      last = detail::FormatEnd(id, outcome.total);
    }
  }
  if (!sink->write(last.data(), last.size())) {
    return false;
  }
  sink->done();
  return true;
}

bool IsRefused(const InFlight::Step& step) {
  const auto* outcome = std::get_if<core::Outcome>(&step);
  return outcome != nullptr && outcome->reason != core::Reason::kOk;
}

}  // namespace

// Waits for the first step, so that a request refused before it began is
// answered with an ordinary status.
void CallerServer::Impl::RelayStream(std::unique_ptr<InFlight> in_flight,
                                     httplib::Response* res) {
  InFlight::Step first = in_flight->Next();
  const std::string& id = in_flight->caller().caller_id;
  if (const auto* lost = std::get_if<InFlight::Lost>(&first)) {
    Answer(LostRefusal(*lost), id, res);
    return;
  }
  if (IsRefused(first)) {
    Answer(RefusalOf(std::get<core::Outcome>(first)), id, res);
    return;
  }
  res->status = 200;
  const std::shared_ptr<InFlight> shared = std::move(in_flight);
  auto waiting =
      std::make_shared<std::optional<InFlight::Step>>(std::move(first));
  res->set_chunked_content_provider(
      kEventStream, [shared, waiting](size_t, httplib::DataSink& sink) {
        if (!waiting->has_value()) {
          waiting->emplace(shared->Next());
        }
        const InFlight::Step step = std::move(**waiting);
        waiting->reset();
        return WriteStep(step, *shared, &sink);
      });
}

void CallerServer::Impl::RelayServiceAnswer(InFlight* in_flight,
                                            httplib::Response* res) {
  const std::string& id = in_flight->caller().caller_id;
  const InFlight::Step step = in_flight->Next();
  if (const auto* lost = std::get_if<InFlight::Lost>(&step)) {
    Answer(LostRefusal(*lost), id, res);
    return;
  }
  const auto* outcome = std::get_if<core::Outcome>(&step);
  if (outcome == nullptr) {
    Answer(BrokenAnswer(), id, res);
    return;
  }
  if (outcome->reason != core::Reason::kOk) {
    Answer(RefusalOf(*outcome), id, res);
    return;
  }
  res->status = 200;
  res->set_header("X-Request-Id", id);
  res->set_content(outcome->body == nullptr ? "" : *outcome->body, kBytes);
}

void CallerServer::Impl::RelayTicket(InFlight* in_flight,
                                     httplib::Response* res) {
  const std::string& id = in_flight->caller().caller_id;
  const InFlight::Step step = in_flight->Next();
  if (const auto* issued = std::get_if<core::TicketIssued>(&step)) {
    res->status = 200;
    res->set_content(detail::FormatTicketAnswer(*issued), kJson);
    return;
  }
  if (IsRefused(step)) {
    Answer(RefusalOf(std::get<core::Outcome>(step)), id, res);
    return;
  }
  // A ticket that is lost on the way has run nothing.
  Answer(NotRun(core::Reason::kDeadlineExceeded, "no ticket came in time"), id,
         res);
}

// -- Routes -------------------------------------------------------------------

Result<Done> CallerServer::Impl::Start() {
  const Result<Done> made = MakeServer();
  if (!IsOk(made)) {
    return made;
  }
  SetRoutes();
  return server_->Start();
}

Result<Done> CallerServer::Impl::MakeServer() {
  detail::HttpServerOptions options;
  options.address = options_.address;
  options.header_bytes = options_.header_bytes;
  options.connections = options_.connections;
  options.read_timeout = options_.read_timeout;
  options.write_timeout = options_.write_timeout;
  options.idle_timeout = options_.idle_timeout;
  detail::SslContext context;
  if (!options_.tls_certificate.empty()) {
    auto result = detail::MakeServerContext(options_.tls_certificate,
                                            options_.tls_private_key);
    if (!IsOk(result)) {
      return ErrorOf(result);
    }
    context = std::move(std::get<detail::SslContext>(result));
  }
  server_ =
      std::make_unique<HttpServer>(std::move(options), std::move(context));
  return Done{};
}

Handler CallerServer::Impl::Route(
    void (Impl::*route)(const httplib::Request&,
                        httplib::Response*,
                        const httplib::ContentReader&)) {
  return [this, route](const httplib::Request& req, httplib::Response& res,
                       const httplib::ContentReader& reader) {
    (this->*route)(req, &res, reader);
  };
}

void CallerServer::Impl::SetRoutes() {
  server_->set_payload_max_length(options_.max_body_bytes);
  server_->Post(kCompletions, Route(&Impl::Completion));
  server_->Post(kServices, Route(&Impl::ServiceCall));
  server_->Post(kTickets, Route(&Impl::TicketRequest));
  // Ends what no route takes, before the library reads its body.
  server_->set_pre_routing_handler(
      [](const httplib::Request& req, httplib::Response& res) {
        const std::string id = Header(req, "X-Request-Id").value_or("");
        const bool known = req.path == kCompletions || req.path == kTickets ||
                           absl::StartsWith(req.path, kServicesPrefix);
        std::optional<Refusal> refusal;
        if (!known || req.path.size() > kMaxPath) {
          refusal = NotRun(404, "unknown_path", "no such path");
        } else if (req.method != "POST") {
          refusal = NotRun(404, "unknown_path", "only POST is known here");
        } else {
          refusal = CheckFraming(req);
        }
        if (!refusal.has_value()) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        AnswerUnread(ForRequest(req, *refusal), id, &res);
        return httplib::Server::HandlerResponse::Handled;
      });
  // Gives the library's own refusals the form of ours.
  server_->set_error_handler(
      [](const httplib::Request& req, httplib::Response& res) {
        if (!res.body.empty()) {
          return;
        }
        const int status = res.status > 0 ? res.status : 400;
        const std::string reason = status == 404 ? "unknown_path" : "malformed";
        const Refusal refusal =
            NotRun(status, reason, "the request was not understood");
        AnswerUnread(ForRequest(req, refusal),
                     Header(req, "X-Request-Id").value_or(""), &res);
      });
}

// -----------------------------------------------------------------------------

CallerServer::CallerServer(CallerServerOptions options, CallerServerParts parts)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(parts))) {}

CallerServer::~CallerServer() {
  Stop();
}

Result<Done> CallerServer::Start() {
  return impl_->Start();
}

std::string CallerServer::address() const {
  return impl_->address();
}

void CallerServer::Stop() {
  impl_->Stop();
}

}  // namespace umbertrail::daemon
