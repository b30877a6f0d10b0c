#include "umbertrail/daemon/daemon.h"

#include <functional>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "adapters.h"
#include "umbertrail/daemon/accounts.h"
#include "umbertrail/daemon/admin_pages.h"
#include "umbertrail/daemon/admin_server.h"
#include "umbertrail/daemon/caller_server.h"
#include "umbertrail/daemon/core_loop.h"
#include "umbertrail/daemon/event_queue.h"
#include "umbertrail/daemon/filters.h"
#include "umbertrail/daemon/request_table.h"
#include "umbertrail/daemon/ticket_signer.h"
#include "umbertrail/security/certificate.h"
#include "umbertrail/security/key_file.h"

namespace umbertrail::daemon {
namespace {

// Histories kept for `explain`.
constexpr size_t kRunningHistories = 4096;
constexpr size_t kFinishedHistories = 1024;
// How long an operator's page waits for the loop.
constexpr absl::Duration kStatusLimit = absl::Seconds(2);
// How long the last messages may take to reach their peers.
constexpr absl::Duration kDrainLimit = absl::Seconds(3);

std::vector<peer::PeerKey> PeerKeysOf(const security::Keys& keys) {
  std::vector<peer::PeerKey> peer_keys;
  for (const security::Key& key : keys) {
    peer_keys.push_back(peer::PeerKey{key.secret});
  }
  return peer_keys;
}

telemetry::LogFormat LogFormatOf(const Settings& settings) {
  return settings.log_format == "plain" ? telemetry::LogFormat::kPlain
                                        : telemetry::LogFormat::kJson;
}

telemetry::LogLevel LogLevelOf(const Settings& settings) {
  return telemetry::ParseLogLevel(settings.log_level)
      .value_or(telemetry::LogLevel::kInfo);
}

target::TargetClientSettings TargetSettingsOf(const Settings& settings,
                                              const InstanceRef& self) {
  target::TargetClientSettings target;
  target.self = self;
  target.max_streams = static_cast<int>(settings.target_streams);
  target.ca_path = settings.tls_target_ca;
  return target;
}

confservice::PlatformClientSettings PlatformSettingsOf(
    const Settings& settings) {
  confservice::PlatformClientSettings platform;
  platform.address = settings.platform_address;
  platform.ca_path = settings.tls_platform_ca;
  return platform;
}

CallerServerOptions CallerOptionsOf(const Settings& settings) {
  CallerServerOptions options;
  options.address = settings.callers_address;
  options.header_bytes = static_cast<size_t>(settings.header_bytes);
  options.body_memory = static_cast<size_t>(settings.body_memory);
  options.connections = static_cast<size_t>(settings.connections);
  options.read_timeout = settings.read_timeout;
  options.write_timeout = settings.write_timeout;
  options.idle_timeout = settings.idle_timeout;
  options.tls_certificate = settings.tls_certificate;
  options.tls_private_key = settings.tls_private_key;
  return options;
}

QueueLimits QueueLimitsOf(const Settings& settings) {
  QueueLimits limits;
  limits.requests = static_cast<size_t>(settings.waiting_requests);
  return limits;
}

std::unique_ptr<telemetry::SpanExporter> MakeExporter(
    const Settings& settings) {
  if (settings.trace_collector.empty()) {
    return nullptr;
  }
  return std::make_unique<telemetry::SpanExporter>(
      settings.instance_id,
      telemetry::MakeHttpSpanTransport(settings.trace_collector),
      telemetry::SpanExporterOptions());
}

}  // namespace

// -- Files

std::vector<SettingFault> CheckFiles(const Settings& settings,
                                     const std::string& settings_path) {
  std::vector<SettingFault> faults;
  const auto add = [&](const char* key, const Error& error) {
    faults.push_back(SettingFault{settings_path, 0, key, error.message});
  };
  const auto keys = security::ReadKeyFile(settings.peer_key_file);
  if (!IsOk(keys)) {
    add("peer.key_file", ErrorOf(keys));
  }
  if (!settings.tls_certificate.empty()) {
    const auto certificate = security::CheckCertificate(
        {settings.tls_certificate, settings.tls_private_key}, absl::Now());
    if (!IsOk(certificate)) {
      add("tls.certificate", ErrorOf(certificate));
    }
  }
  const std::pair<const char*, const std::string&> authorities[] = {
      {"tls.target_ca", settings.tls_target_ca},
      {"tls.platform_ca", settings.tls_platform_ca}};
  for (const auto& [key, path] : authorities) {
    if (path.empty()) {
      continue;
    }
    const auto checked = security::CheckCaBundle(path, absl::Now());
    if (!IsOk(checked)) {
      add(key, ErrorOf(checked));
    }
  }
  return faults;
}

// -- The parts and their wiring

class Daemon::Impl {
 public:
  explicit Impl(Settings settings);
  ~Impl() { Stop(); }

  Result<Done> Start();
  std::string callers_address() const { return callers_.address(); }
  std::string admin_address() const { return admin_.address(); }
  Result<Reload> ReloadSettings(const Settings& wanted);
  void RequestStop();
  bool AwaitStopComplete(absl::Duration limit) {
    return loop_.AwaitStopComplete(limit);
  }
  void Stop();

 private:
  Settings settings() const;
  CallerLimits caller_limits() const;
  FilterLimits filter_limits() const;
  core::NodeStatus NodeStatusNow();
  void OnPlatformEvent(core::Event event);
  void Log(telemetry::LogLevel level, telemetry::StaticText message);
  Result<Done> StartLinks();
  telemetry::ObserverSinks Sinks();
  telemetry::ObserverOptions ObserverOptionsOf() const;
  LoopPorts Ports();

  // The order is that of construction: whatever is used stands before its user.
  mutable absl::Mutex mutex_;
  Settings settings_ ABSL_GUARDED_BY(mutex_);
  const std::unique_ptr<RandomSource> random_ = MakeSystemRandom();
  const std::unique_ptr<RandomSource> link_random_ = MakeSystemRandom();
  const InstanceRef self_;
  const detail::BootClock clock_;

  telemetry::Logger logger_;
  telemetry::Metrics metrics_;
  telemetry::HistoryStore histories_{kRunningHistories, kFinishedHistories};
  const std::unique_ptr<telemetry::SpanExporter> exporter_;
  detail::NoSpans no_spans_;
  telemetry::NodeObserver node_observer_;
  detail::TelemetryAdapter telemetry_{&node_observer_};
  detail::LinkLog link_log_{&logger_};

  EventQueue queue_;
  AccountDirectory accounts_;
  RequestTable table_;
  detail::TargetDirectory targets_;
  target::TargetClient target_client_;
  detail::TargetAdapter target_port_{&target_client_};
  confservice::PlatformClient platform_client_;
  detail::PlatformAdapter platform_port_{&platform_client_};
  // Made by Start(), for their listener must be bound first.
  std::unique_ptr<peer::PeerLinks> links_;
  detail::PeerAdapter peer_port_{&links_};

  const HmacTicketSigner signer_{random_.get()};
  CoreLoop loop_;
  RequestFilters filters_;
  CallerServer callers_;
  const AdminPages pages_;
  AdminServer admin_;
  uint64_t counted_sent_ = 0;
  uint64_t counted_received_ = 0;
  bool started_ = false;
};

Daemon::Impl::Impl(Settings settings)
    : settings_(std::move(settings)),
      self_{InstanceId(settings_.instance_id), Incarnation(random_->Next())},
      logger_(LogFormatOf(settings_), LogLevelOf(settings_)),
      exporter_(MakeExporter(settings_)),
      node_observer_(Sinks(), ObserverOptionsOf()),
      queue_(QueueLimitsOf(settings_)),
      target_client_(
          TargetSettingsOf(settings_, self_),
          [this](core::Event event) { queue_.Post(std::move(event)); },
          [this](const TargetId& id) { return targets_.Find(id); }),
      platform_client_(
          PlatformSettingsOf(settings_),
          [this](core::Event event) { OnPlatformEvent(std::move(event)); },
          MakeSystemRandom()),
      loop_(&queue_,
            MakeNodeDriver(
                core::NodeConfig{self_, DataCentreId(settings_.data_centre),
                                 core::Mutations()},
                random_.get(),
                &signer_),
            Ports(),
            &clock_,
            &telemetry_,
            [this](const manifest::Manifest& it) { accounts_.Replace(it); }),
      filters_(self_.incarnation,
               &accounts_,
               [this] { return filter_limits(); }),
      callers_(CallerOptionsOf(settings_),
               CallerServerParts{&filters_, &table_, &queue_, &telemetry_,
                                 [this] { return caller_limits(); }}),
      pages_(AdminSources{[this] { return NodeStatusNow(); }, &metrics_,
                          &histories_, &logger_, exporter_.get()}),
      admin_(settings_.admin_address, [this](const AdminRequest& request) {
        return pages_.Handle(request);
      }) {}

telemetry::ObserverSinks Daemon::Impl::Sinks() {
  telemetry::ObserverSinks sinks;
  sinks.log = &logger_;
  sinks.metrics = &metrics_;
  sinks.spans = exporter_ != nullptr
                    ? static_cast<telemetry::SpanSink*>(exporter_.get())
                    : &no_spans_;
  sinks.histories = &histories_;
  return sinks;
}

telemetry::ObserverOptions Daemon::Impl::ObserverOptionsOf() const {
  telemetry::ObserverOptions options;
  options.self = self_;
  options.wall_offset = absl::Now() - clock_.Now();
  options.sampled_fraction = settings().trace_sampled_fraction;
  return options;
}

LoopPorts Daemon::Impl::Ports() {
  LoopPorts ports;
  ports.target = &target_port_;
  ports.platform = &platform_port_;
  ports.peer = &peer_port_;
  ports.caller = &table_;
  return ports;
}

// -- Start and stop

Result<Done> Daemon::Impl::Start() {
  const Result<Done> linked = StartLinks();
  if (!IsOk(linked)) {
    return linked;
  }
  const Result<Done> admin = admin_.Start();
  if (!IsOk(admin)) {
    return admin;
  }
  const Result<Done> callers = callers_.Start();
  if (!IsOk(callers)) {
    return callers;
  }
  started_ = true;
  loop_.Start();
  platform_client_.Start();
  Log(telemetry::LogLevel::kInfo, "started");
  return Done{};
}

Result<Done> Daemon::Impl::StartLinks() {
  const Settings current = settings();
  const auto keys = security::ReadKeyFile(current.peer_key_file);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  Result<peer::Listener> listener = peer::Listener::Bind(current.instance_id);
  if (!IsOk(listener)) {
    return ErrorOf(listener);
  }
  peer::PeerLinks::Config config;
  config.self = self_;
  config.keys = PeerKeysOf(ValueOf(keys));
  links_ = std::make_unique<peer::PeerLinks>(
      std::move(config), std::move(std::get<peer::Listener>(listener)), &clock_,
      link_random_.get(),
      [this](core::Event event) { queue_.Post(std::move(event)); }, &link_log_);
  return Done{};
}

void Daemon::Impl::RequestStop() {
  Log(telemetry::LogLevel::kInfo, "stopping");
  loop_.RequestStop();
}

void Daemon::Impl::Stop() {
  if (started_) {
    // The loop still runs: it ends the requests that callers wait for.
    callers_.Stop();
    links_->Drain(kDrainLimit);
    Log(telemetry::LogLevel::kInfo, "stopped");
  }
  started_ = false;
  // Closing the queue lets the clients' threads go on and end.
  loop_.Stop();
  platform_client_.Stop();
  admin_.Stop();
}

// -- What other threads ask for

Settings Daemon::Impl::settings() const {
  absl::MutexLock lock(&mutex_);
  return settings_;
}

CallerLimits Daemon::Impl::caller_limits() const {
  absl::MutexLock lock(&mutex_);
  CallerLimits limits;
  limits.body_bytes = static_cast<size_t>(settings_.body_bytes);
  limits.service_body_bytes = static_cast<size_t>(settings_.service_body_bytes);
  limits.relay_bytes = static_cast<size_t>(settings_.relay_bytes);
  return limits;
}

FilterLimits Daemon::Impl::filter_limits() const {
  absl::MutexLock lock(&mutex_);
  return FilterLimits{settings_.default_deadline, settings_.max_deadline};
}

// The node's status. Without an answer from the loop it is empty and not ready,
// which is the truth for a health check.
core::NodeStatus Daemon::Impl::NodeStatusNow() {
  const peer::LinkTotals totals = links_->Totals();
  {
    absl::MutexLock lock(&mutex_);
    metrics_.CountPeerBytes(telemetry::Direction::kSent,
                            totals.bytes_sent - counted_sent_);
    metrics_.CountPeerBytes(telemetry::Direction::kReceived,
                            totals.bytes_received - counted_received_);
    counted_sent_ = totals.bytes_sent;
    counted_received_ = totals.bytes_received;
  }
  core::NodeStatus status =
      loop_.Status(kStatusLimit).value_or(core::NodeStatus());
  status.self = self_;
  status.ready = status.ready && loop_.ready();
  return status;
}

void Daemon::Impl::OnPlatformEvent(core::Event event) {
  targets_.Notice(event);
  queue_.Post(std::move(event));
}

Result<Reload> Daemon::Impl::ReloadSettings(const Settings& wanted) {
  Reload reload = ApplyReload(settings(), wanted);
  {
    absl::MutexLock lock(&mutex_);
    settings_ = reload.settings;
  }
  logger_.SetLevel(LogLevelOf(reload.settings));
  const auto keys = security::ReadKeyFile(reload.settings.peer_key_file);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  links_->SetKeys(PeerKeysOf(ValueOf(keys)));
  return reload;
}

void Daemon::Impl::Log(telemetry::LogLevel level,
                       telemetry::StaticText message) {
  telemetry::LogRecord record;
  record.level = level;
  record.time = absl::Now();
  record.message = message;
  record.peer = self_.id;
  logger_.Write(record);
}

Daemon::Daemon(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Daemon::~Daemon() = default;

Result<Done> Daemon::Start() {
  return impl_->Start();
}

std::string Daemon::callers_address() const {
  return impl_->callers_address();
}

std::string Daemon::admin_address() const {
  return impl_->admin_address();
}

Result<Reload> Daemon::ReloadSettings(const Settings& wanted) {
  return impl_->ReloadSettings(wanted);
}

void Daemon::RequestStop() {
  impl_->RequestStop();
}

bool Daemon::AwaitStopComplete(absl::Duration limit) {
  return impl_->AwaitStopComplete(limit);
}

void Daemon::Stop() {
  impl_->Stop();
}

}  // namespace umbertrail::daemon
