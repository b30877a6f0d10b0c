#ifndef UMBERTRAIL_FRONT_FRONT_H_
#define UMBERTRAIL_FRONT_FRONT_H_

#include <array>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "umbertrail/front/peer_link.h"
#include "umbertrail/front/resource_limits.h"
#include "umbertrail/front/state.h"
#include "umbertrail/front/store_reader.h"
#include "umbertrail/net/server.h"

namespace umbertrail::front {

// One instance on the users' platform, run by a single-threaded event loop.
class Front {
 public:
  // Logs to descriptor `log_fd`; reloads `settings_path` when it changes.
  Front(adapter::InstanceSettings settings,
        std::string settings_path,
        int log_fd,
        dispatch::PlacementMode mode = dispatch::PlacementMode::kPredicted,
        const dispatch::Features& features = {});

  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Serves until a graceful shutdown ends. Waits for addresses that are in use,
  // as a predecessor may still be stopping; fails when one can't be bound, or
  // stays in use for longer than such a stop takes.
  Result<Done> Run();
  // Begins a graceful shutdown, as SIGTERM does; a second call ends it at once.
  // Thread-safe.
  void RequestStop();

 private:
  // An address that couldn't be bound.
  struct BindFault {
    std::string address;
    boost::system::error_code error;
  };

  // Binds the addresses that are not bound yet; returns the first failure.
  std::optional<BindFault> BindAddresses();
  // Starts to serve once all addresses are bound.
  void BindAndServe();
  void Serve();
  void OnRequest(std::shared_ptr<net::ServerConnection> client);
  // Serves requests that other instances pass on.
  void OnControl(std::shared_ptr<net::ServerConnection> client);
  void OnReadiness(std::shared_ptr<net::ServerConnection> client);
  void OnMetrics(std::shared_ptr<net::ServerConnection> client);
  bool IsReady() const;
  void OnViewChange();
  void ApplyClientLimits(const dispatch::ClientLimits& from);
  // Applies the settings' limits on memory and descriptors.
  void ApplyResourceLimits();
  std::array<net::MemoryBudget*, 2> MemoryBudgets() const;
  void WatchMemory();
  // Returns freed memory to the system, a moment after buffers were released.
  void ScheduleTrim();
  void AwaitSignal();
  void OnSignal(int signal);
  void BeginStop();
  // Runs periodically during a shutdown.
  void ContinueStop();
  void End();
  void ReloadSettings();
  void WatchSettingsFile();

  net::Loop loop_;
  State state_;
  std::string settings_path_;
  std::string settings_text_;
  ShedReport shed_report_;
  net::HttpServer callers_;
  // Of the readiness and metrics addresses.
  std::shared_ptr<net::MemoryBudget> monitoring_memory_;
  net::HttpServer readiness_;
  net::HttpServer control_;
  net::HttpServer metrics_;
  std::shared_ptr<StoreReader> store_;
  std::shared_ptr<PeerLink> peers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer bind_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer settings_timer_;
  boost::asio::steady_timer trim_timer_;
  absl::Time start_began_;
  // Addresses found in use so far.
  std::set<std::string> awaited_addresses_;
  bool serving_ = false;
  // Why the instance can't serve.
  std::optional<std::string> start_error_;
  bool stopping_ = false;
  bool was_ready_ = false;
  absl::Time stop_began_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_FRONT_H_
