// Stand-in for a plain service.

#include <atomic>
#include <string>

#include <httplib.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/arguments.h"
#include "standins/server.h"
#include "standins/service_log.h"
#include "umbertrail/base.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::standin {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Stand-in for a plain service.

Usage:
  standin_service [options]

Options:
  --port PORT         Port on 127.0.0.1; 0 lets the kernel choose [default: 0].
  --name NAME         Name in its boot id [default: service].
  --delay MS          Time a call takes [default: 5].
  --run-for SECONDS   Ends by itself after this time [default: 600].
)";

constexpr int kUnavailable = 503;
constexpr absl::Duration kSilenceCheck = absl::Milliseconds(50);

// What may be set at POST /standin/fault.
struct Faults {
  std::atomic<bool> refuse{false};
  std::atomic<bool> leaving{false};
  // The call runs and its answer never comes.
  std::atomic<bool> silent{false};
};

class Service {
 public:
  Service(std::string name, absl::Duration delay)
      : name_(std::move(name)), delay_(delay) {}

  void Call(const httplib::Request& request, httplib::Response& response) {
    if (faults_.refuse || faults_.leaving) {
      response.status = kUnavailable;
      Answer(response, {{"error", "not_now"}, {"ran", "no"}});
      return;
    }
    const uint64_t run =
        log_.Note(request.get_header_value("X-Once-Token"), request.body);
    ++running_;
    absl::SleepFor(delay_);
    while (faults_.silent && !stopping_) {
      absl::SleepFor(kSilenceCheck);
    }
    --running_;
    Answer(response,
           {{"call", request.matches[1].str()},
            {"run", run},
            {"body_hash", absl::StrCat(absl::Hex(StableHash(request.body)))}});
  }

  void Report(const httplib::Request&, httplib::Response& response) {
    Answer(response, {{"boot", name_ + "-1"},
                      {"state", faults_.leaving ? "leaving" : "warm"},
                      {"age_ms", 0},
                      {"running", running_.load()}});
  }

  void Runs(const httplib::Request&, httplib::Response& response) {
    const ServiceRuns runs = log_.runs();
    Answer(response, {{"runs", runs.runs},
                      {"once_runs", runs.once_runs},
                      {"duplicates", runs.duplicate_tokens},
                      {"duplicate_bodies", runs.duplicate_bodies}});
  }

  void Fault(const httplib::Request& request, httplib::Response& response) {
    const json value = http::ParseJson(request.body);
    faults_.refuse = http::FlagField(value, "refuse");
    faults_.leaving = http::FlagField(value, "leaving");
    faults_.silent = http::FlagField(value, "silent");
    Answer(response, json::object());
  }

  void Mount(httplib::Server& server) {
    using Handler =
        void (Service::*)(const httplib::Request&, httplib::Response&);
    const auto bind = [this](Handler handler) {
      return [this, handler](const httplib::Request& request,
                             httplib::Response& response) {
        (this->*handler)(request, response);
      };
    };
    server.Post(R"(/v1/call/([A-Za-z0-9_.-]+))", bind(&Service::Call));
    server.Get("/v1/report", bind(&Service::Report));
    server.Get("/v1/runs", bind(&Service::Runs));
    server.Post("/standin/fault", bind(&Service::Fault));
  }

  void Stop() { stopping_ = true; }

 private:
  static void Answer(httplib::Response& response, const json& value) {
    response.set_content(http::DumpJson(value), "application/json");
  }

  const std::string name_;
  const absl::Duration delay_;
  Faults faults_;
  ServiceLog log_;
  std::atomic<int> running_{0};
  std::atomic<bool> stopping_{false};
};

int Run(const Arguments& arguments) {
  BlockStopSignals();
  Service service(arguments.Text("--name"), arguments.Millis("--delay"));
  httplib::Server server;
  Configure(server);
  service.Mount(server);
  ServeOptions options;
  options.port = static_cast<int>(arguments.Number("--port"));
  options.run_for = arguments.Seconds("--run-for");
  return Serve(server, options, [&service] { service.Stop(); });
}

}  // namespace
}  // namespace umbertrail::standin

int main(int argc, char** argv) {
  return umbertrail::standin::Run(
      umbertrail::standin::Arguments(umbertrail::standin::kUsage, argc, argv));
}
