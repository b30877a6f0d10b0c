#ifndef UMBERTRAIL_TESTS_CORE_FLEET_SUPPORT_H_
#define UMBERTRAIL_TESTS_CORE_FLEET_SUPPORT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "umbertrail/core/fleet/fleet.h"
#include "umbertrail/manifest.h"

// Small fleets for tests: several Fleet objects in virtual time, a stand-in for
// the configuration service, and links that can be cut.

namespace umbertrail::core {

inline const absl::Time kStart = absl::FromUnixSeconds(1000000);

inline DataCentreId DataCentreOf(int i) {
  return DataCentreId(absl::StrCat("dc-", i % 3));
}

// Three data centres of one region, one model on `targets` engines each.
inline manifest::Manifest MakeManifest(uint64_t revision, int targets = 2) {
  manifest::Manifest m;
  m.revision = ManifestRevision(revision);
  m.regions = {RegionId("south")};
  m.models.push_back({ModelId("reader"), "v1", {}, Tokens(1000000), 1});
  m.engine_classes.push_back({"large", true, Tokens(400000), Tokens(20000)});
  for (int i = 0; i < 3; ++i) {
    m.data_centres.push_back({DataCentreOf(i), RegionId("south"), true});
    m.deployments.push_back({ModelId("reader"), DataCentreOf(i), targets});
  }
  manifest::ClientAccount account;
  account.id = ClientAccountId("club");
  account.key_salt = "salt";
  account.key_hash = manifest::HashKey("salt", "secret");
  account.requests_per_second = 10;
  account.tokens_in_flight = Tokens(1000000);
  account.models = {ModelId("reader")};
  m.accounts.push_back(account);
  return m;
}

inline InstanceInfo MakeInstance(int i) {
  return {InstanceId(absl::StrCat("10.0.0.", i + 1, ":7000")), DataCentreOf(i)};
}

inline TargetInfo MakeTarget(int i) {
  TargetInfo info;
  info.id = TargetId(absl::StrCat("engine-", i));
  info.address = absl::StrCat("10.1.0.", i + 1, ":8000");
  info.data_centre = DataCentreOf(i);
  info.engine_class = "large";
  return info;
}

inline InstanceListRead MakeInstances(uint64_t version, int n) {
  InstanceListRead list{version, {}};
  for (int i = 0; i < n; ++i) {
    list.instances.push_back(MakeInstance(i));
  }
  return list;
}

inline TargetListRead MakeTargets(uint64_t version, int n) {
  TargetListRead list{version, {}};
  for (int i = 0; i < n; ++i) {
    list.targets.push_back(MakeTarget(i));
  }
  return list;
}

// One instance of a test fleet. A paused or dead one handles nothing.
struct Member {
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<Fleet> fleet;
  InstanceRef self;
  int side = 0;  // only members of one side reach each other
  bool running = true;
  bool paused = false;  // not running, and silent rather than refused
  bool reaches_service = true;
  // How far what the service tells this member lags.
  absl::Duration list_lag;
  absl::Time next_read;
};

// Several members, the service, and the words on their way.
class TestFleet {
 public:
  explicit TestFleet(int n, uint64_t seed = 1, Mutations mutations = {})
      : seed_(seed), mutations_(mutations) {
    Publish(MakeManifest(1));
    lists_.emplace_back(absl::InfinitePast(), MakeInstances(1, n));
    targets = MakeTargets(1, 6);
    for (int i = 0; i < n; ++i) {
      members.emplace_back();
      Restart(i);
    }
  }

  // The service holds this manifest from now on; parts of all stay readable.
  void Publish(const manifest::Manifest& m) {
    const manifest::PublishedManifest out = manifest::SplitManifest(m);
    head = out.head;
    for (const manifest::Part& it : out.parts) {
      parts[manifest::ContentHash(it.bytes)] = it.bytes;
    }
  }

  // A new life of member `i`.
  void Restart(int i) {
    Member& it = members[i];
    ++lives_;
    it.random = MakeSeededRandom(seed_ * 1000 + lives_);
    it.self = {MakeInstance(i).id, Incarnation(lives_)};
    it.fleet = std::make_unique<Fleet>(FleetConfig(), it.self, DataCentreOf(i),
                                       it.random.get(), &mutations_);
    it.running = true;
    it.paused = false;
    it.next_read = now;
  }

  // The platform's instance list from now on: the members that `listed` names.
  void List(const std::vector<int>& listed) {
    InstanceListRead list{lists_.empty() ? 1 : lists_.back().second.version + 1,
                          {}};
    for (const int i : listed) {
      list.instances.push_back(MakeInstance(i));
    }
    lists_.emplace_back(now, list);
  }

  Fleet& At(int i) { return *members[i].fleet; }

  // Lets virtual time pass in steps of 100 ms.
  void Run(absl::Duration time) {
    const absl::Time end = now + time;
    while (now < end) {
      now += absl::Milliseconds(100);
      Step();
    }
  }

  void Step() {
    for (size_t i = 0; i < members.size(); ++i) {
      Member& it = members[i];
      if (!it.running) {
        continue;
      }
      if (it.next_read <= now) {
        ReadService(i);
      }
      if (it.fleet->NextWakeup() <= now) {
        Actions actions;
        it.fleet->OnTick(now, &actions);
        Perform(i, actions);
      }
    }
  }

  // Every action of `i`, at once, and those that follow from them.
  void Perform(size_t i, const Actions& actions) {
    for (const Action& it : actions) {
      if (const auto* send = std::get_if<SendPeer>(&it)) {
        Deliver(i, *send);
      } else if (const auto* read = std::get_if<ReadPart>(&it)) {
        ReadFromService(i, read->hash);
      }
    }
  }

  std::vector<Member> members;
  manifest::Head head;
  std::map<std::string, std::string> parts;
  TargetListRead targets;
  absl::Time now = kStart;
  int messages = 0;

 private:
  const InstanceListRead& ListAsOf(absl::Time time) const {
    auto it = lists_.rbegin();
    while (it->first > time) {
      ++it;
    }
    return it->second;
  }

  void ReadService(size_t i) {
    Member& it = members[i];
    it.next_read = now + absl::Seconds(2);
    if (!it.reaches_service) {
      it.fleet->OnConfigUnreachable(now);
      return;
    }
    Actions actions;
    it.fleet->OnHeadRead(now, {head}, &actions);
    it.fleet->OnInstanceList(now, ListAsOf(now - it.list_lag), &actions);
    it.fleet->OnTargetList(now, targets, &actions);
    Perform(i, actions);
  }

  void ReadFromService(size_t i, const std::string& hash) {
    if (!members[i].reaches_service) {
      return;
    }
    Actions actions;
    members[i].fleet->OnPartRead(now, {hash, parts[hash]}, &actions);
    Perform(i, actions);
  }

  void Deliver(size_t from, const SendPeer& send) {
    ++messages;
    for (size_t i = 0; i < members.size(); ++i) {
      Member& to = members[i];
      if (to.self.id != send.to) {
        continue;
      }
      if (to.paused) {
        return;
      }
      if (to.running && to.side == members[from].side) {
        Actions actions;
        const PeerEnvelope envelope{members[from].self,
                                    members[from].fleet->revision(), false,
                                    send.payload};
        to.fleet->OnPeer(now, envelope, &actions);
        Perform(i, actions);
        return;
      }
    }
    members[from].fleet->OnPeerUnreachable(now, send.to);
  }

  const uint64_t seed_;
  const Mutations mutations_;
  uint64_t lives_ = 0;
  std::vector<std::pair<absl::Time, InstanceListRead>> lists_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_FLEET_SUPPORT_H_
