// Stand-in for the rate-limited weight store.

#include <set>

#include <httplib.h>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "standins/arguments.h"
#include "standins/server.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::standin {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Stand-in for the rate-limited weight store.

Usage:
  standin_weights [options]

Options:
  --port PORT         Port on 127.0.0.1; 0 lets the kernel choose [default: 0].
  --load-ms MS        Time one load takes [default: 1500].
  --loads N           Loads at once; more are refused [default: 1].
  --run-for SECONDS   Ends by itself after this time [default: 600].
)";

constexpr int kUnavailable = 503;

// Grants loads; each takes a place for as long as it lasts. Thread-safe.
class LoadPlaces {
 public:
  LoadPlaces(int places, absl::Duration time) : places_(places), time_(time) {}

  // Whether a load may begin at `now`.
  bool Take(absl::Time now) {
    absl::MutexLock lock(&mutex_);
    ends_.erase(ends_.begin(), ends_.upper_bound(now));
    if (static_cast<int>(ends_.size()) >= places_) {
      ++refused_;
      return false;
    }
    ++granted_;
    ends_.insert(now + time_);
    return true;
  }

  json Counters() const {
    absl::MutexLock lock(&mutex_);
    return {{"granted", granted_}, {"refused", refused_}};
  }

 private:
  const int places_;
  const absl::Duration time_;
  mutable absl::Mutex mutex_;
  std::multiset<absl::Time> ends_ ABSL_GUARDED_BY(mutex_);
  uint64_t granted_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t refused_ ABSL_GUARDED_BY(mutex_) = 0;
};

void Answer(httplib::Response& response, const json& value) {
  response.set_content(http::DumpJson(value), "application/json");
}

int Run(const Arguments& arguments) {
  BlockStopSignals();
  const absl::Duration time = arguments.Millis("--load-ms");
  LoadPlaces places(static_cast<int>(arguments.Number("--loads")), time);
  httplib::Server server;
  Configure(server);
  server.Post("/v1/loads",
              [&](const httplib::Request&, httplib::Response& response) {
                if (!places.Take(absl::Now())) {
                  response.status = kUnavailable;
                  Answer(response, {{"error", "busy"}});
                  return;
                }
                Answer(response, {{"ms", absl::ToInt64Milliseconds(time)}});
              });
  server.Get("/standin/counters",
             [&](const httplib::Request&, httplib::Response& response) {
               Answer(response, places.Counters());
             });
  ServeOptions options;
  options.port = static_cast<int>(arguments.Number("--port"));
  options.run_for = arguments.Seconds("--run-for");
  return Serve(server, options, [] {});
}

}  // namespace
}  // namespace umbertrail::standin

int main(int argc, char** argv) {
  return umbertrail::standin::Run(
      umbertrail::standin::Arguments(umbertrail::standin::kUsage, argc, argv));
}
