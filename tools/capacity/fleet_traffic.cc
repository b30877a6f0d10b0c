#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "fleet_measures.h"
#include "umbertrail/core/fleet/fleet.h"
#include "umbertrail/peer/codec.h"

namespace umbertrail::capacity {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kWatch = absl::Seconds(2);
constexpr double kSecondsPerDay = 86400;

// A message on its way; it arrives a step later.
struct Letter {
  size_t from;
  core::SendPeer send;
};

struct Node {
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<core::Fleet> fleet;
  InstanceRef self;
  absl::Time next_read;
};

// All nodes of a fleet; the first one is watched.
class World {
 public:
  explicit World(const FleetSize& size)
      : instances_(MakeInstances(size, 1)), targets_(MakeTargets(size, 1)) {
    instances_.instances[1 % size.instances].leaving = false;
    Publish(MakeManifest(size, 1));
    for (int i = 0; i < size.instances; ++i) {
      Node node;
      const core::InstanceInfo& info = instances_.instances[i];
      node.random = MakeSeededRandom(1 + i);
      node.self = {info.id, Incarnation(1 + i)};
      node.fleet = std::make_unique<core::Fleet>(
          core::FleetConfig(), node.self, info.data_centre, node.random.get(),
          &mutations_);
      node.next_read = now_ + kWatch * node.random->Fraction();
      index_[info.id] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
  }

  void Publish(const manifest::Manifest& m) {
    const manifest::PublishedManifest out = manifest::SplitManifest(m);
    head_ = out.head;
    for (const manifest::Part& it : out.parts) {
      parts_[manifest::ContentHash(it.bytes)] = it.bytes;
    }
    published_at_ = now_;
    // A watch answers at once; one node in ten has lost the service.
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (i % 10 != 9) {
        nodes_[i].next_read = now_;
      }
    }
  }

  void Run(absl::Duration time) {
    for (const absl::Time end = now_ + time; now_ < end;) {
      now_ += kStep;
      Deliver();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Step(i);
      }
      NoteSpread();
    }
  }

  void StartCounting() {
    traffic_ = Traffic();
    talked_.clear();
    busy_ = std::chrono::duration<double>(0);
  }

  Traffic Take(absl::Duration time) {
    Traffic out = traffic_;
    const double seconds = absl::ToDoubleSeconds(time);
    for (double* it : {&out.peer_messages_sent, &out.peer_messages_received,
                       &out.peer_bytes_sent, &out.peer_bytes_received,
                       &out.service_calls, &out.service_bytes}) {
      *it /= seconds;
    }
    out.core_fraction = busy_.count() / seconds;
    out.peers_talked_to = static_cast<double>(talked_.size());
    return out;
  }

  size_t list_bytes() const {
    return InstanceListBytes(instances_) + TargetListBytes(targets_);
  }

 private:
  // Hands something to node `i` and takes its actions; the first one's time is
  // counted.
  template <typename Call>
  void Handle(size_t i, Call call) {
    using Clock = std::chrono::steady_clock;
    core::Actions actions;
    const Clock::time_point begin = Clock::now();
    call(nodes_[i].fleet.get(), &actions);
    if (i == 0) {
      busy_ += Clock::now() - begin;
    }
    for (core::Action& it : actions) {
      if (auto* send = std::get_if<core::SendPeer>(&it)) {
        Count(i, *send);
        letters_.push_back({i, std::move(*send)});
      } else if (auto* read = std::get_if<core::ReadPart>(&it)) {
        reads_.emplace_back(i, read->hash);
      }
    }
  }

  void Count(size_t from, const core::SendPeer& send) {
    const size_t to = index_[send.to];
    if (from != 0 && to != 0) {
      return;
    }
    const Node& node = nodes_[from];
    const core::PeerEnvelope envelope{node.self, node.fleet->revision(), false,
                                      send.payload};
    const auto bytes = peer::EncodeEnvelope(envelope);
    const auto n = static_cast<double>(ValueOf(bytes).size());
    talked_.insert(from == 0 ? to : from);
    (from == 0 ? traffic_.peer_messages_sent
               : traffic_.peer_messages_received) += 1;
    (from == 0 ? traffic_.peer_bytes_sent : traffic_.peer_bytes_received) += n;
  }

  void Deliver() {
    std::vector<Letter> letters;
    letters.swap(letters_);
    for (const Letter& it : letters) {
      const core::PeerEnvelope envelope{nodes_[it.from].self,
                                        nodes_[it.from].fleet->revision(),
                                        false, it.send.payload};
      Handle(index_[it.send.to], [&](core::Fleet* fleet, core::Actions* out) {
        fleet->OnPeer(now_, envelope, out);
      });
    }
    std::vector<std::pair<size_t, std::string>> reads;
    reads.swap(reads_);
    for (const auto& [i, hash] : reads) {
      CountService(i, parts_[hash].size());
      Handle(i, [&, part = &parts_[hash], key = &hash](core::Fleet* fleet,
                                                       core::Actions* out) {
        fleet->OnPartRead(now_, {*key, *part}, out);
      });
    }
  }

  void Step(size_t i) {
    if (nodes_[i].next_read <= now_ && (i % 10 != 9 || !started_)) {
      nodes_[i].next_read = now_ + kWatch;
      CountService(i, HeadBytes(head_));
      Handle(i, [&](core::Fleet* fleet, core::Actions* out) {
        fleet->OnInstanceList(now_, instances_, out);
        fleet->OnTargetList(now_, targets_, out);
        fleet->OnHeadRead(now_, {head_}, out);
      });
    }
    if (nodes_[i].fleet->NextWakeup() <= now_) {
      Handle(i, [&](core::Fleet* fleet, core::Actions* out) {
        fleet->OnTick(now_, out);
      });
    }
  }

  void CountService(size_t i, size_t bytes) {
    if (i == 0) {
      traffic_.service_calls += 1;
      traffic_.service_bytes += static_cast<double>(bytes);
    }
  }

  void NoteSpread() {
    bool all = true;
    for (const Node& it : nodes_) {
      all = all && it.fleet->revision() == head_.revision;
    }
    if (all && spread_ != head_.revision) {
      spread_ = head_.revision;
      started_ = true;
      traffic_.slowest_spread_s =
          std::max(traffic_.slowest_spread_s,
                   absl::ToDoubleSeconds(now_ - published_at_));
    }
  }

  const core::Mutations mutations_;
  core::InstanceListRead instances_;
  core::TargetListRead targets_;
  manifest::Head head_;
  std::map<std::string, std::string> parts_;
  std::map<InstanceId, size_t> index_;
  std::vector<Node> nodes_;
  std::vector<Letter> letters_;
  std::vector<std::pair<size_t, std::string>> reads_;
  absl::Time now_ = absl::FromUnixSeconds(1000000);
  absl::Time published_at_ = now_;
  ManifestRevision spread_;
  bool started_ = false;
  Traffic traffic_;
  std::set<size_t> talked_;
  std::chrono::duration<double> busy_{0};
};

}  // namespace

Traffic MeasureTraffic(const FleetSize& size,
                       int changes,
                       absl::Duration interval,
                       double list_changes_per_day) {
  World world(size);
  world.Run(absl::Seconds(20));
  world.StartCounting();
  for (int i = 0; i < changes; ++i) {
    world.Publish(MakeManifest(size, 2 + i));
    world.Run(interval);
  }
  Traffic out = world.Take(interval * changes);
  out.service_bytes += static_cast<double>(world.list_bytes()) *
                       list_changes_per_day / kSecondsPerDay;
  return out;
}

}  // namespace umbertrail::capacity
