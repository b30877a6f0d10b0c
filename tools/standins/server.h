#ifndef UMBERTRAIL_TOOLS_STANDINS_SERVER_H_
#define UMBERTRAIL_TOOLS_STANDINS_SERVER_H_

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "absl/time/time.h"

namespace httplib {
class Server;
}

namespace umbertrail::standin {

struct ServeOptions {
  std::string host = "127.0.0.1";
  // 0: the kernel chooses.
  int port = 0;
  // The program ends by itself after this time.
  absl::Duration run_for = absl::Minutes(10);
};

// Keeps stop signals for Serve. Call it before any thread is started.
void BlockStopSignals();

// Serves until SIGTERM, SIGINT or the end of run_for; calls `stop` before the
// server waits for its handlers. Prints `listening HOST:PORT`. Returns the
// program's exit code.
int Serve(httplib::Server& server,
          const ServeOptions& options,
          const std::function<void()>& stop);

// Sets up threads, limits and keep-alive for a stand-in's load.
void Configure(httplib::Server& server);

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_SERVER_H_
