#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

#include "fake_signer.h"
#include "umbertrail/core/node.h"
#include "umbertrail/manifest.h"

namespace umbertrail::core {
namespace {

// How an outside bench drives one node as a library (docs/BENCH.md): events
// in, actions out, time from the bench. This bench plays the platform and one
// plain service.
class LibraryBench {
 public:
  LibraryBench() {
    manifest::Manifest m;
    m.revision = ManifestRevision(1);
    m.regions = {RegionId("south")};
    m.data_centres = {{DataCentreId("a"), RegionId("south"), true}};
    m.services = {{ServiceId("desk"), {{"look", true}}}};
    manifest::ClientAccount account;
    account.id = ClientAccountId("club");
    account.key_salt = "salt";
    account.key_hash = std::string(64, 'a');
    account.requests_per_second = 100;
    account.tokens_in_flight = Tokens(1000);
    account.services = {ServiceId("desk")};
    m.accounts = {account};
    published_ = manifest::SplitManifest(m);
    for (std::size_t i = 0; i < published_.parts.size(); ++i) {
      parts_[published_.head.parts[i].hash] = published_.parts[i].bytes;
    }
  }

  // Runs the node and this bench's answers until `end`.
  void RunUntil(absl::Time end) {
    while (now_ < end) {
      TellPlatform();
      const absl::Time next = std::min(now_ + absl::Seconds(1), end);
      while (node_.NextWakeup() <= next) {
        now_ = std::max(now_, node_.NextWakeup());
        Give(Tick{});
        now_ += absl::Milliseconds(1);
      }
      now_ = std::max(now_, next);
    }
  }

  void Give(Event event) {
    for (Action& it : node_.Handle(now_, std::move(event))) {
      Answer(std::move(it));
    }
  }

  absl::Time now() const { return now_; }
  const Node& node() const { return node_; }
  std::optional<FinishRequest> finished;

 private:
  void TellPlatform() {
    Give(HeadRead{published_.head});
    Give(InstanceListRead{1, {{self_.id, DataCentreId("a"), false}}});
    TargetInfo service;
    service.id = TargetId("t1");
    service.kind = TargetKind::kService;
    service.data_centre = DataCentreId("a");
    service.service = ServiceId("desk");
    Give(TargetListRead{1, {service}});
  }

  void Answer(Action action) {
    if (const auto* read = std::get_if<ReadPart>(&action)) {
      Give(PartRead{read->hash, parts_.at(read->hash)});
    } else if (const auto* poll = std::get_if<PollTarget>(&action)) {
      TargetReport report;
      report.boot = BootId("first");
      Give(TargetReported{poll->target, report});
    } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
      const auto answer = std::make_shared<const std::string>("seen");
      Give(AttemptDone{start->spec.id, start->attempt, Tokens(0), answer});
    } else if (auto* finish = std::get_if<FinishRequest>(&action)) {
      finished = std::move(*finish);
    }
  }

  InstanceRef self_{InstanceId("10.0.0.1:7000"), Incarnation(1)};
  FakeSigner signer_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(3);
  Node node_{{self_, DataCentreId("a"), Mutations()}, random_.get(), &signer_};
  manifest::PublishedManifest published_;
  std::map<std::string, std::string> parts_;
  absl::Time now_ = absl::UnixEpoch();
};

RequestArrived LookUp() {
  RequestArrived arrival;
  arrival.spec.id = RequestId("r");
  arrival.spec.kind = RequestKind::kServiceCall;
  arrival.spec.account = ClientAccountId("club");
  arrival.spec.service = ServiceId("desk");
  arrival.spec.call = "look";
  arrival.time_limit = absl::Seconds(5);
  return arrival;
}

TEST_CASE("a node refuses before it has a manifest and serves after") {
  LibraryBench bench;
  bench.Give(LookUp());
  REQUIRE(bench.finished.has_value());
  CHECK(bench.finished->outcome.reason == Reason::kNotFresh);
  CHECK(bench.finished->outcome.ran == Ran::kNo);
  bench.finished.reset();

  bench.RunUntil(bench.now() + absl::Seconds(30));
  CHECK(bench.node().Ready(bench.now()));
  bench.Give(LookUp());
  bench.RunUntil(bench.now() + absl::Seconds(2));
  REQUIRE(bench.finished.has_value());
  CHECK(bench.finished->outcome.reason == Reason::kOk);
  CHECK(*bench.finished->outcome.body == "seen");
}

TEST_CASE("a stopped node refuses and says that its stop is complete") {
  LibraryBench bench;
  bench.RunUntil(bench.now() + absl::Seconds(30));
  bench.Give(StopRequested{});
  CHECK_FALSE(bench.node().Ready(bench.now()));
  bench.Give(LookUp());
  REQUIRE(bench.finished.has_value());
  CHECK(bench.finished->outcome.reason == Reason::kStopping);
}

}  // namespace
}  // namespace umbertrail::core
