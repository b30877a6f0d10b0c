#include "fleet.h"

#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "net/raw_client.h"

namespace umbertrail::soak {
namespace {

// The bound on a planned stop in the settings below, and what a busy machine
// may add.
constexpr absl::Duration kGrace = absl::Seconds(8);
constexpr absl::Duration kGraceSlack = absl::Seconds(4);
constexpr absl::Duration kPause = absl::Milliseconds(20);
// Longer than the time in which instances stop using a draining target.
constexpr absl::Duration kDrains = absl::Seconds(3);

int FreePort() {
  const std::string address = testing::RefusingAddress();
  int port = 0;
  static_cast<void>(
      absl::SimpleAtoi(address.substr(address.find(':') + 1), &port));
  return port;
}

// Addresses that other runs on this machine don't use.
std::string LoopbackNet() {
  constexpr int kNets = 250;
  const int pid = static_cast<int>(getpid());
  return absl::StrCat("127.", 1 + pid % kNets, ".", pid / kNets % kNets, ".");
}

std::string Route(const std::string& name,
                  const std::string& kind,
                  int max_attempts) {
  return absl::StrCat(
      R"({"name":")", name, R"(","host":"a.example","prefix":"/)", name,
      R"(/","kind":")", kind, R"(","timeout_ms":6000,"target_latency_ms":500,)",
      R"("gap_aim_ms":500,"resumable":true,"service":"llm",)",
      R"("max_attempts":)", max_attempts, "}");
}

}  // namespace

Fleet::Fleet(std::string daemon,
             std::string work,
             int instances,
             int targets,
             Judge* judge)
    : daemon_(std::move(daemon)),
      work_(std::move(work)),
      judge_(judge),
      caller_port_(FreePort()),
      ready_port_(FreePort()),
      peer_port_(FreePort()) {
  Publish(true);
  targets_.resize(static_cast<size_t>(targets));
  for (size_t i = 0; i < targets_.size(); ++i) {
    StartTarget(i);
  }
  instances_.resize(static_cast<size_t>(instances));
  for (int i = 0; i < instances; ++i) {
    Instance& it = instances_[static_cast<size_t>(i)];
    it.ip = absl::StrCat(LoopbackNet(), i + 1);
    it.settings = absl::StrCat(work_, "/front-", i, ".yaml");
  }
  for (int i = 0; i < instances; ++i) {
    std::ofstream(instances_[static_cast<size_t>(i)].settings) << SettingsOf(i);
    Start(i);
  }
}

Fleet::~Fleet() {
  for (Instance& it : instances_) {
    it.process.reset();
  }
}

std::string Fleet::SettingsOf(int instance) const {
  const std::string& ip = instances_[static_cast<size_t>(instance)].ip;
  std::string seeds;
  for (int i = 0; i < instances() && i < 3; ++i) {
    absl::StrAppend(&seeds, "  - ", instances_[static_cast<size_t>(i)].ip, ":",
                    peer_port_, "\n");
  }
  return absl::StrCat(
      "node_name: front-", instance, "\nzone: east\nip: ", ip,
      "\nlisten:\n  front: ", ip, ":", caller_port_, "\n  ready: ", ip, ":",
      ready_port_, "\ninternal_ports: [", peer_port_, "]\nseeds:\n", seeds,
      "platform:\n  address: ", store_.address(),
      "\nbounds:\n  grace_s: 8\n  revoke_strict: true\n  revoke_ms: 5000\n"
      "  retry_budget_ratio: 0.2\n  budget_slack: 100\n  budget_window_s: "
      "10\n");
}

void Fleet::Start(int instance) {
  Instance& it = instances_[static_cast<size_t>(instance)];
  it.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{daemon_, "front", "--node=" + it.settings},
      absl::StrCat(work_, "/front-", instance, ".log"));
}

bool Fleet::IsUp(int instance) const {
  return instances_[static_cast<size_t>(instance)].process != nullptr;
}

std::string Fleet::AddressOf(int instance) const {
  return absl::StrCat(instances_[static_cast<size_t>(instance)].ip, ":",
                      caller_port_);
}

void Fleet::Kill(int instance) {
  instances_[static_cast<size_t>(instance)].process.reset();
}

void Fleet::Stop(int instance) {
  Instance& it = instances_[static_cast<size_t>(instance)];
  it.process->Signal(SIGTERM);
  const int status = it.process->Await(kGrace + kGraceSlack);
  if (status != 0) {
    judge_->Broken(absl::StrCat("front-", instance,
                                ": a planned stop ended with ", status));
  }
  it.process.reset();
}

void Fleet::Freeze(int instance, absl::Duration time) {
  const ChildProcess& process =
      *instances_[static_cast<size_t>(instance)].process;
  process.Signal(SIGSTOP);
  absl::SleepFor(time);
  process.Signal(SIGCONT);
}

void Fleet::StartTarget(size_t target) {
  targets_[target] =
      std::make_unique<StandInTarget>(absl::StrCat("t", ++lives_), judge_);
  PutTarget(*targets_[target], "ready");
}

void Fleet::PutTarget(const StandInTarget& target, const std::string& state) {
  store_.Put(absl::StrCat("servers/", target.id()),
             absl::StrCat(R"({"service":"llm","address":")", target.address(),
                          R"(","zone":"east","version":"v1","slots":64,)",
                          R"("state":")", state,
                          R"(","cold_remaining_ms":0,"sequence":1})"));
}

void Fleet::CrashTarget(int target) {
  auto& it = targets_[static_cast<size_t>(target)];
  const std::string id = it->id();
  it.reset();
  store_.Delete("servers/" + id);
  ended_.push_back(id);
  StartTarget(static_cast<size_t>(target));
}

void Fleet::ReplaceTarget(int target) {
  auto& it = targets_[static_cast<size_t>(target)];
  PutTarget(*it, "draining");
  leaving_.push_back(std::move(it));
  StartTarget(static_cast<size_t>(target));
  absl::SleepFor(kDrains);
  store_.Delete("servers/" + leaving_.back()->id());
  ended_.push_back(leaving_.back()->id());
}

void Fleet::WriteAgain(bool with_second_key) {
  Publish(with_second_key);
  for (const auto& target : targets_) {
    PutTarget(*target, "ready");
  }
  for (const std::string& id : ended_) {
    store_.Delete("servers/" + id);
  }
}

void Fleet::Publish(bool with_second_key) {
  const std::string second =
      with_second_key ? R"(,{"name":"crew","api_keys":["k2"],"priority":1})"
                      : "";
  store_.Put(
      "op/config",
      absl::StrCat(R"({"version":)", ++version_, R"(,"routes":[)",
                   Route("safe", "safe", 3), ",", Route("once", "unsafe", 1),
                   ",", Route("stream", "streaming", 3),
                   R"(],"services":[{"name":"llm","max_conns":200}],)",
                   R"("tenants":[{"name":"club","api_keys":["k1"],)",
                   R"("priority":1})", second, "]}"));
}

bool Fleet::AwaitReady(absl::Duration limit) const {
  const absl::Time until = absl::Now() + limit;
  for (const Instance& it : instances_) {
    const std::string address = absl::StrCat(it.ip, ":", ready_port_);
    while (true) {
      testing::RawClient client(address);
      client.SetReadLimit(absl::Seconds(1));
      client.Send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      if (absl::StartsWith(client.ReadAnswer(), "HTTP/1.1 200")) {
        break;
      }
      if (absl::Now() > until) {
        return false;
      }
      absl::SleepFor(kPause);
    }
  }
  return true;
}

}  // namespace umbertrail::soak
