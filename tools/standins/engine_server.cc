#include "standins/engine_server.h"

#include <utility>

#include <httplib.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/answer_text.h"
#include "umbertrail/http.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::standin {
namespace {

using http::ArrayField;
using http::DumpJson;
using http::FlagField;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr size_t kMaxStoreAnswer = 4096;
constexpr absl::Duration kStep = absl::Milliseconds(2);
constexpr absl::Duration kStreamWait = absl::Milliseconds(100);

void Answer(httplib::Response& response, int status, const json& value) {
  response.status = status;
  response.set_content(DumpJson(value), "application/json");
}

int64_t NumberOr(const json& value, const char* name, int64_t other) {
  return NumberField(value, name).value_or(other);
}

std::string TextOr(const json& value, const char* name) {
  return TextField(value, name).value_or("");
}

std::vector<std::string> Texts(const json& value, const char* name) {
  std::vector<std::string> texts;
  for (const json& it : ArrayField(value, name)) {
    if (it.is_string()) {
      texts.push_back(it.get<std::string>());
    }
  }
  return texts;
}

GenerateRequest ParseGenerate(const json& value) {
  GenerateRequest request;
  request.request_id = TextOr(value, "request_id");
  request.attempt = static_cast<uint32_t>(NumberOr(value, "attempt", 0));
  request.model = TextOr(value, "model");
  request.adapter = TextOr(value, "adapter");
  request.prompt = TextOr(value, "prompt");
  request.prompt_tokens = NumberOr(value, "prompt_tokens", 0);
  request.max_tokens = NumberOr(value, "max_tokens", 0);
  request.resume_from = NumberOr(value, "resume_from", 0);
  const json* priority = http::FindField(value, "priority");
  if (priority != nullptr && priority->is_number_integer()) {
    request.priority = priority->get<int>();
  }
  request.holder = TextOr(value, "holder");
  const auto group = static_cast<int64_t>(ArrayField(value, "group").size());
  request.group_size = group > 0 ? group : 1;
  return request;
}

json ReportJson(const EngineReport& report) {
  json allocations = json::array();
  for (const AllocationView& it : report.allocations) {
    allocations.push_back({{"holder", it.holder},
                           {"request_id", it.request_id},
                           {"tokens", it.tokens}});
  }
  json events = json::array();
  for (const CacheEventView& it : report.cache_events) {
    events.push_back({{"sequence", it.sequence},
                      {"added", it.added},
                      {"length", it.length},
                      {"hash", absl::StrCat(absl::Hex(it.hash))}});
  }
  return {{"boot", report.boot},
          {"state", report.state},
          {"age_ms", absl::ToInt64Milliseconds(report.age)},
          {"running", report.running},
          {"tokens_in_flight", report.tokens_in_flight},
          {"memory_used", report.memory_used},
          {"memory_total", report.memory_total},
          {"model", report.model},
          {"version", report.version},
          {"adapters", report.adapters},
          {"fence", report.fence},
          {"allocations", std::move(allocations)},
          {"cache_events", std::move(events)}};
}

json CountersJson(const EngineCounters& counters) {
  return {{"accepted", counters.accepted},
          {"refused", counters.refused},
          {"finished", counters.finished},
          {"cancelled", counters.cancelled},
          {"tokens", counters.tokens},
          {"cold_overloads", counters.cold_overloads},
          {"poison_deaths", counters.poison_deaths},
          {"old_fences", counters.old_fences}};
}

struct AttemptName {
  std::string request_id;
  uint32_t attempt = 0;
};

// Writes one attempt's server-sent events as the model produces them.
class StreamWriter {
 public:
  StreamWriter(EngineModel& model,
               EngineModel::StreamId id,
               AttemptName name,
               int64_t resume_from)
      : model_(model), id_(id), name_(std::move(name)), sent_(resume_from) {}

  ~StreamWriter() { model_.Release(id_); }

  // Writes what is new. False ends the connection without an end of the
  // stream.
  bool Write(httplib::DataSink& sink) {
    const StreamView view = model_.Await(id_, sent_, phase_, kStreamWait);
    if (!sink.is_writable()) {
      return false;
    }
    if (view.phase == StreamPhase::kDropped) {
      return false;
    }
    if (view.muted) {
      absl::SleepFor(kStreamWait);
      return true;
    }
    if (phase_ == StreamPhase::kWaiting && view.phase != phase_) {
      Send(sink, {{"started", true}});
    }
    phase_ = view.phase;
    SendTokens(sink, view);
    return SendEnd(sink, view);
  }

 private:
  void Send(httplib::DataSink& sink, json item) {
    item["request_id"] = name_.request_id;
    item["attempt"] = name_.attempt;
    const std::string text = absl::StrCat("data: ", DumpJson(item), "\n\n");
    sink.write(text.data(), text.size());
  }

  void SendTokens(httplib::DataSink& sink, const StreamView& view) {
    const int64_t count = view.generated - sent_;
    if (count <= 0) {
      return;
    }
    Send(sink, {{"offset", sent_},
                {"tokens", count},
                {"text", AnswerText(view.prompt_hash, sent_, count)}});
    sent_ = view.generated;
  }

  bool SendEnd(httplib::DataSink& sink, const StreamView& view) {
    if (view.phase == StreamPhase::kDone) {
      Send(sink, {{"done", true}, {"total", sent_}});
      sink.done();
    }
    if (view.phase == StreamPhase::kSuspended) {
      Send(sink, {{"suspended", true}, {"offset", sent_}});
      sink.done();
    }
    return true;
  }

  EngineModel& model_;
  const EngineModel::StreamId id_;
  const AttemptName name_;
  int64_t sent_;
  StreamPhase phase_ = StreamPhase::kWaiting;
};

}  // namespace

// One member function a call of the protocol.
class EngineServer::Handlers {
 public:
  explicit Handlers(EngineServer& engine) : engine_(engine) {}

  using Handler = void (Handlers::*)(const httplib::Request&,
                                     httplib::Response&);
  struct Route {
    const char* method;
    const char* path;
    Handler handler;
  };
  static const std::vector<Route>& Routes();

  void Generate(const httplib::Request& request, httplib::Response& response) {
    if (engine_.silent_) {
      StaySilent();
    }
    GenerateRequest generate = ParseGenerate(ParseJson(request.body));
    if (generate.request_id.empty() || generate.max_tokens <= 0) {
      Answer(response, kBadRequest, {{"error", "malformed"}});
      return;
    }
    const AttemptName name{generate.request_id, generate.attempt};
    const int64_t resume_from = generate.resume_from;
    const auto result = engine_.model_.Submit(std::move(generate));
    if (const Refusal* refusal = std::get_if<Refusal>(&result)) {
      json value = {{"error", refusal->error}, {"ran", "no"}};
      if (refusal->cold) {
        value["state"] = "cold";
      }
      Answer(response, kUnavailable, value);
      return;
    }
    auto writer = std::make_shared<StreamWriter>(
        engine_.model_, std::get<EngineModel::StreamId>(result), name,
        resume_from);
    response.set_chunked_content_provider(
        "text/event-stream", [writer](size_t, httplib::DataSink& sink) {
          return writer->Write(sink);
        });
  }

  void Cancel(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    engine_.model_.Cancel(TextOr(value, "request_id"),
                          static_cast<uint32_t>(NumberOr(value, "attempt", 0)));
    Answer(response, 200, json::object());
  }

  void Report(const httplib::Request& request, httplib::Response& response) {
    if (engine_.silent_) {
      StaySilent();
    }
    uint64_t after = 0;
    static_cast<void>(
        absl::SimpleAtoi(request.get_param_value("events_after"), &after));
    Answer(response, 200, ReportJson(engine_.model_.Report(after)));
  }

  void Order(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    const auto fence = static_cast<uint64_t>(NumberOr(value, "fence", 0));
    const std::string model = TextOr(value, "model");
    const std::string version = TextOr(value, "version");
    std::vector<std::string> adapters = Texts(value, "adapters");
    if (!engine_.model_.Serves(model, version, adapters)) {
      const auto time = LoadTime(model, version);
      if (!time.has_value()) {
        Answer(response, kUnavailable, {{"error", "weight_store_busy"}});
        return;
      }
      if (!TakeFence(fence, response)) {
        return;
      }
      engine_.StartLoad(model, version, std::move(adapters), *time);
    } else if (!TakeFence(fence, response)) {
      return;
    }
    Answer(response, 200, {{"accepted", true}});
  }

  void Free(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    const int64_t freed = engine_.model_.Free(TextOr(value, "holder"),
                                              TextOr(value, "request_id"));
    Answer(response, 200, {{"freed", freed}});
  }

  void Export(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    const auto exported = engine_.model_.Export(
        TextOr(value, "request_id"),
        static_cast<uint32_t>(NumberOr(value, "attempt", 0)));
    if (!exported.has_value()) {
      Answer(response, kNotFound, {{"error", "no_such_stream"}});
      return;
    }
    Answer(response, 200,
           {{"handle", exported->handle}, {"tokens", exported->tokens}});
  }

  void Import(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    const auto tokens =
        engine_.model_.Import(TextOr(value, "handle"), TextOr(value, "holder"),
                              TextOr(value, "request_id"));
    if (!tokens.has_value()) {
      Answer(response, kNotFound, {{"error", "no_such_handle"}});
      return;
    }
    Answer(response, 200, {{"tokens", *tokens}});
  }

  void Counters(const httplib::Request&, httplib::Response& response) {
    Answer(response, 200, CountersJson(engine_.model_.counters()));
  }

  // Takes any of {"crash", "cold", "mute_streams": true, "leaving", "silent"}.
  void Fault(const httplib::Request& request, httplib::Response& response) {
    const json value = ParseJson(request.body);
    if (FlagField(value, "crash")) {
      engine_.model_.Crash();
    }
    if (FlagField(value, "cold")) {
      engine_.model_.TurnCold();
    }
    if (FlagField(value, "mute_streams")) {
      engine_.model_.MuteStreams();
    }
    if (http::FindField(value, "leaving") != nullptr) {
      engine_.model_.SetLeaving(FlagField(value, "leaving"));
    }
    if (http::FindField(value, "silent") != nullptr) {
      engine_.silent_ = FlagField(value, "silent");
    }
    Answer(response, 200, json::object());
  }

 private:
  void StaySilent() {
    while (engine_.silent_ && !engine_.stopping_) {
      absl::SleepFor(kStreamWait);
    }
  }

  // Asks the weight store for a load; nothing when it is busy or a load runs.
  std::optional<absl::Duration> LoadTime(const std::string& model,
                                         const std::string& version) {
    {
      absl::MutexLock lock(&engine_.mutex_);
      if (engine_.loading_) {
        return std::nullopt;
      }
    }
    if (engine_.settings_.weights_address.empty()) {
      return absl::ZeroDuration();
    }
    http::LinkSettings settings;
    settings.address = engine_.settings_.weights_address;
    http::Link link(settings);
    http::Call call;
    call.method = "POST";
    call.path = "/v1/loads";
    call.body = DumpJson({{"model", model}, {"version", version}});
    const http::Answer answer = link.Send(call, kMaxStoreAnswer);
    const auto time = NumberField(ParseJson(answer.body), "ms");
    if (answer.fault != http::Fault::kNone || !time.has_value()) {
      return std::nullopt;
    }
    return absl::Milliseconds(*time);
  }

  bool TakeFence(uint64_t fence, httplib::Response& response) {
    if (engine_.model_.TakeFence(fence) == OrderResult::kAccepted) {
      return true;
    }
    Answer(response, kConflict, {{"error", "old_fence"}});
    return false;
  }

  EngineServer& engine_;
};

const std::vector<EngineServer::Handlers::Route>&
EngineServer::Handlers::Routes() {
  static const auto* const routes = new std::vector<Route>{
      {"POST", "/v1/generate", &Handlers::Generate},
      {"POST", "/v1/cancel", &Handlers::Cancel},
      {"GET", "/v1/report", &Handlers::Report},
      {"POST", "/v1/orders", &Handlers::Order},
      {"POST", "/v1/allocations/free", &Handlers::Free},
      {"POST", "/v1/kv/export", &Handlers::Export},
      {"POST", "/v1/kv/import", &Handlers::Import},
      {"GET", "/standin/counters", &Handlers::Counters},
      {"POST", "/standin/fault", &Handlers::Fault},
  };
  return *routes;
}

EngineServer::EngineServer(EngineServerSettings settings)
    : settings_(std::move(settings)), model_(settings_.engine, settings_.seed) {
  stepper_ = std::thread([this] { RunSteps(); });
}

EngineServer::~EngineServer() {
  Stop();
  stepper_.join();
  absl::MutexLock lock(&mutex_);
  if (loader_.joinable()) {
    loader_.join();
  }
}

void EngineServer::Mount(httplib::Server& server) {
  for (const Handlers::Route& it : Handlers::Routes()) {
    const Handlers::Handler handler = it.handler;
    const auto handle = [this, handler](const httplib::Request& request,
                                        httplib::Response& response) {
      (Handlers(*this).*handler)(request, response);
    };
    if (std::string_view(it.method) == "GET") {
      server.Get(it.path, handle);
    } else {
      server.Post(it.path, handle);
    }
  }
}

void EngineServer::Stop() {
  stopping_ = true;
  model_.Stop();
}

void EngineServer::RunSteps() {
  absl::Time last = absl::Now();
  while (!stopping_) {
    absl::SleepFor(kStep);
    const absl::Time now = absl::Now();
    model_.Step(now - last);
    last = now;
  }
}

void EngineServer::StartLoad(std::string model,
                             std::string version,
                             std::vector<std::string> adapters,
                             absl::Duration time) {
  absl::MutexLock lock(&mutex_);
  if (loading_) {
    return;
  }
  loading_ = true;
  if (loader_.joinable()) {
    loader_.join();
  }
  loader_ = std::thread([this, time, model = std::move(model),
                         version = std::move(version),
                         adapters = std::move(adapters)] {
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end && !stopping_) {
      absl::SleepFor(kStep);
    }
    model_.Install(model, version, adapters);
    absl::MutexLock done(&mutex_);
    loading_ = false;
  });
}

}  // namespace umbertrail::standin
