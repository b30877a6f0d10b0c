#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "child_process.h"
#include "client_crowd.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "http/fake_server.h"
#include "net/raw_client.h"

// Crowds of clients that an operator doesn't control, against the program as it
// is started, on a machine with little memory and few descriptors. Guards
// against buffers that grow with the number of connections: the process was
// ended by its memory limit, or ran out of descriptors for its own connections.
// The limits are those of the settings, so the checks don't depend on time.

namespace umbertrail::soak {
namespace {

using testing::FakeConnection;
using testing::FakeServer;
using testing::RawClient;

// The limits in the settings and in the configuration.
constexpr size_t kMemoryMb = 40;
constexpr size_t kMaxFds = 4100;
constexpr size_t kMaxBody = size_t{256} << 10;
// The resident memory that the process may have at any time, and may keep over
// its memory at the start once the crowd has left.
constexpr size_t kMaxResident = kMemoryMb << 20;
constexpr size_t kMaxKept = kMaxResident / 4;
// The crowd's bodies are several times as large as the machine's memory.
constexpr int kClients = 400;
// A body ends one piece before its last.
constexpr size_t kPieces = 64;
constexpr size_t kPiece = kMaxBody / kPieces;
constexpr size_t kWhole = ~size_t{0};
// Larger than what the instance holds of a response.
constexpr size_t kLargeResponse = size_t{1} << 20;
// Ends a test that hangs; nothing is measured with it.
constexpr absl::Duration kHangGuard = absl::Seconds(60);
constexpr absl::Duration kPause = absl::Milliseconds(20);

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

std::string Head(const std::string& path, const std::string& framing) {
  return absl::StrCat("POST ", path,
                      " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id1\r\n"
                      "X-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\n",
                      framing, "\r\n");
}

std::string DeclaredHead(const std::string& path, size_t length) {
  return Head(path, absl::StrCat("Content-Length: ", length, "\r\n"));
}

// `count` chunks of `bytes` each, without the last one.
std::string Chunks(size_t count, size_t bytes) {
  const std::string chunk = testing::Chunk(std::string(bytes, 'x'));
  std::string all;
  all.reserve(count * chunk.size());
  for (size_t i = 0; i < count; ++i) {
    all += chunk;
  }
  return all;
}

std::string ChunkedRequest(size_t count, size_t bytes) {
  return Head("/once/hold", "Transfer-Encoding: chunked\r\n") +
         Chunks(count, bytes);
}

std::shared_ptr<const std::string> Shared(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

// Moves the instance to a loopback address whose ports no client connection on
// this machine uses.
adapter::InstanceSettings OwnAddress(adapter::InstanceSettings settings) {
  constexpr int kNets = 250;
  const int pid = static_cast<int>(getpid());
  settings.ip =
      absl::StrCat("127.", 1 + pid % kNets, ".", pid / kNets % kNets, ".1");
  for (std::string* address :
       {&settings.callers_address, &settings.readiness_address}) {
    *address = settings.ip + address->substr(address->find(':'));
  }
  return settings;
}

// A started instance with its store and one target, and what is measured of it.
// The target never answers requests for /once/hold, and answers those for
// /once/large with a large body.
class LimitedInstance {
 public:
  // `source` is the loopback address of ordinary clients, or empty for the
  // address that the crowd has.
  explicit LimitedInstance(size_t max_fds = kMaxFds, std::string source = "")
      : source_(std::move(source)),
        work_(std::filesystem::temp_directory_path() /
              absl::StrCat("umbertrail-crowd-", getpid())),
        settings_(OwnAddress(testing::LoopbackSettings(store_))),
        target_([](FakeConnection& connection) { Serve(connection); }) {
    std::filesystem::create_directories(work_);
    store_.Put("op/config", Config());
    store_.Put(
        "servers/t0",
        absl::StrCat(R"({"service":"llm","address":")", target_.address(),
                     R"(","zone":"east","version":"v1","slots":4096,)",
                     R"("state":"ready","cold_remaining_ms":0,)",
                     R"("sequence":1})"));
    const std::string file = work_ / "node.yaml";
    std::ofstream(file) << Settings(max_fds);
    process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{UMBERTRAIL_DAEMON, "front", "--node=" + file},
        work_ / "front.log");
    REQUIRE(AwaitStatus(settings_.readiness_address,
                        "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
    at_start_ = Resident();
    // Before its start the process is a copy of this one.
    peak_ = at_start_;
    peak_fds_ = 0;
  }
  ~LimitedInstance() {
    process_.reset();
    std::filesystem::remove_all(work_);
  }

  const std::string& address() const { return settings_.callers_address; }

  // Notes what the process uses now.
  void Measure() {
    peak_ = std::max(peak_, Resident());
    peak_fds_ = std::max(peak_fds_, Descriptors());
  }

  // Sends the crowd's bytes, and asks for an ordinary answer while the crowd
  // stays: to a small request and to one as large as is allowed. Then the crowd
  // leaves, and another small one is asked.
  void Meet(ClientCrowd& crowd) {
    crowd.Run([this] { Measure(); });
    const std::string small = DeclaredHead("/once/x", 4) + "body";
    const std::string large =
        DeclaredHead("/once/x", kMaxBody) + std::string(kMaxBody, 'x');
    CHECK(AwaitStatus(address(), small));
    CHECK(AwaitStatus(address(), large));
    crowd.Close();
    CHECK(AwaitStatus(address(), small));
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
  size_t peak_fds() const { return peak_fds_; }

 private:
  static void Serve(FakeConnection& connection) {
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

  std::string Settings(size_t max_fds) const {
    return absl::StrCat("node_name: front-1\nzone: east\nip: ", settings_.ip,
                        "\nlisten:\n  front: ", settings_.callers_address,
                        "\n  ready: ", settings_.readiness_address,
                        "\ninternal_ports: [", settings_.peer_port,
                        "]\nseeds: []\nplatform:\n  address: ",
                        store_.address(), "\nlimits:\n  memory_mb: ", kMemoryMb,
                        "\n  max_fds: ", max_fds, "\nbootstrap: true\n");
  }

  // Asks until the answer is 200; false if that takes longer than the guard.
  bool AwaitStatus(const std::string& address, const std::string& request) {
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

  std::string Proc(const std::string& name) const {
    return absl::StrCat("/proc/", process_->pid(), "/", name);
  }
  size_t Resident() const {
    std::ifstream file(Proc("statm"));
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
  }
  size_t Descriptors() const {
    std::error_code error;
    size_t count = 0;
    for (auto it = std::filesystem::directory_iterator(Proc("fd"), error);
         !error && it != std::filesystem::directory_iterator();
         it.increment(error)) {
      ++count;
    }
    return count;
  }
  size_t Kept() const {
    const size_t now = Resident();
    return now - std::min(now, at_start_);
  }

  const std::string source_;
  const std::filesystem::path work_;
  testing::StandInStore store_;
  const adapter::InstanceSettings settings_;
  FakeServer target_;
  std::unique_ptr<ChildProcess> process_;
  size_t at_start_ = 0;
  size_t peak_ = 0;
  size_t peak_fds_ = 0;
};

// `kClients` clients that all send `bytes`.
void MeetUniform(const std::string& bytes,
                 size_t piece_bytes,
                 const std::string& source = "") {
  LimitedInstance instance(kMaxFds, source);
  ClientCrowd crowd(instance.address());
  const auto shared = Shared(bytes);
  for (int i = 0; i < kClients; ++i) {
    crowd.Add({shared, piece_bytes});
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// Legal bodies: one client in eight sends all of its body, the others stop
// before the last piece.
void MeetLegal(size_t piece_bytes) {
  LimitedInstance instance;
  ClientCrowd crowd(instance.address());
  const std::string request = DeclaredHead("/once/hold", kMaxBody);
  const auto whole = Shared(request + std::string(kMaxBody, 'x'));
  const auto cut = Shared(request + std::string(kMaxBody - kPiece, 'x'));
  for (int i = 0; i < kClients; ++i) {
    crowd.Add({i % 8 == 0 ? whole : cut, piece_bytes});
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

TEST_CASE("chunked bodies in large chunks that stop before their end") {
  MeetUniform(ChunkedRequest(kPieces - 1, kPiece), kPiece);
}

// Each byte of the body arrives in a chunk of its own; half of the longest
// body, as the wire takes six bytes for each.
TEST_CASE("chunked bodies in one-byte chunks that stop before their end") {
  MeetUniform(ChunkedRequest(kMaxBody / 2, 1), kPiece);
}

TEST_CASE("declared bodies far over the limit") {
  MeetUniform(DeclaredHead("/once/hold", 10 * kMaxBody) +
                  std::string(10 * kMaxBody, 'x'),
              kWhole);
}

TEST_CASE("chunked bodies far over the limit") {
  MeetUniform(ChunkedRequest(10 * kPieces, kPiece), kWhole);
}

TEST_CASE("many large bodies of legal size sent in one go") {
  MeetLegal(kWhole);
}

TEST_CASE("many large bodies of legal size sent piece by piece") {
  MeetLegal(kPiece);
}

TEST_CASE("heads that stop before their end") {
  LimitedInstance instance;
  ClientCrowd crowd(instance.address());
  const auto head = Shared(Head(
      "/once/x", absl::StrCat("X-Long: ", std::string(15000, 'h'), "\r\n")));
  const auto cut = Shared(head->substr(0, head->size() - 2));
  for (int i = 0; i < 4 * kClients; ++i) {
    crowd.Add({cut, kPiece});
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// Small receive buffers, so that the responses stay in the instance.
TEST_CASE("responses that nobody reads") {
  LimitedInstance instance;
  ClientCrowd crowd(instance.address());
  const auto request = Shared(DeclaredHead("/once/large", 4) + "body");
  for (int i = 0; i < kClients; ++i) {
    crowd.Add({request, kWhole, 4096});
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// The crowd's requests run until their deadlines, and leave room to clients
// with another address only.
TEST_CASE("pipelined requests behind one that runs") {
  const std::string first = DeclaredHead("/once/hold", 4) + "body";
  std::string all = first;
  while (all.size() < kMaxBody / 2) {
    all += first;
  }
  MeetUniform(all, kPiece, "127.0.0.2");
}

// Half of the descriptors must stay for targets, the store, the readiness
// question and other instances.
TEST_CASE("idle connections leave descriptors for other uses") {
  constexpr size_t kFewFds = 600;
  LimitedInstance instance(kFewFds);
  ClientCrowd crowd(instance.address());
  const auto nothing = Shared("");
  for (int i = 0; i < 2 * kClients; ++i) {
    crowd.Add({nothing, kWhole});
    instance.Measure();
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kFewFds / 2);
}

}  // namespace
}  // namespace umbertrail::soak
