// Measures what cpp-httplib's thread for each connection costs: memory for an
// open stream, and processor time for a part passed through it. Server and
// callers run in this one process, so a figure covers both ends.

#include <httplib.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "process_usage.h"
#include "report.h"

namespace umbertrail::capacity {
namespace {

// One part, as a token of a streamed answer.
constexpr char kPart[] =
    "data: {\"id\":\"4f2a\",\"offset\":120,\"tokens\":1,\"text\":\"abcd\"}\n\n";
// Time between the tokens of one stream.
constexpr absl::Duration kTokenGap = absl::Milliseconds(42);
constexpr int kPartsOfStream = 50;
constexpr size_t kMaxThreads = 600;
// One stream opens within this time, or the run ends.
constexpr absl::Duration kOpenLimit = absl::Seconds(5);

// A server whose streams start together, when all are open.
class StreamServer {
 public:
  StreamServer() {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(kMaxThreads);
    };
    server_.Get("/stream", [this](const httplib::Request&,
                                  httplib::Response& response) {
      response.set_chunked_content_provider(
          "text/event-stream", [this](size_t, httplib::DataSink& sink) {
            return WriteStream(sink);
          });
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    listener_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~StreamServer() {
    server_.stop();
    listener_.join();
  }

  int port() const { return port_; }

  // Waits until `n` streams are open; false when that takes too long.
  bool AwaitOpen(int n) const {
    const absl::Time deadline = absl::Now() + kOpenLimit;
    while (open_ < n && absl::Now() < deadline) {
      absl::SleepFor(absl::Milliseconds(1));
    }
    return open_ >= n;
  }
  void Go() { go_ = true; }

 private:
  bool WriteStream(httplib::DataSink& sink) {
    ++open_;
    sink.write(kPart, sizeof(kPart) - 1);
    while (!go_) {
      absl::SleepFor(absl::Milliseconds(20));
    }
    for (int i = 0; i < kPartsOfStream; ++i) {
      absl::SleepFor(kTokenGap);
      sink.write(kPart, sizeof(kPart) - 1);
    }
    sink.done();
    return true;
  }

  std::atomic<int> open_{0};
  std::atomic<bool> go_{false};
  httplib::Server server_;
  int port_ = 0;
  std::thread listener_;
};

struct Costs {
  double resident_bytes = 0;
  double processor_nanos = 0;
};

// Both ends of `streams` streams, one thread each.
Costs MeasureStreams(int streams) {
  const int64_t before = ResidentBytes();
  StreamServer server;
  std::atomic<size_t> received{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < streams; ++i) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", server.port());
      client.set_read_timeout(60);
      client.Get("/stream", [&](const char*, size_t n) {
        received += n;
        return true;
      });
    });
    // One by one: the library's listener holds only a few waiting connections.
    if (!server.AwaitOpen(i + 1)) {
      std::cerr << "stream " << i + 1 << " did not open\n";
      std::exit(1);
    }
  }
  Costs out;
  out.resident_bytes = static_cast<double>(ResidentBytes() - before);
  const int64_t start = ProcessorNanos();
  server.Go();
  for (std::thread& it : callers) {
    it.join();
  }
  out.processor_nanos = static_cast<double>(ProcessorNanos() - start);
  return out;
}

void Run() {
  std::vector<Point> memory;
  std::vector<Point> processor;
  // Warms up allocator and library.
  MeasureStreams(8);
  for (const int it : {32, 64, 128, 256, 512}) {
    const Costs costs = MeasureStreams(it);
    const auto size = static_cast<double>(it);
    memory.push_back({size, costs.resident_bytes / 1024});
    processor.push_back(
        {size * kPartsOfStream, costs.processor_nanos / 1000000});
  }
  PrintSeries("open streams, both ends", "streams", "KiB resident", memory);
  PrintSeries("parts, both ends", "parts passed", "ms of processor", processor);
}

}  // namespace
}  // namespace umbertrail::capacity

int main() {
  umbertrail::capacity::Run();
  return 0;
}
