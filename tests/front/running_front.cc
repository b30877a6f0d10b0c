#include "front/running_front.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "net/raw_client.h"

namespace umbertrail::testing {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

std::string Route(const std::string& prefix,
                  const std::string& kind,
                  int max_attempts,
                  int aim_ms = 1000,
                  bool resumable = true) {
  return absl::StrCat(
      R"({"name":"r)", prefix, R"(","host":"a.example","prefix":")", prefix,
      R"(","kind":")", kind, R"(","timeout_ms":20000,"target_latency_ms":)",
      aim_ms, R"(,"gap_aim_ms":)", aim_ms, R"(,"resumable":)",
      resumable ? "true" : "false", R"(,"service":"llm","max_attempts":)",
      max_attempts, "}");
}

}  // namespace

adapter::InstanceSettings LoopbackSettings(const StandInStore& store) {
  adapter::InstanceSettings settings;
  settings.name = InstanceId("front-1");
  settings.data_centre = DataCentreId("east");
  settings.ip = "127.0.0.1";
  settings.callers_address = RefusingAddress();
  settings.readiness_address = RefusingAddress();
  const std::string free = RefusingAddress();
  static_cast<void>(
      absl::SimpleAtoi(free.substr(free.find(':') + 1), &settings.peer_port));
  settings.store_address = store.address();
  settings.retry_slack = 1000;
  settings.first_start = true;
  return settings;
}

RunningFront::RunningFront(const adapter::InstanceSettings& settings,
                           const dispatch::Features& features)
    : settings_(settings),
      log_fd_(open("/dev/null", O_WRONLY)),
      front_(std::make_unique<front::Front>(settings,
                                            "",
                                            log_fd_,
                                            dispatch::PlacementMode::kPredicted,
                                            features)),
      thread_([this] {
        const auto served = front_->Run();
        if (!IsOk(served)) {
          error_ = ErrorOf(served).message;
        }
        exited_ = true;
      }) {}

RunningFront::~RunningFront() {
  if (thread_.joinable()) {
    front_->RequestStop();
    front_->RequestStop();
    thread_.join();
  }
  front_.reset();
  close(log_fd_);
}

bool RunningFront::IsReady() const {
  RawClient client(readiness());
  client.Send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  return absl::StartsWith(client.ReadAnswer(), "HTTP/1.1 200");
}

void RunningFront::AwaitListening() const {
  std::string answer;
  while (answer.empty()) {
    RawClient client(readiness());
    client.Send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    answer = client.ReadAnswer();
  }
}

void RunningFront::AwaitReady() const {
  while (!IsReady()) {
    if (exited_) {
      throw std::runtime_error(error_);
    }
    absl::SleepFor(kPollInterval);
  }
}

void RunningFront::AwaitExit() {
  thread_.join();
}

std::string SampleConfig(int version) {
  return absl::StrCat(
      R"({"version":)", version, R"(,"routes":[)", Route("/safe/", "safe", 2),
      ",", Route("/once/", "unsafe", 1), ",", Route("/stream/", "streaming", 2),
      ",", Route("/quick/", "streaming", 3, 100), ",",
      Route("/live/", "streaming", 1, 1000, false),
      R"(],"services":[{"name":"llm","max_conns":100,"engine":)",
      R"({"slots":16,"kv_tokens":405000,"step_ms":1.31,"per_seq_ms":0.001,)",
      R"("read_per_s":154000,"chunk":2048,"stride":34}}],)",
      R"("tenants":[{"name":"club","api_keys":["k1"],"priority":1}]})");
}

std::string ServerEntry(const std::string& address, const std::string& state) {
  return BornServerEntry(address, state, 0);
}

std::string BornServerEntry(const std::string& address,
                            const std::string& state,
                            int64_t born_ms) {
  return absl::StrCat(
      R"({"service":"llm","address":")", address,
      R"(","zone":"east","version":"v1","slots":16,"state":")", state, "\",",
      born_ms == 0 ? "" : absl::StrCat(R"("born":)", born_ms, ","),
      R"("cold_remaining_ms":0,"sequence":1})");
}

std::string PlatformRequest(const std::string& path,
                            const std::string& attempt_id,
                            const std::string& key) {
  return absl::StrCat(
      "POST ", path,
      " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", attempt_id,
      "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token ", key,
      "\r\nX-Tenant: forged\r\nContent-Length: 4\r\n\r\nbody");
}

}  // namespace umbertrail::testing
