#include "limited_instance.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <system_error>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

namespace umbertrail::soak {
namespace {

using testing::FakeConnection;
using testing::RawClient;

// Ends a test that hangs; nothing is measured with it.
constexpr absl::Duration kHangGuard = absl::Seconds(60);
constexpr absl::Duration kPause = absl::Milliseconds(20);
// The deploy file's port of the metrics.
constexpr char kMetricsPort[] = ":9464";

std::string Config() {
  return absl::StrCat(
      R"({"version":1,"routes":[{"name":"once","host":"a.example",)",
      R"("prefix":"/once/","kind":"unsafe","timeout_ms":20000,)",
      R"("target_latency_ms":1000,"gap_aim_ms":1000,"resumable":false,)",
      R"("service":"llm","max_attempts":1}],)",
      R"("services":[{"name":"llm","max_conns":4096}],)",
      R"("limits":{"max_body_bytes":)", kMaxBody,
      R"(},"tenants":[{"name":"club","api_keys":["k1"],"priority":1}]})");
}

// Moves the instance to a loopback address whose ports no client connection on
// this machine uses.
adapter::InstanceSettings OwnAddress(adapter::InstanceSettings settings) {
  constexpr int kNets = 250;
  const int pid = static_cast<int>(getpid());
  settings.ip =
      absl::StrCat("127.", 1 + pid % kNets, ".", pid / kNets % kNets, ".1");
  settings.control_address = testing::RefusingAddress();
  for (std::string* address :
       {&settings.callers_address, &settings.readiness_address,
        &settings.control_address}) {
    *address = settings.ip + address->substr(address->find(':'));
  }
  settings.metrics_address = settings.ip + kMetricsPort;
  return settings;
}

void Serve(FakeConnection& connection) {
  testing::ServeRequests(connection, [&](const std::string& request) {
    if (testing::IsReportRequest(request)) {
      return connection.Write(testing::ReportAnswer(request, "t0", 0));
    }
    if (absl::StartsWith(request, "POST /once/hold")) {
      connection.AwaitClose();
      return false;
    }
    const size_t length =
        absl::StartsWith(request, "POST /once/large") ? kLargeResponse : 2;
    return connection.Write(
        testing::WholeAnswer(request, std::string(length, 'y')));
  });
}

}  // namespace

std::string Head(const std::string& path, const std::string& framing) {
  return absl::StrCat("POST ", path,
                      " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id1\r\n"
                      "X-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\n",
                      framing, "\r\n");
}

std::string DeclaredHead(const std::string& path, size_t length) {
  return Head(path, absl::StrCat("Content-Length: ", length, "\r\n"));
}

std::string ChunkedHead(const std::string& path) {
  return Head(path, "Transfer-Encoding: chunked\r\n");
}

std::string Chunks(size_t count, size_t bytes) {
  const std::string chunk = testing::Chunk(std::string(bytes, 'x'));
  std::string all;
  all.reserve(count * chunk.size());
  for (size_t i = 0; i < count; ++i) {
    all += chunk;
  }
  return all;
}

std::shared_ptr<const std::string> Shared(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

LimitedInstance::LimitedInstance(size_t max_fds, std::string source)
    : source_(std::move(source)),
      work_(std::filesystem::temp_directory_path() /
            absl::StrCat("umbertrail-crowd-", getpid())),
      settings_(OwnAddress(testing::LoopbackSettings(store_))),
      target_([](FakeConnection& connection) { Serve(connection); }) {
  std::filesystem::create_directories(work_);
  store_.Put("op/config", Config());
  store_.Put("servers/t0",
             absl::StrCat(R"({"service":"llm","address":")", target_.address(),
                          R"(","zone":"east","version":"v1","slots":4096,)",
                          R"("state":"ready","cold_remaining_ms":0,)",
                          R"("sequence":1})"));
  const std::string file = work_ / "node.yaml";
  std::ofstream(file) << Settings(max_fds);
  process_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{UMBERTRAIL_DAEMON, "front", "--node=" + file},
      work_ / "front.log");
  REQUIRE(AwaitProbe());
  at_start_ = Resident();
  // Before its start the process is a copy of this one.
  peak_ = at_start_;
  peak_fds_ = 0;
}

LimitedInstance::~LimitedInstance() {
  process_.reset();
  std::filesystem::remove_all(work_);
}

void LimitedInstance::Measure() {
  peak_ = std::max(peak_, Resident());
  peak_fds_ = std::max(peak_fds_, Descriptors());
}

void LimitedInstance::Meet(ClientCrowd& crowd) {
  crowd.Run([this] { Measure(); });
  crowd.StartTrickling();
  const std::string small = DeclaredHead("/once/x", 4) + "body";
  const std::string large =
      DeclaredHead("/once/x", kMaxBody) + std::string(kMaxBody, 'x');
  CHECK(AwaitProbe());
  CHECK(AwaitStatus(callers(), small));
  CHECK(AwaitStatus(callers(), large));
  crowd.Close();
  CHECK(AwaitStatus(callers(), small));
  CHECK(process_->IsRunning());
  const absl::Time until = absl::Now() + kHangGuard;
  size_t kept = Kept();
  while (kept > kMaxKept && absl::Now() < until) {
    absl::SleepFor(kPause);
    kept = Kept();
  }
  std::cout << "at the start " << (at_start_ >> 10) << " KiB, peak "
            << (peak_ >> 10) << " KiB and " << peak_fds_
            << " descriptors, kept " << (kept >> 10) << " KiB more\n";
  CHECK(peak_ <= kMaxResident);
  CHECK(kept <= kMaxKept);
}

std::string LimitedInstance::Settings(size_t max_fds) const {
  return absl::StrCat(
      "node_name: front-1\nzone: east\nip: ", settings_.ip,
      "\nlisten:\n  front: ", callers(), "\n  ready: ", readiness(),
      "\n  control: ", control(), "\ninternal_ports: [", settings_.peer_port,
      "]\nseeds: []\nplatform:\n  address: ", store_.address(),
      "\nlimits:\n  memory_mb: ", kMemoryMb, "\n  max_fds: ", max_fds,
      "\n  max_framing_bytes: ", kMaxFraming, "\nbootstrap: true\n");
}

std::string LimitedInstance::Ask(const std::string& request) const {
  RawClient client(callers(), 0, source_);
  client.SetReadLimit(kHangGuard);
  client.Send(request);
  return client.ReadAnswer();
}

bool LimitedInstance::AwaitStatus(const std::string& address,
                                  const std::string& request) {
  const absl::Time until = absl::Now() + kHangGuard;
  while (absl::Now() < until) {
    RawClient client(address, 0, source_);
    client.SetReadLimit(absl::Seconds(5));
    client.Send(request);
    const std::string answer = client.ReadAnswer();
    Measure();
    if (absl::StartsWith(answer, "HTTP/1.1 200")) {
      return true;
    }
    absl::SleepFor(kPause);
  }
  return false;
}

bool LimitedInstance::AwaitProbe() {
  return AwaitStatus(readiness(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
}

std::string LimitedInstance::Proc(const std::string& name) const {
  return absl::StrCat("/proc/", process_->pid(), "/", name);
}

size_t LimitedInstance::Resident() const {
  std::ifstream file(Proc("statm"));
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

size_t LimitedInstance::Descriptors() const {
  std::error_code error;
  size_t count = 0;
  for (auto it = std::filesystem::directory_iterator(Proc("fd"), error);
       !error && it != std::filesystem::directory_iterator();
       it.increment(error)) {
    ++count;
  }
  return count;
}

size_t LimitedInstance::Kept() const {
  const size_t now = Resident();
  return now - std::min(now, at_start_);
}

}  // namespace umbertrail::soak
