// Runs one node in virtual time amid a fleet of stand-in peers and targets, at
// the load that one instance carries in the large fleet, and measures the
// processor time, heap and message bytes of its decisions.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "process_usage.h"
#include "report.h"
#include "umbertrail/core/node.h"
#include "umbertrail/manifest.h"
#include "umbertrail/peer/codec.h"
#include "umbertrail/telemetry/names.h"

namespace umbertrail::capacity {
namespace {

using core::Action;
using core::Event;

// The fleet of docs/CAPACITY.md.
constexpr int kInstances = 390;
constexpr int kTargets = 600;
constexpr int kAccounts = 290;
constexpr int kModels = 30;
constexpr int kDataCentres = 11;
constexpr int kRegions = 3;
constexpr double kRequestsPerSecond = 3300.0 / kInstances;
// 1.2 million tokens over 3,300 requests.
constexpr int64_t kAnswerTokens = 364;
constexpr absl::Duration kTokenGap = absl::Milliseconds(42);
// Probes that a request sends when its model has many targets.
constexpr int kProbes = 4;
constexpr absl::Duration kAnswerDelay = absl::Milliseconds(2);
constexpr absl::Duration kSettle = absl::Seconds(40);
constexpr absl::Duration kMeasured = absl::Seconds(30);
// Allocations that a target's report lists: its running requests.
constexpr int kAllocations = 84;
constexpr size_t kOwnedTargets = 2;
// One answer in this many carries the whole head.
constexpr uint64_t kWholeHeadEvery = 16;
// Homes that must agree before content runs.
constexpr int kScreenHomes = 2;
constexpr uint64_t kIncarnation = 0x9e3779b97f4a7c15;

class PlainSigner : public core::TicketSigner {
 public:
  std::string Sign(std::string_view) const override { return "mac"; }
  bool Verify(std::string_view, std::string_view mac) const override {
    return mac == "mac";
  }
};

// How large the fleet around the node is, and what reaches the node.
struct Scale {
  int instances = kInstances;
  int targets = kTargets;
  int accounts = kAccounts;
  int models = kModels;
  double requests_per_second = kRequestsPerSecond;
};

DataCentreId DataCentreOf(int i) {
  return DataCentreId(absl::StrFormat("centre-%02d", i % kDataCentres));
}

InstanceId InstanceOf(int i) {
  return InstanceId(absl::StrFormat("10.112.%d.%d:7400", i / 200, i % 200));
}

TargetId TargetOf(int i) {
  return TargetId(absl::StrFormat("kirishima-engine-%04d", i));
}

ModelId ModelOf(int i) {
  return ModelId(absl::StrFormat("shower-summaries-%02d", i));
}

manifest::Manifest MakeManifest(const Scale& scale) {
  manifest::Manifest out;
  out.revision = ManifestRevision(1000);
  for (int i = 0; i < kRegions; ++i) {
    out.regions.push_back(RegionId(absl::StrCat("region-", i)));
  }
  for (int i = 0; i < kDataCentres; ++i) {
    out.data_centres.push_back(
        {DataCentreOf(i), out.regions[i % kRegions], true});
  }
  out.engine_classes.push_back({"large", true, Tokens(4000000), Tokens(20000)});
  for (int i = 0; i < scale.models; ++i) {
    out.models.push_back({ModelOf(i), "v1", {}, Tokens(1000000), 1});
    for (int j = 0; j < kDataCentres; ++j) {
      out.deployments.push_back(
          {ModelOf(i), DataCentreOf(j),
           std::max(1, scale.targets / scale.models / kDataCentres)});
    }
  }
  for (int i = 0; i < scale.accounts; ++i) {
    manifest::ClientAccount account;
    account.id = ClientAccountId(absl::StrFormat("observers-%03d", i));
    account.key_salt = "salt";
    account.key_hash = manifest::HashKey("salt", "secret");
    account.requests_per_second = 10000;
    account.tokens_in_flight = Tokens(1000000000);
    for (int j = 0; j < scale.models; ++j) {
      account.models.push_back(ModelOf(j));
    }
    out.accounts.push_back(account);
  }
  return out;
}

core::InstanceListRead MakeInstances(const Scale& scale) {
  core::InstanceListRead out;
  out.version = 1;
  for (int i = 0; i < scale.instances; ++i) {
    out.instances.push_back({InstanceOf(i), DataCentreOf(i), false});
  }
  return out;
}

core::TargetListRead MakeTargets(const Scale& scale) {
  core::TargetListRead out;
  out.version = 1;
  for (int i = 0; i < scale.targets; ++i) {
    core::TargetInfo info;
    info.id = TargetOf(i);
    info.address = absl::StrFormat("10.113.%d.%d:8000", i / 200, i % 200);
    info.data_centre = DataCentreOf(i);
    info.engine_class = "large";
    out.targets.push_back(info);
  }
  return out;
}

// What a node's decisions cost during the measured time.
struct Costs {
  // Milliseconds of processor for a second.
  double processor = 0;
  double heap_kib = 0;
  double sent_bytes = 0;
  double received_bytes = 0;
  double finished = 0;
  double refused = 0;
  double events = 0;
  size_t owned = 0;
  std::map<std::string, double> sent_by_message;
  std::map<std::string, double> received_by_message;
};

// Feeds one node and answers its actions as peers, targets and platform would.
class World {
 public:
  World(const Scale& scale, int self)
      : scale_(scale),
        self_(self),
        manifest_(MakeManifest(scale)),
        published_(manifest::SplitManifest(manifest_)),
        random_(MakeSeededRandom(1)),
        heap_before_(HeapBytes()),
        node_({{InstanceOf(self), Incarnation(1)}, DataCentreOf(self), {}},
              random_.get(),
              &signer_) {}

  // Lets the node read manifest and lists; returns how many targets it owns.
  size_t Start() {
    for (int i = 0; i < scale_.instances; ++i) {
      peers_[InstanceOf(i)] = i;
    }
    At(now_, core::HeadRead{published_.head});
    At(now_, MakeInstances(scale_));
    At(now_, MakeTargets(scale_));
    RunUntil(start_ + absl::Seconds(20));
    ready_ = node_.Ready(now_);
    owned_ = OwnedTargets();
    return owned_.size();
  }

  // Precondition: Start() was called.
  Costs Run() {
    ArriveNext();
    for (const TargetId& it : owned_) {
      ProbeNext(it);
      AskNext(it);
    }
    ScreenNext();
    RunUntil(start_ + kSettle);
    costs_ = Costs();
    spent_ = 0;
    RunUntil(start_ + kSettle + kMeasured);
    return Finish();
  }

  bool ready() const { return ready_; }

 private:
  struct Timed {
    absl::Time at;
    uint64_t order;
    std::shared_ptr<Event> event;
    std::shared_ptr<std::function<void()>> call;
    bool operator<(const Timed& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(absl::Time at, Event event) {
    queue_.push({at, ++order_, std::make_shared<Event>(std::move(event)), {}});
  }
  void CallAt(absl::Time at, std::function<void()> call) {
    queue_.push({at,
                 ++order_,
                 {},
                 std::make_shared<std::function<void()>>(std::move(call))});
  }

  void RunUntil(absl::Time end) {
    while (true) {
      const absl::Time queued = queue_.empty() ? end : queue_.top().at;
      const absl::Time wake = std::max(now_, node_.NextWakeup());
      const absl::Time next = std::min(queued, wake);
      if (next >= end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, next);
      if (wake < queued) {
        Handle(core::Tick());
        continue;
      }
      const Timed item = queue_.top();
      queue_.pop();
      if (item.call) {
        (*item.call)();
      } else {
        Handle(std::move(*item.event));
      }
    }
  }

  void Handle(Event event) {
    const int64_t before = ThreadNanos();
    const core::Actions actions = node_.Handle(now_, std::move(event));
    spent_ += ThreadNanos() - before;
    ++costs_.events;
    for (const Action& action : actions) {
      std::visit([this](const auto& it) { React(it); }, action);
    }
  }

  // -- Peers

  void Receive(absl::Time at, int peer, core::PeerPayload payload) {
    core::PeerEnvelope envelope;
    envelope.from = {InstanceOf(peer), Incarnation(kIncarnation)};
    envelope.revision = manifest_.revision;
    envelope.payload = std::move(payload);
    CallAt(at, [this, envelope] {
      const auto bytes =
          static_cast<double>(ValueOf(peer::EncodeEnvelope(envelope)).size());
      costs_.received_bytes += bytes;
      costs_.received_by_message[std::string(
          telemetry::NameOf(envelope.payload))] += bytes;
      Handle(core::PeerReceived{envelope});
    });
  }

  int SomePeer() {
    return 1 + static_cast<int>(
                   random_->Below(static_cast<uint64_t>(scale_.instances - 1)));
  }

  int PeerOf(const InstanceId& id) const {
    const auto it = peers_.find(id);
    return it == peers_.end() ? 1 : it->second;
  }

  void React(const core::SendPeer& action) {
    const auto bytes = static_cast<double>(
        ValueOf(peer::EncodeEnvelope(node_.Wrap(action.payload))).size());
    costs_.sent_bytes += bytes;
    costs_.sent_by_message[std::string(telemetry::NameOf(action.payload))] +=
        bytes;
    const int peer = PeerOf(action.to);
    std::visit([&](const auto& it) { Answer(peer, it); }, action.payload);
  }

  void Answer(int peer, const core::ProbeRequest& ask) {
    core::ProbeReply out;
    out.probe = ask.probe;
    out.target = ask.target;
    out.can_serve = true;
    out.first_token = absl::Milliseconds(100);
    out.finish = absl::Seconds(16);
    Receive(now_ + kAnswerDelay, peer, out);
  }
  void Answer(int peer, const core::AdmitRequest& ask) {
    core::AdmitReply out;
    out.request = ask.request;
    out.attempt = ask.attempt;
    out.target = ask.target;
    out.decision = core::AdmitDecision::kGranted;
    out.sequence = ask.sequence;
    out.boot = BootId("9e3779b97f4a7c15");
    out.first_token = absl::Milliseconds(100);
    Receive(now_ + kAnswerDelay, peer, out);
  }
  void Answer(int peer, const core::ScreenRequest& ask) {
    core::ScreenReply out;
    out.request = ask.request;
    out.attempt = ask.attempt;
    out.fingerprint = ask.fingerprint;
    Receive(now_ + kAnswerDelay, peer, out);
  }
  // As the node itself answers a peer of its own revision.
  core::HeadOffer OfferFor(const core::HeadQuery& ask) const {
    core::HeadOffer out;
    out.nonce = ask.nonce;
    out.head.revision = manifest_.revision;
    if (ask.nonce % kWholeHeadEvery == 0) {
      out.head = published_.head;
    }
    return out;
  }
  void Answer(int peer, const core::HeadQuery& ask) {
    Receive(now_ + kAnswerDelay, peer, OfferFor(ask));
    // Others ask as often as this node does.
    Receive(now_ + kAnswerDelay, SomePeer(), core::HeadQuery{ask.nonce});
  }
  // What another instance got from this one as an owner.
  void Answer(int peer, const core::AdmitReply& reply) {
    if (reply.decision == core::AdmitDecision::kGranted) {
      RunElsewhere(peer, reply);
    }
  }
  template <typename T>
  void Answer(int, const T&) {}

  // A granted attempt of another instance: heartbeats, then its end.
  void RunElsewhere(int peer, const core::AdmitReply& reply) {
    const absl::Duration length = kTokenGap * kAnswerTokens;
    for (absl::Duration at = absl::Seconds(1); at < length;
         at += absl::Seconds(1)) {
      core::AttemptsAlive alive;
      core::AttemptsAlive::Entry entry;
      entry.request = reply.request;
      entry.attempt = reply.attempt;
      entry.target = reply.target;
      entry.held = Tokens(1364);
      entry.generated = Tokens(absl::ToInt64Milliseconds(at) / 42);
      alive.attempts.push_back(entry);
      Receive(now_ + at, peer, alive);
    }
    core::AttemptSettled settled;
    settled.request = reply.request;
    settled.attempt = reply.attempt;
    settled.target = reply.target;
    settled.first_token = absl::Milliseconds(100);
    settled.total = length;
    settled.generated = Tokens(kAnswerTokens);
    Receive(now_ + length, peer, settled);
  }

  // -- Targets and platform

  void React(const core::PollTarget& action) {
    core::TargetReport report;
    report.boot = BootId("9e3779b97f4a7c15");
    report.age = absl::Milliseconds(200);
    report.running = kAllocations;
    report.memory_total = Tokens(4000000);
    report.model = ModelOf(0);
    report.version = "v1";
    report.fence = manifest_.revision;
    for (int i = 0; i < kAllocations; ++i) {
      report.allocations.push_back({{InstanceOf(1 + i % (scale_.instances - 1)),
                                     Incarnation(kIncarnation)},
                                    RequestId(absl::StrFormat("%032d", i)),
                                    Tokens(1364)});
    }
    At(now_ + kAnswerDelay, core::TargetReported{action.target, report});
  }

  void React(const core::SendOrder& action) {
    At(now_ + kAnswerDelay,
       core::OrderAnswered{action.target, action.order.fence,
                           core::OrderAnswered::Result::kAccepted});
  }

  void React(const core::ReadPart& action) {
    for (const manifest::Part& it : published_.parts) {
      if (manifest::ContentHash(it.bytes) == action.hash) {
        At(now_ + kAnswerDelay, core::PartRead{action.hash, it.bytes});
      }
    }
  }

  void React(const core::StartAttempt& action) {
    const RequestId id = action.spec.id;
    const AttemptNumber attempt = action.attempt;
    At(now_ + kAnswerDelay, core::AttemptStarted{id, attempt});
    for (int64_t i = 0; i < kAnswerTokens; ++i) {
      At(now_ + kAnswerDelay + kTokenGap * (i + 1),
         core::AttemptChunk{id, attempt, Tokens(i), Tokens(1), "abcd"});
    }
    At(now_ + kAnswerDelay + kTokenGap * (kAnswerTokens + 1),
       core::AttemptDone{id, attempt, Tokens(kAnswerTokens), {}});
  }

  void React(const core::FinishRequest& action) {
    if (action.outcome.reason == core::Reason::kOk) {
      ++costs_.finished;
    } else {
      ++costs_.refused;
      ++reasons_[std::string(telemetry::NameOf(action.outcome.reason))];
    }
  }
  template <typename T>
  void React(const T&) {}

  // -- Load

  absl::Duration Gap(double rate) const {
    return rate > 0 ? absl::Seconds(1 / rate) : absl::Hours(1);
  }

  core::RequestSpec NextSpec() {
    core::RequestSpec out;
    out.id = RequestId(absl::StrFormat("%032d", ++serial_));
    out.account = manifest_.accounts[serial_ % manifest_.accounts.size()].id;
    out.model = ModelOf(static_cast<int>(serial_ % manifest_.models.size()));
    // One in fifty is long.
    out.prompt = serial_ % 50 == 0 ? Tokens(120000) : Tokens(1000);
    out.max_output = Tokens(kAnswerTokens);
    out.fingerprint = Fingerprint(kIncarnation + serial_);
    for (int64_t n = 1024; n <= out.prompt.value(); n *= 2) {
      out.prefix.push_back({Tokens(n), PrefixHash(kIncarnation - serial_)});
    }
    return out;
  }

  void ArriveNext() {
    Handle(core::RequestArrived{NextSpec(), absl::Seconds(60),
                                std::make_shared<const std::string>("body")});
    CallAt(now_ + Gap(scale_.requests_per_second), [this] { ArriveNext(); });
  }

  double TargetRate() const {
    return scale_.requests_per_second * scale_.instances / scale_.targets;
  }

  void ProbeNext(const TargetId& target) {
    const core::RequestSpec spec = NextSpec();
    core::ProbeRequest probe;
    probe.probe = serial_;
    probe.target = target;
    probe.model = ModelOf(0);
    probe.prompt = spec.prompt;
    probe.max_output = spec.max_output;
    probe.prefix = spec.prefix;
    probe.time_left = absl::Seconds(60);
    Receive(now_, SomePeer(), probe);
    CallAt(now_ + Gap(TargetRate() * kProbes),
           [this, target] { ProbeNext(target); });
  }

  void AskNext(const TargetId& target) {
    const core::RequestSpec spec = NextSpec();
    core::AdmitRequest ask;
    ask.request = spec.id;
    ask.attempt = AttemptNumber(1);
    ask.target = target;
    ask.account = spec.account;
    ask.model = ModelOf(0);
    ask.prompt = spec.prompt;
    ask.max_output = spec.max_output;
    ask.prefix = spec.prefix;
    ask.time_left = absl::Seconds(60);
    ask.time_total = absl::Seconds(60);
    ask.sequence = 1;
    Receive(now_, SomePeer(), ask);
    CallAt(now_ + Gap(TargetRate()), [this, target] { AskNext(target); });
  }

  void ScreenNext() {
    core::ScreenRequest ask;
    ask.request = RequestId(absl::StrFormat("%032d", ++serial_));
    ask.attempt = AttemptNumber(1);
    ask.fingerprint = Fingerprint(kIncarnation ^ serial_);
    ask.time_left = absl::Seconds(60);
    const int peer = SomePeer();
    Receive(now_, peer, ask);
    core::ScreenEnded ended;
    ended.request = ask.request;
    ended.attempt = ask.attempt;
    ended.fingerprint = ask.fingerprint;
    ended.end = core::ScreenEnd::kCompleted;
    Receive(now_ + kTokenGap * kAnswerTokens, peer, ended);
    CallAt(now_ + Gap(scale_.requests_per_second * kScreenHomes),
           [this] { ScreenNext(); });
  }

  std::vector<TargetId> OwnedTargets() const {
    std::vector<TargetId> out;
    for (const core::TargetStatus& it : node_.Status(now_).owned) {
      if (it.claim != core::OwnerClaim::kNone) {
        out.push_back(it.id);
      }
    }
    return out;
  }

  Costs Finish() {
    const double seconds = absl::ToDoubleSeconds(kMeasured);
    costs_.processor = static_cast<double>(spent_) / 1e6 / seconds;
    costs_.sent_bytes /= seconds;
    costs_.received_bytes /= seconds;
    costs_.finished /= seconds;
    costs_.refused /= seconds;
    costs_.events /= seconds;
    costs_.owned = owned_.size();
    for (auto& [name, bytes] : costs_.sent_by_message) {
      bytes /= seconds;
    }
    for (auto& [name, bytes] : costs_.received_by_message) {
      bytes /= seconds;
    }
    // Without what this program itself keeps queued.
    queue_ = {};
    costs_.heap_kib = static_cast<double>(HeapBytes() - heap_before_) / 1024;
    for (const auto& [reason, n] : reasons_) {
      std::cout << "  refused for " << reason << ": " << n << "\n";
    }
    return costs_;
  }

  const Scale scale_;
  const int self_;
  const manifest::Manifest manifest_;
  const manifest::PublishedManifest published_;
  const std::unique_ptr<RandomSource> random_;
  const PlainSigner signer_;
  const int64_t heap_before_;
  core::Node node_;
  const absl::Time start_ = absl::FromUnixSeconds(1000000);
  absl::Time now_ = start_;
  std::priority_queue<Timed> queue_;
  uint64_t order_ = 0;
  uint64_t serial_ = 0;
  int64_t spent_ = 0;
  bool ready_ = false;
  std::vector<TargetId> owned_;
  std::map<InstanceId, int> peers_;
  std::map<std::string, int> reasons_;
  Costs costs_;
};

Costs Measure(const Scale& scale, const std::string& name) {
  auto world = std::make_unique<World>(scale, 0);
  // 600 targets are 1.5 for each of 390 instances: two are the upper half.
  for (int self = 1; world->Start() != kOwnedTargets; ++self) {
    if (self == scale.instances) {
      std::cerr << "no instance owns two targets\n";
      std::exit(1);
    }
    world.reset();
    world = std::make_unique<World>(scale, self);
  }
  const Costs out = world->Run();
  std::cout << absl::StrFormat(
                   "%s: %d instances, %d targets (%d owned), ready %d: %.2f "
                   "ms/s, %.0f KiB, "
                   "%.0f bytes/s sent, %.0f received, %.1f finished/s, %.1f "
                   "refused/s, "
                   "%.0f events/s\n",
                   name, scale.instances, scale.targets, out.owned,
                   world->ready() ? 1 : 0, out.processor, out.heap_kib,
                   out.sent_bytes, out.received_bytes, out.finished,
                   out.refused, out.events)
            << std::flush;
  return out;
}

// The fleet grows; what one node is asked stays the same.
void MeasureFleetSizes() {
  std::vector<Point> processor;
  std::vector<Point> heap;
  std::vector<Point> sent;
  for (const int divisor : {8, 4, 2, 1}) {
    Scale scale;
    scale.instances = kInstances / divisor;
    scale.targets = kTargets / divisor;
    scale.accounts = kAccounts / divisor;
    scale.models = kModels / divisor;
    const Costs costs = Measure(scale, "fleet size");
    const double size = scale.instances;
    processor.push_back({size, costs.processor});
    heap.push_back({size, costs.heap_kib});
    sent.push_back({size, costs.sent_bytes});
  }
  PrintSeries("node", "instances", "ms of processor a second", processor);
  PrintSeries("node", "instances", "KiB of heap", heap);
  PrintSeries("node", "instances", "bytes sent a second", sent);
}

// The fleet stays; what one node is asked grows.
void MeasureRates() {
  std::vector<Point> processor;
  std::vector<Point> sent;
  std::vector<Point> received;
  Costs last;
  for (const double part : {0.125, 0.25, 0.5, 1.0}) {
    Scale scale;
    scale.requests_per_second = kRequestsPerSecond * part;
    last = Measure(scale, "request rate");
    processor.push_back({scale.requests_per_second, last.processor});
    sent.push_back({scale.requests_per_second, last.sent_bytes});
    received.push_back({scale.requests_per_second, last.received_bytes});
  }
  PrintSeries("node", "requests a second", "ms of processor a second",
              processor);
  PrintSeries("node", "requests a second", "bytes sent a second", sent);
  PrintSeries("node", "requests a second", "bytes received a second", received);
  for (const auto& [name, bytes] : last.sent_by_message) {
    PrintFigure("sent " + name, bytes, "bytes/s");
  }
  for (const auto& [name, bytes] : last.received_by_message) {
    PrintFigure("received " + name, bytes, "bytes/s");
  }
}

}  // namespace
}  // namespace umbertrail::capacity

int main() {
  umbertrail::capacity::MeasureFleetSizes();
  umbertrail::capacity::MeasureRates();
  return 0;
}
