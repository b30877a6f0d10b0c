#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <docopt/docopt.h>

#include "absl/strings/str_join.h"
#include "platform/node_settings.h"
#include "umbertrail/daemon/daemon.h"
#include "umbertrail/front/front.h"

// The daemon's command line, signals and exit codes.

namespace {

using umbertrail::daemon::Daemon;
using umbertrail::daemon::SettingFault;
using umbertrail::daemon::Settings;

constexpr char kUsage[] =
    R"(umbertraild: one entry instance of umbertrail.

Usage:
  umbertraild --settings=FILE [--check]
  umbertraild front [--node=FILE] [--check] [--placement=MODE]
                    [--without=LIST]
  umbertraild --help
  umbertraild --version

Options:
  --settings=FILE  Settings in YAML.
  front            Serve on the users' platform.
  --node=FILE      The platform's settings of this machine; where it isn't
                   given, the environment names it.
  --placement=MODE How targets are chosen: predicted, or the baselines
                   least-connections and random [default: predicted].
  --without=LIST   Placement features to switch off, or on after a plus sign,
                   separated by commas:
                   output-estimates, remaining-work, urgency, fair-shares,
                   waiting-line, memory-plan, ordered-search [default: ].
  --check          Check the settings and the files that they name, then exit.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 after a graceful stop or a check without fault, 1 when a listener
could not be opened, 2 when the settings have a fault, 3 when a second signal
cut the graceful stop short.

Signals: SIGTERM and SIGINT stop gracefully, SIGHUP reads the settings again.
)";

constexpr int kExitListener = 1;
constexpr int kExitSettings = 2;
constexpr int kExitCutShort = 3;
// How long one wait for a signal lasts, in nanoseconds.
constexpr long kSignalWaitNanos = 100000000;

int ReportFaults(const std::vector<SettingFault>& faults) {
  for (const SettingFault& fault : faults) {
    std::fprintf(stderr, "%s\n", umbertrail::daemon::Describe(fault).c_str());
  }
  return kExitSettings;
}

// Blocks the signals in this thread and all that it starts; they are waited
// for instead. A closed connection must not end the process.
sigset_t BlockSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// The next signal, or 0 when none came for a while.
int AwaitSignal(const sigset_t& signals) {
  const timespec wait{0, kSignalWaitNanos};
  const int signal = sigtimedwait(&signals, nullptr, &wait);
  return signal > 0 ? signal : 0;
}

void Reload(const std::string& path, Daemon* daemon) {
  const auto loaded = umbertrail::daemon::LoadSettings(path);
  if (const auto* faults = std::get_if<std::vector<SettingFault>>(&loaded)) {
    std::fprintf(stderr, "reload refused, the former settings stay:\n");
    ReportFaults(*faults);
    return;
  }
  const auto result = daemon->ReloadSettings(std::get<Settings>(loaded));
  if (!umbertrail::IsOk(result)) {
    std::fprintf(stderr, "peer keys not reloaded: %s\n",
                 umbertrail::ErrorOf(result).message.c_str());
    return;
  }
  const auto& reload = umbertrail::ValueOf(result);
  std::fprintf(stderr, "reloaded: peer keys %s\n",
               absl::StrJoin(reload.applied, " ").c_str());
  if (!reload.need_restart.empty()) {
    std::fprintf(stderr, "need a restart: %s\n",
                 absl::StrJoin(reload.need_restart, " ").c_str());
  }
}

// Serves until a signal asks to stop.
void ServeUntilStopped(const sigset_t& signals,
                       const std::string& path,
                       Daemon* daemon) {
  while (true) {
    const int signal = AwaitSignal(signals);
    if (signal == SIGHUP) {
      Reload(path, daemon);
    } else if (signal != 0) {
      return;
    }
  }
}

// False when a second signal came first.
bool StopGracefully(const sigset_t& signals, Daemon* daemon) {
  daemon->RequestStop();
  while (!daemon->AwaitStopComplete(absl::ZeroDuration())) {
    const int signal = AwaitSignal(signals);
    if (signal == SIGTERM || signal == SIGINT) {
      return false;
    }
  }
  daemon->Stop();
  return true;
}

int Run(Settings settings, const std::string& path) {
  const sigset_t signals = BlockSignals();
  Daemon daemon(std::move(settings));
  const auto started = daemon.Start();
  if (!umbertrail::IsOk(started)) {
    std::fprintf(stderr, "%s\n", umbertrail::ErrorOf(started).message.c_str());
    return kExitListener;
  }
  ServeUntilStopped(signals, path, &daemon);
  if (!StopGracefully(signals, &daemon)) {
    std::_Exit(kExitCutShort);
  }
  return 0;
}

// Serves on the users' platform until a planned stop.
int RunFront(const std::string& path,
             bool only_check,
             const std::string& placement,
             const std::string& without) {
  const auto mode = umbertrail::dispatch::ParsePlacementMode(placement);
  if (!mode) {
    std::fprintf(stderr, "--placement=%s: no such mode\n", placement.c_str());
    return kExitSettings;
  }
  const auto features = umbertrail::dispatch::FeaturesWithout(without);
  if (!features) {
    std::fprintf(stderr, "--without=%s: no such feature\n", without.c_str());
    return kExitSettings;
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    std::fprintf(stderr, "%s: can't be read\n", path.c_str());
    return kExitSettings;
  }
  umbertrail::adapter::SettingsResult read =
      umbertrail::adapter::ReadSettings(text.str());
  for (const std::string& fault : read.faults) {
    std::fprintf(stderr, "%s: %s\n", path.c_str(), fault.c_str());
  }
  if (!read.faults.empty()) {
    return kExitSettings;
  }
  if (only_check) {
    std::printf("%s: no fault\n", path.c_str());
    return 0;
  }
  umbertrail::front::Front front(std::move(read.settings), path, STDOUT_FILENO,
                                 *mode, *features);
  const auto served = front.Run();
  if (!umbertrail::IsOk(served)) {
    std::fprintf(stderr, "%s\n", umbertrail::ErrorOf(served).message.c_str());
    return kExitListener;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, docopt::value> args = docopt::docopt(
      kUsage, {argv + 1, argv + argc}, /*help=*/true, UMBERTRAIL_VERSION);
  if (args.at("front").asBool()) {
    const docopt::value& node = args.at("--node");
    return RunFront(
        node.isString() ? node.asString() : umbertrail::adapter::SettingsPath(),
        args.at("--check").asBool(), args.at("--placement").asString(),
        args.at("--without").isString() ? args.at("--without").asString() : "");
  }
  const std::string path = args.at("--settings").asString();
  auto loaded = umbertrail::daemon::LoadSettings(path);
  if (const auto* faults = std::get_if<std::vector<SettingFault>>(&loaded)) {
    return ReportFaults(*faults);
  }
  auto& settings = std::get<Settings>(loaded);
  const auto faults = umbertrail::daemon::CheckFiles(settings, path);
  if (!faults.empty()) {
    return ReportFaults(faults);
  }
  if (args.at("--check").asBool()) {
    std::printf("%s: no fault\n", path.c_str());
    return 0;
  }
  return Run(std::move(settings), path);
}
