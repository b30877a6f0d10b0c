#include <catch2/catch.hpp>

#include "fleet_support.h"

namespace umbertrail::core {
namespace {

manifest::Manifest Closing(uint64_t revision, int data_centre) {
  manifest::Manifest m = MakeManifest(revision);
  m.data_centres[data_centre].open = false;
  return m;
}

TEST_CASE("a fleet starts, agrees and is ready") {
  TestFleet fleet(5);
  fleet.Run(absl::Seconds(8));
  for (int i = 0; i < 5; ++i) {
    CHECK(fleet.At(i).Ready(fleet.now));
    CHECK(fleet.At(i).revision() == ManifestRevision(1));
    CHECK(fleet.At(i).manifest_fault().empty());
  }
}

TEST_CASE("a closed data centre is barred everywhere in time") {
  TestFleet fleet(5);
  fleet.Run(absl::Seconds(8));
  // One instance alone reaches the service.
  for (int i = 1; i < 5; ++i) {
    fleet.members[i].reaches_service = false;
  }
  fleet.Publish(Closing(2, 0));
  fleet.Run(absl::Seconds(5));
  for (int i = 0; i < 5; ++i) {
    CHECK(fleet.At(i).revision() == ManifestRevision(2));
    CHECK(fleet.At(i).Barred(TargetId("engine-0"), fleet.now).has_value());
    CHECK_FALSE(fleet.At(i).Barred(TargetId("engine-1"), fleet.now));
    CHECK(fleet.At(i).MayDispatch(fleet.now));
  }
}

TEST_CASE("an older head is ignored and counted") {
  TestFleet fleet(3);
  fleet.Publish(MakeManifest(5));
  fleet.Run(absl::Seconds(8));
  fleet.Publish(MakeManifest(4));
  fleet.Run(absl::Seconds(4));
  CHECK(fleet.At(0).revision() == ManifestRevision(5));
  CHECK(fleet.At(0).stale_heads_ignored() > 0);
  CHECK(fleet.At(0).MayDispatch(fleet.now));  // its peers confirm
}

TEST_CASE("a revision with other parts is refused and raised") {
  TestFleet fleet(3);
  fleet.Run(absl::Seconds(8));
  fleet.Publish(Closing(1, 0));
  fleet.Run(absl::Seconds(4));
  CHECK(fleet.At(0).conflicting_heads_refused() > 0);
  CHECK_FALSE(fleet.At(0).manifest_fault().empty());
  CHECK_FALSE(fleet.At(0).Barred(TargetId("engine-0"), fleet.now));
}

TEST_CASE("an invalid manifest is refused whole and the last one stays") {
  TestFleet fleet(3);
  fleet.Run(absl::Seconds(8));
  manifest::Manifest bad = Closing(2, 0);
  bad.models[0].min_serving = 99;
  fleet.Publish(bad);
  fleet.Run(absl::Seconds(4));
  CHECK(fleet.At(0).revision() == ManifestRevision(1));
  CHECK(fleet.At(0).manifest_fault().find("min_serving") != std::string::npos);
  CHECK(fleet.At(0).MayDispatch(fleet.now));
  fleet.Publish(Closing(3, 0));
  fleet.Run(absl::Seconds(4));
  CHECK(fleet.At(0).revision() == ManifestRevision(3));
  CHECK(fleet.At(0).manifest_fault().empty());
}

TEST_CASE("a restart beside a stale service takes what its peers hold") {
  TestFleet fleet(4);
  fleet.Publish(Closing(7, 0));
  fleet.Run(absl::Seconds(8));
  fleet.Publish(MakeManifest(3));
  fleet.Restart(2);
  for (int i = 0; i < 100; ++i) {
    fleet.Run(absl::Milliseconds(100));
    const bool ready = fleet.At(2).Ready(fleet.now);
    REQUIRE((!ready || fleet.At(2).revision() == ManifestRevision(7)));
  }
  CHECK(fleet.At(2).Ready(fleet.now));
}

TEST_CASE("a new instance alone waits for what targets were ordered under") {
  TestFleet fleet(1);
  TargetReport report;
  report.boot = BootId("a");
  report.fence = ManifestRevision(9);
  fleet.Run(absl::Seconds(1));
  fleet.At(0).OnTargetReport(fleet.now, TargetId("engine-0"), report);
  fleet.Run(absl::Seconds(100));
  CHECK_FALSE(fleet.At(0).Ready(fleet.now));
  CHECK_FALSE(fleet.At(0).manifest_fault().empty());
  fleet.Publish(MakeManifest(9));
  fleet.Run(absl::Seconds(4));
  CHECK(fleet.At(0).Ready(fleet.now));
}

TEST_CASE("nothing is dispatched after a pause until a fresh answer") {
  const bool mutated = GENERATE(false, true);
  Mutations mutations;
  mutations.dispatch_unfresh_after_pause = mutated;
  TestFleet fleet(3, 1, mutations);
  fleet.Run(absl::Seconds(8));
  fleet.members[0].running = false;
  fleet.Run(absl::Seconds(30));
  // Before any event tells of the pause.
  CHECK(fleet.At(0).MayDispatch(fleet.now) == mutated);
  // A word that may have waited in a buffer confirms nothing.
  Actions actions;
  const PeerEnvelope old{fleet.members[1].self, ManifestRevision(1), false,
                         HeadOffer{77, fleet.head}};
  fleet.At(0).OnPeer(fleet.now, old, &actions);
  CHECK(fleet.At(0).MayDispatch(fleet.now) == mutated);
  fleet.At(0).OnHeadRead(fleet.now, {fleet.head}, &actions);
  CHECK(fleet.At(0).MayDispatch(fleet.now) == mutated);
  fleet.members[0].running = true;
  fleet.Run(absl::Seconds(1));
  CHECK(fleet.At(0).MayDispatch(fleet.now));
}

TEST_CASE("out of touch with service and peers, new work stops") {
  TestFleet fleet(4);
  fleet.Run(absl::Seconds(8));
  fleet.members[0].side = 1;
  fleet.members[0].reaches_service = false;
  fleet.Run(absl::Seconds(6));
  CHECK_FALSE(fleet.At(0).MayDispatch(fleet.now));
  CHECK(fleet.At(1).MayDispatch(fleet.now));
  fleet.members[0].side = 0;
  fleet.Run(absl::Seconds(2));
  CHECK(fleet.At(0).MayDispatch(fleet.now));
}

TEST_CASE("without the service peers go on for hours") {
  TestFleet fleet(4);
  fleet.Run(absl::Seconds(8));
  for (Member& it : fleet.members) {
    it.reaches_service = false;
  }
  for (int i = 0; i < 120; ++i) {
    fleet.Run(absl::Minutes(1));
    REQUIRE(fleet.At(i % 4).MayDispatch(fleet.now));
  }
}

}  // namespace
}  // namespace umbertrail::core
