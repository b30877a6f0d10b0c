#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "umbertrail/dispatch/block_trials.h"
#include "umbertrail/dispatch/crash_detector.h"
#include "umbertrail/dispatch/shards.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Duration kTick = absl::Milliseconds(10);
const absl::Duration kGossipInterval = absl::Milliseconds(400);
const absl::Duration kContact = absl::Seconds(3);
const absl::Duration kTargetRestart = absl::Seconds(3);
const absl::Duration kInstanceRestart = absl::Seconds(1);
constexpr double kDatagramLoss = 0.02;
// Other targets that an instance connects to when one can't be reached.
constexpr int kOthersTried = 3;

const Fingerprint kSystemPart(1);
const Fingerprint kBadPart(2);
const Fingerprint kSecondBadPart(3);

struct Troubles {
  double bad_per_s = 0;
  // Share of the instances killed each few seconds.
  double killed = 0;
  // Share of the targets that crash each few seconds for other reasons.
  double other_crashes = 0;
  // Share of the instances cut off from all targets each few seconds.
  double cut_off = 0;
  // Share of the instances to which all targets refuse new connections, while
  // open ones go on.
  double refused = 0;
  // Share of the answers that end with their connection.
  double unframed = 0;
  // Parts of each prompt that few other requests hold.
  int rare_parts = 0;
  // Bad requests hold another crashing part from this time on.
  absl::Duration second_part_after = absl::InfiniteDuration();
};

struct Outcome {
  int crashes = 0;
  // Bad requests that reached targets from `kContact` after the fifth crash on,
  // from instances that were up for so long.
  int late_sends = 0;
  int sound = 0;
  int sound_blocked = 0;
};

// A fleet in virtual time. Sound requests share their first part with the bad
// ones, and a second part with some of them.
class Fleet {
 public:
  Fleet(int size, const Troubles& troubles, unsigned seed)
      : troubles_(troubles),
        random_(seed),
        instances_(static_cast<size_t>(size)),
        targets_(static_cast<size_t>(2 * size + 4)) {}

  Outcome Run(absl::Duration length) {
    absl::Time next_trouble = kStart + absl::Seconds(3);
    for (now_ = kStart; now_ < kStart + length; now_ += kTick) {
      Deliver();
      Gossip();
      if (now_ >= next_trouble) {
        Trouble();
        next_trouble = now_ + absl::Seconds(2 + Below(4));
      }
      Arrive(4.5 * static_cast<double>(instances_.size()), false);
      if (now_ >= kStart + absl::Seconds(4)) {
        Arrive(troubles_.bad_per_s, true);
      }
      for (size_t i = 0; i < targets_.size(); ++i) {
        RunTarget(i);
      }
    }
    return outcome_;
  }

 private:
  struct Request {
    RequestContents contents;
    bool bad = false;
    size_t instance = 0;
    int attempt = 1;
    absl::Time ends_at;
  };
  struct Target {
    int64_t born_ms = 1;
    absl::Time up_at = absl::InfinitePast();
    std::vector<Request> running;
  };
  struct Instance {
    CrashDetector detector;
    CrashEvidence evidence;
    BlockTrials trials{BlockTrials::Start::kWithFleet, kStart};
    // When this instance first met a block.
    std::map<std::set<Fingerprint>, absl::Time> blocked_since;
    absl::Time started = kStart - kContact;
    absl::Time cut_until = absl::InfinitePast();
    absl::Time refused_until = absl::InfinitePast();
    absl::Time next_gossip = kStart;
    absl::Time forward_at = absl::InfiniteFuture();
  };
  struct Message {
    CrashEvidence::Report evidence;
    std::optional<absl::Time> last_trial;
  };

  int Below(int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(random_);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  static TargetId IdOf(size_t target) {
    return TargetId("t" + std::to_string(target));
  }
  bool SmallFleet() const {
    return AllInstancesAreHomes(static_cast<int>(instances_.size()));
  }

  void Arrive(double per_s, bool bad) {
    std::poisson_distribution<int> count(per_s * absl::ToDoubleSeconds(kTick));
    for (int i = count(random_); i > 0; --i) {
      Request request;
      request.bad = bad;
      // Few documents are asked for often, and many seldom.
      const auto document = static_cast<uint64_t>(
          Chance(0.5) ? Below(5)
                      : Below(20 * static_cast<int>(targets_.size())));
      request.contents = {Fingerprint(next_request_++),
                          {kSystemPart, Fingerprint(100 + document)}};
      for (int part = 0; part < troubles_.rare_parts; ++part) {
        request.contents.parts.emplace_back(next_part_++);
      }
      if (bad) {
        request.contents.parts.push_back(BadPart());
      }
      request.instance =
          static_cast<size_t>(Below(static_cast<int>(instances_.size())));
      outcome_.sound += bad ? 0 : 1;
      Send(request);
    }
  }

  Fingerprint BadPart() const {
    return now_ < kStart + troubles_.second_part_after ? kBadPart
                                                       : kSecondBadPart;
  }

  void Send(Request request) {
    Instance& instance = instances_[request.instance];
    if (instance.started > now_) {
      return;
    }
    const auto* block = instance.evidence.FindBlock(request.contents);
    if (block != nullptr && !(request.attempt == 1 &&
                              TakeTrial(request.instance, block->contents))) {
      outcome_.sound_blocked += request.bad ? 0 : 1;
      return;
    }
    const size_t target = AnyTarget();
    if (targets_[target].up_at > now_ || instance.cut_until > now_) {
      instance.detector.RecordUnreachable(IdOf(target), now_);
      Detect(request.instance);
      return;
    }
    if (request.bad && now_ > FifthCrash(request) + kContact &&
        now_ > instance.started + kContact) {
      ++outcome_.late_sends;
    }
    request.ends_at = now_ + absl::Milliseconds(60 + Below(100)) +
                      absl::Milliseconds(request.bad ? 100 : 500 + Below(2000));
    targets_[target].running.push_back(std::move(request));
  }

  // The first instance that is up tries for all.
  bool TakeTrial(size_t index, const std::set<Fingerprint>& contents) {
    Instance& instance = instances_[index];
    const absl::Time since =
        instance.blocked_since.try_emplace(contents, now_).first->second;
    for (size_t i = 0; i < index; ++i) {
      if (instances_[i].started <= now_) {
        return false;
      }
    }
    if (!instance.trials.MayTry(since, now_)) {
      return false;
    }
    instance.trials.RecordTrial(now_);
    Tell(index);
    return true;
  }

  void RunTarget(size_t index) {
    Target& target = targets_[index];
    bool crashes = false;
    for (auto it = target.running.begin(); it != target.running.end();) {
      Instance& instance = instances_[it->instance];
      if (now_ < it->ends_at) {
        ++it;
        continue;
      }
      if (it->bad) {
        if (!crashes) {
          ++outcome_.crashes;
          CountCrash(it->contents.parts.back());
        }
        crashes = true;
        ++it;
        continue;
      }
      if (Chance(troubles_.unframed)) {
        EndWithConnection(index, *it);
      } else {
        instance.evidence.RecordAnswer(it->contents, now_);
      }
      it = target.running.erase(it);
    }
    if (crashes) {
      Crash(index);
    }
  }

  void CountCrash(Fingerprint part) {
    if (++crashes_of_[part] == 5) {
      fifth_crash_[part] = now_;
    }
  }

  // Under the part that crashes targets, which is a bad request's last.
  absl::Time FifthCrash(const Request& request) const {
    const auto found = fifth_crash_.find(request.contents.parts.back());
    return found == fifth_crash_.end() ? absl::InfiniteFuture() : found->second;
  }

  void Crash(size_t index) {
    Target& target = targets_[index];
    target.up_at = now_ + kTargetRestart;
    for (const Request& request : target.running) {
      Break(index, request);
    }
    const std::vector<Request> broken = std::move(target.running);
    target.running.clear();
    ++target.born_ms;
    Retry(broken);
  }

  void Break(size_t index, const Request& request) {
    instances_[request.instance].detector.RecordBrokenConnection(
        IdOf(index), targets_[index].born_ms, request.contents, now_);
    Connect(request.instance, index);
  }

  // Opens a new connection; if that fails, to others.
  bool Connect(size_t from, size_t index) {
    Instance& instance = instances_[from];
    const bool has_links =
        instance.cut_until <= now_ && instance.refused_until <= now_;
    const auto try_target = [&](size_t target) {
      const bool connected = has_links && targets_[target].up_at <= now_;
      if (connected) {
        instance.detector.RecordConnected(IdOf(target), now_);
      } else {
        instance.detector.RecordUnreachable(IdOf(target), now_);
      }
      return connected;
    };
    const bool connected = try_target(index);
    for (int i = 0; !connected && i < kOthersTried; ++i) {
      if (try_target(AnyTarget())) {
        break;
      }
    }
    Detect(from);
    return connected;
  }

  size_t AnyTarget() {
    return static_cast<size_t>(Below(static_cast<int>(targets_.size())));
  }

  // Whether the answer was whole shows a new connection to the target.
  void EndWithConnection(size_t index, const Request& request) {
    Instance& instance = instances_[request.instance];
    instance.detector.RecordBrokenConnection(
        IdOf(index), targets_[index].born_ms, request.contents, now_);
    if (Connect(request.instance, index)) {
      instance.evidence.RecordAnswer(request.contents, now_);
    }
  }

  void Retry(const std::vector<Request>& broken) {
    for (Request request : broken) {
      if (request.attempt == 1) {
        request.attempt = 2;
        Send(request);
      }
    }
  }

  void Detect(size_t index) {
    Instance& instance = instances_[index];
    bool news = false;
    for (const TargetCrash& crash : instance.detector.TakeCrashes(now_)) {
      news = instance.evidence.Merge(crash, now_) || news;
    }
    if (news) {
      Tell(index);
    }
  }

  Message MessageOf(size_t index) {
    return {instances_[index].evidence.ToTell(now_),
            instances_[index].trials.last()};
  }

  void Tell(size_t index) {
    const Message message = MessageOf(index);
    const int partners = SmallFleet() ? static_cast<int>(instances_.size()) : 3;
    for (int i = 0; i < partners; ++i) {
      const size_t to =
          SmallFleet()
              ? static_cast<size_t>(i)
              : static_cast<size_t>(Below(static_cast<int>(instances_.size())));
      if (to != index && !Chance(kDatagramLoss)) {
        wire_.push_back({to, message});
      }
    }
  }

  void Deliver() {
    std::vector<std::pair<size_t, Message>> arrived;
    arrived.swap(wire_);
    for (const auto& [to, message] : arrived) {
      Instance& instance = instances_[to];
      if (instance.started > now_) {
        continue;
      }
      if (message.last_trial) {
        instance.trials.Merge(*message.last_trial);
      }
      for (const AnsweredContent& answer : message.evidence.answers) {
        instance.evidence.MergeAnswer(answer);
      }
      bool news = false;
      for (const TargetCrash& crash : message.evidence.crashes) {
        news = instance.evidence.Merge(crash, now_) || news;
      }
      if (news && !SmallFleet()) {
        instance.forward_at =
            std::min(instance.forward_at, now_ + absl::Milliseconds(100));
      }
    }
  }

  void Gossip() {
    for (size_t i = 0; i < instances_.size(); ++i) {
      Instance& instance = instances_[i];
      if (now_ >= instance.next_gossip) {
        instance.next_gossip = now_ + kGossipInterval;
        instance.evidence.RemoveExpired(now_);
        Tell(i);
      } else if (now_ >= instance.forward_at) {
        instance.forward_at = absl::InfiniteFuture();
        Tell(i);
      }
    }
  }

  void Trouble() {
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (targets_[i].up_at <= now_ && Chance(troubles_.other_crashes)) {
        Crash(i);
      }
    }
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (Chance(troubles_.killed)) {
        DropRequestsOf(i);
        instances_[i] = Instance();
        instances_[i].started = now_ + kInstanceRestart;
        instances_[i].next_gossip = instances_[i].started;
        instances_[i].trials =
            BlockTrials(BlockTrials::Start::kLater, instances_[i].started);
      } else if (Chance(troubles_.cut_off)) {
        instances_[i].cut_until = now_ + absl::Seconds(4);
        for (const auto& [target, request] : DropRequestsOf(i)) {
          Break(target, request);
        }
      } else if (Chance(troubles_.refused)) {
        instances_[i].refused_until = now_ + absl::Seconds(4);
      }
    }
  }

  std::vector<std::pair<size_t, Request>> DropRequestsOf(size_t instance) {
    std::vector<std::pair<size_t, Request>> dropped;
    for (size_t i = 0; i < targets_.size(); ++i) {
      std::vector<Request>& running = targets_[i].running;
      const auto kept = std::stable_partition(
          running.begin(), running.end(),
          [&](const Request& it) { return it.instance != instance; });
      for (auto it = kept; it != running.end(); ++it) {
        dropped.emplace_back(i, *it);
      }
      running.erase(kept, running.end());
    }
    return dropped;
  }

  Troubles troubles_;
  std::mt19937 random_;
  std::vector<Instance> instances_;
  std::vector<Target> targets_;
  std::vector<std::pair<size_t, Message>> wire_;
  absl::Time now_;
  std::map<Fingerprint, int> crashes_of_;
  std::map<Fingerprint, absl::Time> fifth_crash_;
  uint64_t next_request_ = 1000000;
  uint64_t next_part_ = uint64_t{1} << 32;
  Outcome outcome_;
};

// What the contract bears from then on.
constexpr int kMostLateSends = 3;

// Plays fleets of up to `largest` instances.
void CheckPlays(const Troubles& troubles,
                int largest,
                absl::Duration length = absl::Seconds(20)) {
  const auto [size, seeds] = GENERATE(
      std::make_pair(7, 10u), std::make_pair(59, 1u), std::make_pair(300, 1u));
  for (unsigned seed = 1; size <= largest && seed <= seeds; ++seed) {
    const Outcome outcome = Fleet(size, troubles, seed).Run(length);
    INFO(size << " instances, seed " << seed << ": " << outcome.crashes
              << " crashes, " << outcome.sound << " sound requests");
    CHECK(outcome.late_sends <= kMostLateSends);
    CHECK(outcome.sound_blocked <= outcome.sound / 200);
  }
}

TEST_CASE("a fleet stops sending a part that crashes targets") {
  Troubles troubles;
  troubles.bad_per_s = GENERATE(0.3, 3.0, 20.0);
  CheckPlays(troubles, 300);
}

TEST_CASE("restarted instances don't send a part that crashes targets") {
  Troubles troubles;
  troubles.bad_per_s = GENERATE(0.3, 3.0, 20.0);
  troubles.killed = 0.3;
  CheckPlays(troubles, 300);
}

TEST_CASE("restarted instances don't try a part that others have tried") {
  Troubles troubles;
  troubles.bad_per_s = 20;
  troubles.killed = 0.3;
  CheckPlays(troubles, 59, absl::Seconds(75));
}

TEST_CASE("a crashing part is found among many that few requests hold") {
  Troubles troubles;
  troubles.bad_per_s = 3;
  troubles.rare_parts = 30;
  CheckPlays(troubles, 59);
}

TEST_CASE("a part stays blocked while targets crash for other reasons") {
  Troubles troubles;
  troubles.bad_per_s = GENERATE(3.0, 20.0);
  troubles.other_crashes = 0.2;
  troubles.killed = 0.1;
  CheckPlays(troubles, 59, absl::Seconds(40));
}

TEST_CASE("a crashing part is found under all troubles together") {
  Troubles troubles;
  troubles.bad_per_s = GENERATE(0.3, 3.0, 20.0);
  troubles.other_crashes = 0.1;
  troubles.killed = 0.2;
  troubles.cut_off = 0.2;
  troubles.refused = 0.1;
  troubles.unframed = 0.2;
  CheckPlays(troubles, 59, absl::Seconds(40));
}

TEST_CASE("a second crashing part is found while the first is blocked") {
  Troubles troubles;
  troubles.bad_per_s = 20;
  troubles.rare_parts = 30;
  troubles.second_part_after = absl::Seconds(12);
  CheckPlays(troubles, 59, absl::Seconds(25));
}

TEST_CASE("no part is blocked where a third of the targets crash anyway") {
  Troubles troubles;
  troubles.other_crashes = 0.33;
  CheckPlays(troubles, 59);
}

TEST_CASE("instances without links to targets don't get parts blocked") {
  Troubles troubles;
  troubles.cut_off = GENERATE(0.3, 0.9);
  CheckPlays(troubles, 300);
}

TEST_CASE("a crashing part is found while instances lose their links") {
  Troubles troubles;
  troubles.bad_per_s = 3;
  troubles.cut_off = 0.3;
  troubles.other_crashes = 0.1;
  CheckPlays(troubles, 59);
}

TEST_CASE("answers that end with their connection don't get parts blocked") {
  Troubles troubles;
  troubles.unframed = 1;
  troubles.other_crashes = 0.33;
  CheckPlays(troubles, 59);
}

TEST_CASE("refused new connections don't get parts blocked") {
  Troubles troubles;
  troubles.unframed = GENERATE(0.1, 1.0);
  troubles.refused = 0.3;
  CheckPlays(troubles, 59);
}

TEST_CASE("a crashing part is found where answers end with their connection") {
  Troubles troubles;
  troubles.bad_per_s = GENERATE(0.3, 3.0);
  troubles.unframed = 1;
  CheckPlays(troubles, 59);
}

}  // namespace
}  // namespace umbertrail::dispatch
