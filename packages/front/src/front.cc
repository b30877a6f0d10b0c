#include "umbertrail/front/front.h"

#include <malloc.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"
#include "platform/request_codec.h"
#include "umbertrail/front/placer.h"
#include "umbertrail/front/relay.h"

namespace umbertrail::front {
namespace {

// With an older view the instance is not ready for new clients, as their keys
// would soon be refused.
constexpr absl::Duration kReadyAge = absl::Milliseconds(4200);
// The platform sends new connections until it has probed readiness twice.
constexpr absl::Duration kListenAfterStop = absl::Milliseconds(2600);
// Time for a new connection to send its first request.
constexpr absl::Duration kFirstRequestTime = absl::Milliseconds(250);
// Part of the grace period left for responses in the socket buffers.
constexpr absl::Duration kStopMargin = absl::Milliseconds(500);
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);
// How often an address that is in use is tried again, and the time that a
// predecessor may take beyond its grace period.
constexpr absl::Duration kBindInterval = absl::Milliseconds(100);
constexpr absl::Duration kPredecessorMargin = absl::Seconds(2);
constexpr int kNotFound = 404;
// Headers that another instance adds to a request.
constexpr size_t kMaxAddedHeaderBytes = 1024;
// After a crowd of clients has gone, the rest of its buffers is freed within
// this; refused connections linger for a second.
constexpr absl::Duration kTrimDelay = absl::Seconds(2);
// Polling interval for changes of the settings file.
constexpr absl::Duration kSettingsCheckInterval = absl::Seconds(2);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

net::ServerLimits LimitsOf(const dispatch::ClientLimits& from,
                           const adapter::InstanceSettings& settings) {
  net::ServerLimits limits;
  limits.max_framing_bytes = static_cast<size_t>(settings.max_framing_bytes);
  limits.max_header_bytes = from.max_header_bytes;
  limits.max_body_bytes = from.max_body_bytes;
  limits.header_timeout = from.header_timeout;
  limits.idle_timeout = from.idle_timeout;
  return limits;
}

}  // namespace

Front::Front(adapter::InstanceSettings settings,
             std::string settings_path,
             int log_fd,
             dispatch::PlacementMode mode,
             const dispatch::Features& features)
    : loop_(1),
      state_(loop_, std::move(settings), log_fd),
      settings_path_(std::move(settings_path)),
      shed_report_(state_.log, state_.metrics),
      callers_(
          loop_,
          [this](auto client) { OnRequest(std::move(client)); },
          [this](int status, const char* reason) {
            state_.log.Write(EventLog::Level::kImportant, "client_fault",
                             {{"status", static_cast<int64_t>(status)},
                              {"reason", absl::string_view(reason)}},
                             BootNow());
          },
          state_.memory),
      monitoring_memory_(std::make_shared<net::MemoryBudget>()),
      readiness_(
          loop_,
          [this](auto client) { OnReadiness(std::move(client)); },
          [](int, const char*) {},
          monitoring_memory_),
      control_(
          loop_,
          [this](auto client) { OnControl(std::move(client)); },
          [](int, const char*) {},
          state_.memory),
      metrics_(
          loop_,
          [this](auto client) { OnMetrics(std::move(client)); },
          [](int, const char*) {},
          monitoring_memory_),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      bind_timer_(loop_),
      stop_timer_(loop_),
      settings_timer_(loop_),
      trim_timer_(loop_) {
  state_.mode = mode;
  state_.features = features;
  settings_text_ = ReadFile(settings_path_);
  store_ = std::make_shared<StoreReader>(state_, [this] { OnViewChange(); });
  peers_ =
      std::make_shared<PeerLink>(state_, [this] { store_->OnPeerAhead(); });
  state_.publish_crashes = [this] { peers_->PublishCrashes(); };
  state_.choose_stand_in = [this](const std::vector<InstanceId>& excluded) {
    return peers_->ChooseStandIn(excluded);
  };
  state_.publish_departure = [this](const TargetId& target, int64_t born_ms) {
    peers_->PublishDeparture(target, born_ms);
  };
  state_.publish_limit = [this](const TargetId& target) {
    peers_->PublishLimit(target);
  };
  state_.placer = std::make_shared<Placer>(
      state_, [this](const InstanceId& home, uint64_t id,
                     const PlacementRequest& request) {
        peers_->SendPlacementRequest(home, id, request);
      });
  state_.board.SetOnChange([this] { peers_->ScheduleFlush(); });
  WatchMemory();
  ApplyResourceLimits();
}

Front::~Front() {
  for (net::MemoryBudget* memory : MemoryBudgets()) {
    memory->SetOnShed(nullptr);
    memory->SetOnDrained(nullptr);
  }
}

std::array<net::MemoryBudget*, 2> Front::MemoryBudgets() const {
  return {state_.memory.get(), monitoring_memory_.get()};
}

void Front::WatchMemory() {
  for (net::MemoryBudget* memory : MemoryBudgets()) {
    memory->SetOnShed([this, memory](net::ShedReason reason) {
      shed_report_.Note(reason, *memory, BootNow());
    });
    memory->SetOnDrained([this] { ScheduleTrim(); });
  }
}

void Front::ApplyResourceLimits() {
  state_.memory->SetSize(MemoryBudgetOf(state_.settings));
  monitoring_memory_->SetSize(MonitoringMemoryOf(state_.settings));
  const ConnectionLimits limits =
      ConnectionLimitsOf(state_.settings, SystemFds());
  callers_.SetMaxConnections(limits.callers);
  control_.SetMaxConnections(limits.control);
  readiness_.SetMaxConnections(limits.other);
  metrics_.SetMaxConnections(limits.other);
  readiness_.SetLimits(MonitoringLimits());
  metrics_.SetLimits(MonitoringLimits());
}

void Front::ScheduleTrim() {
  trim_timer_.expires_after(net::ToChrono(kTrimDelay));
  trim_timer_.async_wait([](const boost::system::error_code& error) {
    if (!error) {
      malloc_trim(0);
    }
  });
}

std::optional<Front::BindFault> Front::BindAddresses() {
  const std::pair<net::HttpServer*, const std::string*> listeners[] = {
      {&callers_, &state_.settings.callers_address},
      {&readiness_, &state_.settings.readiness_address},
      {&control_, &state_.settings.control_address},
      {&metrics_, &state_.settings.metrics_address}};
  for (const auto& [server, address] : listeners) {
    if (address->empty() || server->listening()) {
      continue;
    }
    const auto endpoint = net::ParseEndpoint(*address);
    const auto error =
        endpoint ? server->Listen(*endpoint)
                 : make_error_code(boost::system::errc::invalid_argument);
    if (error) {
      return BindFault{*address, error};
    }
  }
  if (!peers_->started()) {
    if (const auto error = peers_->Start()) {
      return BindFault{
          absl::StrCat(state_.settings.ip, ":", state_.settings.peer_port),
          error};
    }
  }
  return std::nullopt;
}

void Front::BindAndServe() {
  const auto fault = BindAddresses();
  if (!fault) {
    Serve();
    return;
  }
  const absl::Duration waited = BootNow() - start_began_;
  if (fault->error != boost::asio::error::address_in_use ||
      waited >= state_.settings.grace + kPredecessorMargin) {
    start_error_ = absl::StrCat(fault->address, ": ", fault->error.message());
    loop_.stop();
    return;
  }
  if (awaited_addresses_.insert(fault->address).second) {
    state_.log.Write(EventLog::Level::kImportant, "address_in_use",
                     {{"address", absl::string_view(fault->address)},
                      {"waited_ms", absl::ToInt64Milliseconds(waited)}},
                     BootNow());
  }
  bind_timer_.expires_after(net::ToChrono(kBindInterval));
  bind_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      BindAndServe();
    }
  });
}

Result<Done> Front::Run() {
  std::signal(SIGPIPE, SIG_IGN);
  start_began_ = BootNow();
  AwaitSignal();
  BindAndServe();
  loop_.run();
  if (start_error_) {
    return Error{ErrorCode::kUnavailable, *start_error_};
  }
  return Done{};
}

void Front::Serve() {
  serving_ = true;
  state_.log.Write(
      EventLog::Level::kImportant, "start",
      {{"callers", absl::string_view(state_.settings.callers_address)},
       {"data_centre", state_.settings.data_centre.text()},
       {"first_start", state_.settings.first_start}},
      BootNow());
  WatchSettingsFile();
  store_->Start();
}

void Front::OnRequest(std::shared_ptr<net::ServerConnection> client) {
  std::make_shared<Relay>(state_, std::move(client), Relay::Origin::kClient)
      ->Start();
}

void Front::OnControl(std::shared_ptr<net::ServerConnection> client) {
  if (!adapter::IsRelayedRequest(client->request())) {
    state_.log.Write(EventLog::Level::kImportant, "not_relayed",
                     {{"path", absl::string_view(client->request().target)}},
                     BootNow());
    net::ResponseHead head;
    head.status = kNotFound;
    head.reason = "Not Found";
    client->Respond(std::move(head), "");
    return;
  }
  std::make_shared<Relay>(state_, std::move(client), Relay::Origin::kInstance)
      ->Start();
}

void Front::OnReadiness(std::shared_ptr<net::ServerConnection> client) {
  const bool ready = IsReady();
  if (ready != was_ready_) {
    was_ready_ = ready;
    state_.log.Write(
        EventLog::Level::kImportant, "readiness",
        {{"ready", ready},
         {"stopping", stopping_},
         {"targets", static_cast<int64_t>(state_.view.targets().size())},
         {"config_age_ms", absl::ToInt64Milliseconds(
                               BootNow() - state_.view.config_confirmed_at())}},
        BootNow());
  }
  net::ResponseHead head;
  head.status = ready ? 200 : 503;
  head.reason = ready ? "OK" : "Service Unavailable";
  client->Respond(std::move(head), "");
}

void Front::OnMetrics(std::shared_ptr<net::ServerConnection> client) {
  Gauges gauges;
  if (state_.view.has_config()) {
    gauges.config_version = static_cast<double>(state_.view.config().version);
    gauges.config_age = BootNow() - state_.view.config_confirmed_at();
  }
  gauges.targets = static_cast<double>(state_.view.targets().size());
  gauges.open_requests = static_cast<double>(callers_.busy());
  gauges.connections = static_cast<double>(callers_.connections());
  gauges.live_instances = state_.live_instances;
  const auto used = [&](net::MemoryUse use) {
    return static_cast<double>(state_.memory->used(use));
  };
  gauges.connection_bytes = used(net::MemoryUse::kConnections);
  gauges.body_bytes = used(net::MemoryUse::kBodies);
  gauges.response_bytes = used(net::MemoryUse::kResponses);
  const auto standing = state_.config_agreement.StandingAt(BootNow());
  gauges.config_unsettled =
      standing == dispatch::ConfigAgreement::Standing::kUnsettled;
  gauges.config_behind =
      standing == dispatch::ConfigAgreement::Standing::kBehind;
  gauges.ready = IsReady();
  net::ResponseHead head;
  head.status = 200;
  head.reason = "OK";
  head.headers.Add("Content-Type", "text/plain; version=0.0.4");
  client->Respond(std::move(head), state_.metrics.Text(gauges));
}

bool Front::IsReady() const {
  if (stopping_ || !state_.view.has_config() || state_.view.targets().empty()) {
    return false;
  }
  if (!state_.settings.strict_revocation) {
    return true;
  }
  const absl::Time now = BootNow();
  return now - state_.view.config_confirmed_at() < kReadyAge &&
         state_.config_agreement.StandingAt(now) !=
             dispatch::ConfigAgreement::Standing::kUnsettled;
}

void Front::OnViewChange() {
  peers_->CheckConfig();
  if (state_.view.has_config()) {
    ApplyClientLimits(state_.view.config().limits);
  }
}

void Front::ApplyClientLimits(const dispatch::ClientLimits& from) {
  net::ServerLimits limits = LimitsOf(from, state_.settings);
  callers_.SetLimits(limits);
  // Another instance adds headers.
  limits.max_header_bytes += kMaxAddedHeaderBytes;
  control_.SetLimits(limits);
}

void Front::AwaitSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (!error) {
          OnSignal(signal);
          AwaitSignal();
        }
      });
}

void Front::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ReloadSettings();
  } else if (!serving_) {
    loop_.stop();
  } else if (!stopping_) {
    BeginStop();
  } else {
    End();  // Second signal.
  }
}

void Front::RequestStop() {
  boost::asio::post(loop_, [this] { OnSignal(SIGTERM); });
}

void Front::BeginStop() {
  stopping_ = true;
  stop_began_ = BootNow();
  callers_.StartDraining();
  control_.StartDraining();
  peers_->StopServingOthers();
  state_.log.Write(EventLog::Level::kImportant, "stop_begun",
                   {{"open_requests", static_cast<int64_t>(callers_.busy())}},
                   stop_began_);
  ContinueStop();
}

void Front::ContinueStop() {
  const absl::Duration since = BootNow() - stop_began_;
  if (since >= kListenAfterStop) {
    callers_.StopListening();
  }
  if (since >= kListenAfterStop + kFirstRequestTime) {
    callers_.CloseIdle();
    // Clients and instances must also have the last bytes of their responses.
    if (callers_.connections() == 0 && control_.CountUndelivered() == 0) {
      End();
      return;
    }
  }
  if (since >= state_.settings.grace - kStopMargin) {
    End();
    return;
  }
  stop_timer_.expires_after(net::ToChrono(kStopCheckInterval));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ContinueStop();
    }
  });
}

void Front::End() {
  state_.log.Write(
      EventLog::Level::kImportant, "stop_over",
      {{"cut_requests", static_cast<int64_t>(callers_.CountUndelivered())},
       {"cut_for_instances",
        static_cast<int64_t>(control_.CountUndelivered())}},
      BootNow());
  callers_.CloseAll();
  control_.CloseAll();
  peers_->Stop();
  store_->Stop();
  loop_.stop();
}

void Front::WatchSettingsFile() {
  settings_timer_.expires_after(net::ToChrono(kSettingsCheckInterval));
  settings_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ReloadSettings();
      WatchSettingsFile();
    }
  });
}

void Front::ReloadSettings() {
  std::string text = ReadFile(settings_path_);
  if (text == settings_text_) {
    return;
  }
  const adapter::SettingsResult read = adapter::ReadSettings(text);
  const std::string faults = absl::StrJoin(read.faults, "; ");
  settings_text_ = std::move(text);
  if (!read.faults.empty()) {
    state_.log.Write(EventLog::Level::kImportant, "reload_refused",
                     {{"why", absl::string_view(faults)}}, BootNow());
    return;
  }
  // Addresses and names are fixed until a restart; limits and seeds take effect
  // at once.
  adapter::InstanceSettings settings = read.settings;
  settings.name = state_.settings.name;
  settings.ip = state_.settings.ip;
  settings.callers_address = state_.settings.callers_address;
  settings.readiness_address = state_.settings.readiness_address;
  settings.control_address = state_.settings.control_address;
  settings.metrics_address = state_.settings.metrics_address;
  settings.peer_port = state_.settings.peer_port;
  settings.first_start = state_.settings.first_start;
  state_.settings = std::move(settings);
  ApplyResourceLimits();
  OnViewChange();
  state_.log.Write(EventLog::Level::kImportant, "reload", {}, BootNow());
}

}  // namespace umbertrail::front
