#ifndef UMBERTRAIL_FRONT_FRONT_H_
#define UMBERTRAIL_FRONT_FRONT_H_

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>

#include "umbertrail/front/peer_link.h"
#include "umbertrail/front/state.h"
#include "umbertrail/front/store_reader.h"
#include "umbertrail/net/server.h"

namespace umbertrail::front {

// One instance on the users' platform: a single thread that runs everything as
// events.
class Front {
 public:
  // Logs go to descriptor `log_fd`; `settings_path` is read again when it
  // changes.
  Front(adapter::InstanceSettings settings,
        std::string settings_path,
        int log_fd,
        dispatch::PlacementMode mode = dispatch::PlacementMode::kPredicted);

  // Serves until a planned stop is over. An error when an address can't be
  // used.
  Result<Done> Run();
  // Begins a planned stop, as SIGTERM does, or cuts one short that has begun;
  // from any thread.
  void RequestStop();

 private:
  std::optional<std::string> Listen();
  void OnRequest(std::shared_ptr<net::ServerConnection> client);
  void OnReadiness(std::shared_ptr<net::ServerConnection> client);
  void OnMetrics(std::shared_ptr<net::ServerConnection> client);
  bool IsReady() const;
  void OnViewChange();
  void AwaitSignal();
  void OnSignal(int signal);
  void BeginStop();
  // Looks after the stop every now and then.
  void ContinueStop();
  void End();
  void ReloadSettings();
  void WatchSettingsFile();

  net::Loop loop_;
  State state_;
  std::string settings_path_;
  std::string settings_text_;
  net::HttpServer callers_;
  net::HttpServer readiness_;
  net::HttpServer control_;
  net::HttpServer metrics_;
  std::shared_ptr<StoreReader> store_;
  std::shared_ptr<PeerLink> peers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer settings_timer_;
  bool stopping_ = false;
  bool was_ready_ = false;
  absl::Time stop_began_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_FRONT_H_
