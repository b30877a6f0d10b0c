#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

// The store is away for a moment and comes back from a copy that has a key
// which was taken away since. Some instances know, others don't.

namespace umbertrail::front {
namespace {

using testing::FakeConnection;

constexpr int kInstances = 3;
constexpr char kKept[] = "k1";
constexpr char kTakenAway[] = "k2";

// The sample configuration with those keys.
std::string ConfigWithKeys(int version, const std::string& keys) {
  return absl::StrReplaceAll(
      testing::SampleConfig(version),
      {{R"("api_keys":["k1"])", absl::StrCat(R"("api_keys":[)", keys, "]")}});
}

std::string ConfigWithBothKeys() {
  return ConfigWithKeys(5, R"("k1","k2")");
}

std::string ConfigWithoutTheKey() {
  return ConfigWithKeys(9, R"("k1")");
}

// Three instances that know each other. The last one reads a store of its own,
// so that it alone can be cut off.
class RestoredFleet {
 public:
  RestoredFleet()
      : target_([this](FakeConnection& connection) {
          testing::ServeRequests(connection, [&](const std::string& request) {
            Note(testing::HeaderOf(request, "X-Attempt-Id"));
            connection.Write(testing::WholeAnswer(request, "done"));
            return true;
          });
        }) {
    ForEachStore([&](testing::StandInStore& store) {
      store.Put("op/config", ConfigWithBothKeys());
      store.Put("servers/t0", testing::ServerEntry(target_.address(), "ready"));
      store.SaveSnapshot();
    });
    const adapter::InstanceSettings common = testing::LoopbackSettings(store_);
    for (int i = 0; i < kInstances; ++i) {
      settings_.push_back(SettingsOf(i, common));
      fronts_.push_back(std::make_unique<testing::RunningFront>(settings_[i]));
    }
    for (const auto& front : fronts_) {
      front->AwaitReady();
    }
    // All have heard of each other by gossip.
    absl::SleepFor(absl::Seconds(1));
  }

  int last() const { return kInstances - 1; }
  void SetAway(bool away) {
    ForEachStore(
        [&](testing::StandInStore& store) { store.SetUnresponsive(away); });
  }
  void CutLastOff() { last_store_.SetUnresponsive(true); }
  void TakeKeyAway() {
    ForEachStore([](testing::StandInStore& store) {
      store.Put("op/config", ConfigWithoutTheKey());
    });
  }
  // The store comes back from the copy that has the key.
  void ReturnFromCopy() {
    ForEachStore([](testing::StandInStore& store) { store.RestoreSnapshot(); });
    SetAway(false);
  }
  void Kill(int instance) { fronts_[instance].reset(); }
  void Restart(int instance) {
    settings_[instance].first_start = false;
    fronts_[instance] =
        std::make_unique<testing::RunningFront>(settings_[instance]);
    fronts_[instance]->AwaitListening();
  }

  // The status of a request with that key.
  std::string Ask(int instance, const std::string& key) {
    const std::string id = absl::StrCat(key, "-", asked_++);
    testing::RawClient client(fronts_[instance]->callers());
    client.Send(testing::PlatformRequest("/safe/x", id, key));
    const std::string answer = client.ReadAnswer();
    return answer.substr(0, answer.find('\r'));
  }
  void AwaitStatus(int instance,
                   const std::string& key,
                   const std::string& status) {
    while (!absl::StrContains(Ask(instance, key), status)) {
      absl::SleepFor(absl::Milliseconds(5));
    }
  }
  // Requests with a key that the target ran.
  int Runs(const std::string& key) {
    absl::MutexLock lock(&mutex_);
    int runs = 0;
    for (const std::string& id : ran_) {
      runs += absl::StartsWith(id, key) ? 1 : 0;
    }
    return runs;
  }

 private:
  template <typename Action>
  void ForEachStore(Action action) {
    action(store_);
    action(last_store_);
  }

  adapter::InstanceSettings SettingsOf(
      int instance,
      const adapter::InstanceSettings& common) const {
    adapter::InstanceSettings settings = common;
    settings.name = InstanceId(absl::StrCat("front-", instance + 1));
    settings.ip = IpOf(instance);
    settings.control_address = "127.0.0.1:0";
    settings.seeds.clear();
    for (int seed = 0; seed < kInstances; ++seed) {
      settings.seeds.push_back(absl::StrCat(IpOf(seed), ":1"));
    }
    for (std::string* address :
         {&settings.callers_address, &settings.readiness_address,
          &settings.control_address}) {
      absl::StrReplaceAll({{"127.0.0.1", settings.ip}}, address);
    }
    if (instance == last()) {
      settings.store_address = last_store_.address();
    }
    return settings;
  }
  static std::string IpOf(int instance) {
    return absl::StrCat("127.0.0.", instance + 1);
  }
  void Note(const std::string& id) {
    absl::MutexLock lock(&mutex_);
    ran_.insert(id);
  }

  absl::Mutex mutex_;
  std::set<std::string> ran_ ABSL_GUARDED_BY(mutex_);
  int asked_ = 0;
  testing::StandInStore store_;
  testing::StandInStore last_store_;
  testing::FakeServer target_;
  std::vector<adapter::InstanceSettings> settings_;
  std::vector<std::unique_ptr<testing::RunningFront>> fronts_;
};

constexpr int kTries = 40;
// When the operator writes again, after the store's return.
constexpr absl::Duration kOperatorDelay = absl::Milliseconds(1500);
constexpr absl::Duration kTryInterval = absl::Milliseconds(20);

// Asks an instance with both keys in turn. Returns how many requests with the
// kept key were served; one that wasn't must have been refused with 503.
int AskWithBothKeys(RestoredFleet* fleet, int instance) {
  int served = 0;
  for (int i = 0; i < kTries; ++i) {
    (void)fleet->Ask(instance, kTakenAway);
    const std::string status = fleet->Ask(instance, kKept);
    const bool is_served = absl::StrContains(status, "200");
    if (!is_served) {
      CHECK_THAT(status, Catch::Contains("503"));
    }
    served += is_served ? 1 : 0;
    absl::SleepFor(kTryInterval);
  }
  return served;
}

// Takes the key away and waits until all instances refuse it. Returns how many
// requests with it have run.
int TakeKeyAwayEverywhere(RestoredFleet* fleet) {
  fleet->TakeKeyAway();
  for (int i = 0; i < kInstances; ++i) {
    fleet->AwaitStatus(i, kTakenAway, "401");
  }
  return fleet->Runs(kTakenAway);
}

// An instance without memory took the copy's configuration for the one in
// force, though other instances knew a later one: it ran requests with a key
// that had been taken away.
TEST_CASE("a key taken away stays so at instances restarted in a drill") {
  const int restarted = GENERATE(1, 2);
  RestoredFleet fleet;
  const int before = TakeKeyAwayEverywhere(&fleet);
  fleet.SetAway(true);
  for (int i = 0; i < restarted; ++i) {
    fleet.Kill(fleet.last() - i);
  }
  for (int i = 0; i < restarted; ++i) {
    fleet.Restart(fleet.last() - i);
  }
  fleet.ReturnFromCopy();
  // Routes and keys that the later configuration has, too, are served before
  // the operator writes it again.
  fleet.AwaitStatus(fleet.last(), kKept, "200");
  CHECK(AskWithBothKeys(&fleet, fleet.last()) == kTries);
  CHECK(fleet.Runs(kTakenAway) == before);
  fleet.TakeKeyAway();
  fleet.AwaitStatus(fleet.last(), kTakenAway, "401");
  fleet.AwaitStatus(fleet.last(), kKept, "200");
  CHECK(fleet.Runs(kTakenAway) == before);
}

// None is left that knows the later configuration. What instances can tell is
// that they saw the store away.
TEST_CASE("keys wait for the operator when all instances restart in a drill") {
  RestoredFleet fleet;
  const int before = TakeKeyAwayEverywhere(&fleet);
  fleet.SetAway(true);
  for (int i = 0; i < kInstances; ++i) {
    fleet.Kill(i);
  }
  for (int i = 0; i < kInstances; ++i) {
    fleet.Restart(i);
  }
  fleet.ReturnFromCopy();
  const absl::Time returned = absl::Now();
  for (int i = 0; absl::Now() < returned + kOperatorDelay; ++i) {
    CHECK_THAT(fleet.Ask(i % kInstances, kTakenAway), Catch::Contains("503"));
    absl::SleepFor(kTryInterval);
  }
  fleet.TakeKeyAway();
  for (int i = 0; i < kInstances; ++i) {
    fleet.AwaitStatus(i, kKept, "200");
    CHECK_THAT(fleet.Ask(i, kTakenAway), Catch::Contains("401"));
  }
  CHECK(fleet.Runs(kTakenAway) == before);
}

// The same without a restart: the instance never heard of the later
// configuration, and the copy that it reads confirmed the one it had.
TEST_CASE("a key taken away while an instance was cut off stays so") {
  RestoredFleet fleet;
  fleet.CutLastOff();
  fleet.TakeKeyAway();
  for (int i = 0; i < fleet.last(); ++i) {
    fleet.AwaitStatus(i, kTakenAway, "401");
  }
  fleet.SetAway(true);
  fleet.ReturnFromCopy();
  // From here on the copy is read, and the other instances' word has arrived.
  absl::SleepFor(kOperatorDelay);
  const int before = fleet.Runs(kTakenAway);
  CHECK(AskWithBothKeys(&fleet, fleet.last()) == kTries);
  CHECK(fleet.Runs(kTakenAway) == before);
  fleet.TakeKeyAway();
  fleet.AwaitStatus(fleet.last(), kTakenAway, "401");
}

}  // namespace
}  // namespace umbertrail::front
