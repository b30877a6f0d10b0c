#include "standins/server.h"

#include <csignal>
#include <ctime>

#include <atomic>
#include <cstdio>
#include <thread>

#include <httplib.h>

#include "absl/time/clock.h"

namespace umbertrail::standin {
namespace {

constexpr size_t kHandlerThreads = 128;
constexpr size_t kMaxRequestBytes = size_t{32} << 20;
constexpr size_t kCallsPerConnection = 1000000;
constexpr time_t kIdleSeconds = 30;
constexpr absl::Duration kSignalCheck = absl::Milliseconds(50);

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Returns when a stop signal came, `end` passed, or `ended` is set.
void AwaitStop(absl::Time end, const std::atomic<bool>& ended) {
  const sigset_t signals = StopSignals();
  const timespec wait = absl::ToTimespec(kSignalCheck);
  while (absl::Now() < end && !ended) {
    if (sigtimedwait(&signals, nullptr, &wait) > 0) {
      return;
    }
  }
}

}  // namespace

void Configure(httplib::Server& server) {
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kHandlerThreads);
  };
  server.set_payload_max_length(kMaxRequestBytes);
  server.set_keep_alive_max_count(kCallsPerConnection);
  server.set_keep_alive_timeout(kIdleSeconds);
  server.set_tcp_nodelay(true);
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Serve(httplib::Server& server,
          const ServeOptions& options,
          const std::function<void()>& stop) {
  int port = options.port;
  if (port == 0) {
    port = server.bind_to_any_port(options.host);
  } else if (!server.bind_to_port(options.host, port)) {
    port = -1;
  }
  if (port < 0) {
    std::fprintf(stderr, "cannot listen on port %d\n", options.port);
    return 1;
  }
  std::printf("listening %s:%d\n", options.host.c_str(), port);
  std::fflush(stdout);
  std::atomic<bool> ended{false};
  std::thread stopper([&] {
    AwaitStop(absl::Now() + options.run_for, ended);
    stop();
    server.stop();
  });
  const bool served = server.listen_after_bind();
  ended = true;
  stopper.join();
  return served ? 0 : 1;
}

}  // namespace umbertrail::standin
