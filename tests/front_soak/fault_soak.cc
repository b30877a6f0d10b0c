// Real instances of umbertraild under real faults, and callers that judge every
// answer.

#include <docopt.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "fleet.h"
#include "judge.h"
#include "known_red.h"
#include "net/raw_client.h"

namespace umbertrail::soak {
namespace {

constexpr char kUsage[] =
    R"(Plays faults on real instances of umbertraild front.

Usage:
  fault_soak DAEMON [--instances=N] [--targets=N] [--callers=N]
             [--seconds=S] [--seed=SEED] [--calm | --drills]
             [--keep=DIR] [--known-red=FILE]
  fault_soak --help

Options:
  --instances=N  How many instances, 1 to 50 [default: 4].
  --targets=N    How many targets [default: 4].
  --callers=N    Callers, each with one request at a time [default: 24].
  --seconds=S    How long faults are played [default: 30].
  --seed=SEED    Which faults, and when [default: 1].
  --calm         No faults.
  --drills       Only restorations of the store, with instances killed.
  --keep=DIR     Settings and logs go there and stay.
  --known-red=FILE  Passes over the seed if a line of the file names it.

Exit status: 0 all promises held; 1 one was broken; 2 usage.
)";

using Random = std::mt19937_64;

constexpr absl::Duration kStartLimit = absl::Seconds(20);
constexpr absl::Duration kRequestLimit = absl::Seconds(6);
// Beyond any answer, also of an instance that was frozen meanwhile.
constexpr absl::Duration kReadLimit = absl::Seconds(25);
// Faults that break answers are over by this much after they end.
constexpr absl::Duration kAftermath = absl::Seconds(3);
constexpr absl::Duration kCalmEnd = absl::Seconds(4);
constexpr absl::Duration kBetweenRequests = absl::Milliseconds(20);
// A configuration is in force everywhere within this.
constexpr absl::Duration kAllKnow = absl::Milliseconds(1500);
// Bound on how long a key is honoured after its revocation, with a slack for a
// busy machine.
constexpr absl::Duration kRevoked = absl::Milliseconds(5500);

int Below(Random& random, int n) {
  return static_cast<int>(random() % static_cast<uint64_t>(n));
}

absl::Duration Between(Random& random, int from_ms, int to_ms) {
  return absl::Milliseconds(from_ms + Below(random, to_ms - from_ms));
}

std::string RequestText(const Asked& asked, bool second_account) {
  const char* path = asked.kind == Kind::kSafe     ? "/safe/x"
                     : asked.kind == Kind::kUnsafe ? "/once/x"
                                                   : "/stream/x";
  return absl::StrCat(
      "POST ", path, " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ", asked.id,
      "\r\nX-Deadline-Ms: ", absl::ToInt64Milliseconds(asked.limit),
      "\r\nAuthorization: Token ", second_account ? "k2" : "k1",
      "\r\nContent-Length: ", asked.id.size(), "\r\n\r\n",
      // One body for all would soon be taken for what crashes targets.
      asked.id);
}

// Sends one request after another to instances at random until `stop`.
class Caller {
 public:
  Caller(int number, uint64_t seed, const Fleet& fleet, Judge* judge)
      : number_(number), random_(seed), fleet_(fleet), judge_(judge) {}

  void Run(const std::atomic<bool>& stop) {
    for (int n = 0; !stop; ++n) {
      SendOne(absl::StrCat("c", number_, "-", n));
      absl::SleepFor(kBetweenRequests);
    }
  }

 private:
  void SendOne(const std::string& id) {
    const int instance = Below(random_, fleet_.instances());
    Asked asked;
    asked.id = id;
    const int kind = Below(random_, 4);
    asked.kind = kind == 0   ? Kind::kSafe
                 : kind == 1 ? Kind::kUnsafe
                             : Kind::kStream;
    asked.instance = fleet_.AddressOf(instance);
    asked.limit = kRequestLimit;
    asked.sent_at = absl::Now();
    testing::RawClient client(asked.instance);
    if (!client.connected()) {
      // Nobody is there: the caller turns to another.
      return;
    }
    client.SetReadLimit(kReadLimit);
    client.Send(RequestText(asked, Below(random_, 4) == 0));
    asked.answer = client.ReadAnswer();
    asked.ended_at = absl::Now();
    judge_->Ended(asked);
  }

  const int number_;
  Random random_;
  const Fleet& fleet_;
  Judge* judge_;
};

// Plays one fault after another.
class Faults {
 public:
  Faults(uint64_t seed, Fleet* fleet, Judge* judge)
      : random_(seed), fleet_(*fleet), judge_(*judge) {}

  // With `only_drills`, each fault is a drill of the store with instances that
  // are killed meanwhile.
  void Run(absl::Duration time, bool only_drills) {
    const absl::Time until = absl::Now() + time;
    while (absl::Now() < until) {
      if (only_drills) {
        RestartInDrill();
      } else {
        PlayOne();
      }
      absl::SleepFor(Between(random_, 100, 900));
    }
  }

  // All that was broken is whole again.
  void Heal() {
    fleet_.store().SetUnresponsive(false);
    Grant();
    for (int i = 0; i < fleet_.instances(); ++i) {
      if (!fleet_.IsUp(i)) {
        fleet_.Start(i);
      }
    }
  }

 private:
  void PlayOne() {
    const int instance = Below(random_, fleet_.instances());
    const int target = Below(random_, fleet_.targets());
    const int what = Below(random_, 10);
    switch (what) {
      case 0: {
        const absl::Duration away = Between(random_, 200, 2500);
        Break(away);
        fleet_.Kill(instance);
        absl::SleepFor(away);
        fleet_.Start(instance);
        return;
      }
      case 1:
        // Planned: nothing may break.
        fleet_.Stop(instance);
        fleet_.Start(instance);
        return;
      case 2: {
        const absl::Duration time = Between(random_, 100, 4000);
        Break(time + kRequestLimit);
        fleet_.Freeze(instance, time);
        return;
      }
      case 3:
        Break(absl::ZeroDuration());
        fleet_.CrashTarget(target);
        return;
      case 4: {
        const absl::Duration time = Between(random_, 200, 4000);
        Break(time);
        fleet_.target(target).SilenceUntil(absl::Now() + time);
        return;
      }
      case 5: {
        const absl::Duration time = Between(random_, 100, 2000);
        Break(time);
        fleet_.target(target).ResetUntil(absl::Now() + time);
        return;
      }
      case 6:
        // Planned: nothing may break.
        fleet_.ReplaceTarget(target);
        return;
      case 7:
        if (Below(random_, 2) == 0) {
          fleet_.store().DropHistory();
          return;
        }
        fleet_.store().SetUnresponsive(true);
        absl::SleepFor(Between(random_, 300, 7000));
        fleet_.store().SetUnresponsive(false);
        return;
      case 8:
        DrillStore(target);
        return;
      default:
        if (granted_) {
          Revoke();
        } else {
          Grant();
        }
    }
  }

  // The store is away for a moment and comes back from a copy that lacks what
  // was written last: a revocation or a grant, and a target's end and start.
  // Planned: nothing may break, and no key that was taken away comes back.
  void DrillStore(int target) {
    fleet_.store().SaveSnapshot();
    if (Below(random_, 2) == 0) {
      fleet_.ReplaceTarget(target);
    }
    if (granted_) {
      Revoke();
    }
    absl::SleepFor(Between(random_, 100, 2000));
    fleet_.store().SetUnresponsive(true);
    absl::SleepFor(Between(random_, 100, 2500));
    fleet_.store().RestoreSnapshot();
    fleet_.store().SetUnresponsive(false);
    absl::SleepFor(Between(random_, 0, 1200));
    fleet_.WriteAgain(granted_);
  }

  // A key is taken away, the store goes away, and some instances or all are
  // killed. It comes back from a copy that has the key, and the operator writes
  // again later: much later if an instance remembers. No request runs with it.
  void RestartInDrill() {
    if (!granted_) {
      Grant();
      absl::SleepFor(kAllKnow);
    }
    fleet_.store().SaveSnapshot();
    Revoke();
    absl::SleepFor(kAllKnow + Between(random_, 0, 1000));
    fleet_.store().SetUnresponsive(true);
    std::vector<int> killed(static_cast<size_t>(fleet_.instances()));
    std::iota(killed.begin(), killed.end(), 0);
    std::shuffle(killed.begin(), killed.end(), random_);
    const int count = 1 + Below(random_, fleet_.instances());
    const bool all = count == fleet_.instances();
    killed.resize(static_cast<size_t>(count));
    const absl::Duration away = Between(random_, 200, 2000);
    Break(away + kRequestLimit);
    for (const int instance : killed) {
      fleet_.Kill(instance);
    }
    absl::SleepFor(away);
    for (const int instance : killed) {
      fleet_.Start(instance);
    }
    absl::SleepFor(Between(random_, 500, 1500));
    fleet_.store().RestoreSnapshot();
    fleet_.store().SetUnresponsive(false);
    absl::SleepFor(all ? Between(random_, 500, 1500)
                       : Between(random_, 2000, 5000));
    fleet_.WriteAgain(granted_);
  }

  void Break(absl::Duration time) {
    judge_.NoteBreak(absl::Now() + time + kAftermath);
  }

  void Revoke() {
    fleet_.Publish(false);
    judge_.NoteRevoked("crew", absl::Now() + kRevoked);
    granted_ = false;
  }

  void Grant() {
    judge_.NoteGranted("crew");
    fleet_.Publish(true);
    granted_ = true;
  }

  Random random_;
  Fleet& fleet_;
  Judge& judge_;
  bool granted_ = true;
};

struct Plan {
  std::string daemon;
  std::string work;
  int instances = 0;
  int targets = 0;
  int callers = 0;
  absl::Duration time;
  uint64_t seed = 0;
  bool calm = false;
  bool only_drills = false;
};

// Returns whether all promises held.
bool Play(const Plan& plan) {
  Judge judge;
  Fleet fleet(plan.daemon, plan.work, plan.instances, plan.targets, &judge);
  if (!fleet.AwaitReady(kStartLimit)) {
    std::printf("the instances were not ready in time\n");
    return false;
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < plan.callers; ++i) {
    const uint64_t seed = plan.seed * 1000 + static_cast<uint64_t>(i);
    callers.emplace_back([&fleet, &judge, &stop, i, seed] {
      Caller(i, seed, fleet, &judge).Run(stop);
    });
  }
  Faults faults(plan.seed, &fleet, &judge);
  if (plan.calm) {
    absl::SleepFor(plan.time);
  } else {
    faults.Run(plan.time, plan.only_drills);
    faults.Heal();
    if (!fleet.AwaitReady(kStartLimit)) {
      judge.Broken("not ready after all faults were over");
    }
  }
  const int whole = judge.counts()["whole"];
  absl::SleepFor(kCalmEnd);
  if (judge.counts()["whole"] == whole) {
    judge.Broken("nothing was served after all faults were over");
  }
  stop = true;
  for (std::thread& it : callers) {
    it.join();
  }
  for (int i = 0; i < fleet.instances(); ++i) {
    fleet.Stop(i);
  }
  for (const auto& [name, n] : judge.counts()) {
    std::printf("%8d %s\n", n, name.c_str());
  }
  const std::vector<std::string> broken = judge.faults();
  for (const std::string& it : broken) {
    std::printf("BROKEN %s\n", it.c_str());
  }
  std::printf("%s\n", broken.empty() ? "all held" : "promises were broken");
  return broken.empty();
}

int Main(int argc, char** argv) {
  const auto args =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "fault_soak");
  Plan plan;
  plan.daemon = args.at("DAEMON").asString();
  plan.instances = static_cast<int>(args.at("--instances").asLong());
  plan.targets = static_cast<int>(args.at("--targets").asLong());
  plan.callers = static_cast<int>(args.at("--callers").asLong());
  plan.time = absl::Seconds(args.at("--seconds").asLong());
  plan.seed = static_cast<uint64_t>(args.at("--seed").asLong());
  plan.calm = args.at("--calm").asBool();
  plan.only_drills = args.at("--drills").asBool();
  const docopt::value& known_red = args.at("--known-red");
  if (known_red.isString() &&
      testing::KnownRedSeeds(known_red.asString(), "fault_soak")
              .count(plan.seed) > 0) {
    std::cout << "known red, passed over: seed " << plan.seed << "\n";
    return 0;
  }
  const bool keep = args.at("--keep").isString();
  plan.work = keep ? args.at("--keep").asString()
                   : (std::filesystem::temp_directory_path() /
                      absl::StrCat("fault-soak-", getpid()))
                         .string();
  std::filesystem::create_directories(plan.work);
  const bool held = Play(plan);
  if (!keep) {
    std::filesystem::remove_all(plan.work);
  }
  return held ? 0 : 1;
}

}  // namespace
}  // namespace umbertrail::soak

int main(int argc, char** argv) {
  return umbertrail::soak::Main(argc, argv);
}
