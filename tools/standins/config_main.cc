// Stand-in for the platform's configuration service.

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include <httplib.h>

#include "absl/time/clock.h"
#include "standins/arguments.h"
#include "standins/config_state.h"
#include "standins/server.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::standin {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Stand-in for the platform's configuration service.

Usage:
  standin_config --dir DIR [options]

Options:
  --dir DIR           Directory to publish; read again when a file changes.
  --port PORT         Port on 127.0.0.1; 0 lets the kernel choose [default: 0].
  --list-lag MS       How late the lists show a change [default: 500].
  --run-for SECONDS   Ends by itself after this time [default: 600].
)";

constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr absl::Duration kReadInterval = absl::Milliseconds(100);
constexpr absl::Duration kLongestWait = absl::Seconds(30);

uint64_t Param(const httplib::Request& request, const char* name) {
  uint64_t n = 0;
  static_cast<void>(absl::SimpleAtoi(request.get_param_value(name), &n));
  return n;
}

void Answer(httplib::Response& response, const json& value) {
  response.set_content(http::DumpJson(value), "application/json");
}

void Watch(ConfigState& state,
           const httplib::Request& request,
           httplib::Response& response) {
  ConfigState::Query query;
  query.after = Param(request, "after");
  const auto wait = static_cast<int64_t>(Param(request, "wait_ms"));
  query.wait = std::min(absl::Milliseconds(wait), kLongestWait);
  query.instances = Param(request, "instances");
  query.targets = Param(request, "targets");
  const auto answer = state.Watch(query);
  if (!answer.has_value()) {
    response.status = kUnavailable;
    return;
  }
  Answer(response, *answer);
}

void Part(ConfigState& state,
          const httplib::Request& request,
          httplib::Response& response) {
  const auto bytes = state.Part(request.matches[1]);
  if (!bytes.has_value()) {
    response.status = state.faults().down ? kUnavailable : kNotFound;
    return;
  }
  response.set_content(*bytes, "application/yaml");
}

// Takes any of {"down", "stale", "list_lag_ms"}; the rest stays as it was.
void Fault(ConfigState& state,
           const httplib::Request& request,
           httplib::Response& response) {
  const json value = http::ParseJson(request.body);
  ConfigState::Faults faults = state.faults();
  if (http::FindField(value, "down") != nullptr) {
    faults.down = http::FlagField(value, "down");
  }
  if (http::FindField(value, "stale") != nullptr) {
    faults.stale = http::FlagField(value, "stale");
  }
  if (const auto lag = http::NumberField(value, "list_lag_ms")) {
    faults.list_lag = absl::Milliseconds(*lag);
  }
  state.SetFaults(faults);
  Answer(response, json::object());
}

void Mount(httplib::Server& server, ConfigState& state) {
  using Handler =
      void (*)(ConfigState&, const httplib::Request&, httplib::Response&);
  const auto bind = [&state](Handler handler) {
    return [&state, handler](const httplib::Request& request,
                             httplib::Response& response) {
      handler(state, request, response);
    };
  };
  server.Get("/v1/watch", bind(Watch));
  server.Get(R"(/v1/parts/([0-9a-f]+))", bind(Part));
  server.Post("/standin/fault", bind(Fault));
  server.Get("/standin/counters",
             [&state](const httplib::Request&, httplib::Response& response) {
               Answer(response, state.Counters());
             });
}

// Publishes the directory whenever its content changes.
void FollowDirectory(const std::string& directory,
                     ConfigState& state,
                     const std::atomic<bool>& stopping) {
  json last_head;
  json last_lists;
  while (!stopping) {
    auto published = ReadPublished(directory);
    if (published.has_value()) {
      const json lists = {published->instances, published->targets};
      if (published->head != last_head || lists != last_lists) {
        last_head = published->head;
        last_lists = lists;
        state.Publish(*std::move(published), absl::Now());
      }
    }
    state.Advance(absl::Now());
    absl::SleepFor(kReadInterval);
  }
}

int Run(const Arguments& arguments) {
  BlockStopSignals();
  ConfigState state;
  ConfigState::Faults faults;
  faults.list_lag = arguments.Millis("--list-lag");
  state.SetFaults(faults);
  httplib::Server server;
  Configure(server);
  Mount(server, state);
  ServeOptions options;
  options.port = static_cast<int>(arguments.Number("--port"));
  options.run_for = arguments.Seconds("--run-for");
  std::atomic<bool> stopping{false};
  const std::string directory = arguments.Text("--dir");
  std::thread follower([&] { FollowDirectory(directory, state, stopping); });
  const int code = Serve(server, options, [&] { state.Stop(); });
  stopping = true;
  follower.join();
  return code;
}

}  // namespace
}  // namespace umbertrail::standin

int main(int argc, char** argv) {
  return umbertrail::standin::Run(
      umbertrail::standin::Arguments(umbertrail::standin::kUsage, argc, argv));
}
