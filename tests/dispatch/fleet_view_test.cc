#include "umbertrail/dispatch/fleet_view.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TargetEntry Entry(const std::string& id, bool draining = false) {
  TargetEntry entry;
  entry.id = TargetId(id);
  entry.service = ServiceId("s");
  entry.address = "10.0.0.1:80";
  entry.data_centre = DataCentreId("east");
  entry.draining = draining;
  return entry;
}

Revised ConfigAt(uint64_t revision, uint64_t version) {
  FleetConfig config;
  config.version = version;
  return {revision, ConfigChange{config}};
}

TEST_CASE("an older change never replaces a newer one") {
  FleetView view;
  CHECK(view.Apply({5, TargetChange{Entry("a", true)}}, kStart));
  CHECK_FALSE(view.Apply({4, TargetChange{Entry("a", false)}}, kStart));
  CHECK(view.Find(TargetId("a"))->draining);
  CHECK(view.Apply({6, TargetGone{TargetId("a")}}, kStart));
  CHECK_FALSE(view.Apply({5, TargetChange{Entry("a")}}, kStart));
  CHECK(view.Find(TargetId("a")) == nullptr);
}

TEST_CASE("the configuration never goes back to an older version") {
  FleetView view;
  CHECK(view.Apply(ConfigAt(5, 7), kStart));
  CHECK_FALSE(view.Apply(ConfigAt(6, 6), kStart));
  CHECK(view.config().version == 7);
  CHECK(view.Apply(ConfigAt(7, 9), kStart));
  CHECK(view.config().version == 9);
}

TEST_CASE("a draining target and a closed data centre get no work") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  CHECK(view.MayServe(*view.Find(TargetId("a"))));
  view.Apply({2, DataCentreClosed{DataCentreId("east")}}, kStart);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
  view.Apply({3, DataCentreReopened{DataCentreId("east")}}, kStart);
  CHECK(view.MayServe(*view.Find(TargetId("a"))));
  view.Apply({4, TargetChange{Entry("a", true)}}, kStart);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
}

TEST_CASE("what a whole reading doesn't name is gone") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  view.Apply({2, TargetChange{Entry("b")}}, kStart);
  view.Apply({3, DataCentreClosed{DataCentreId("east")}}, kStart);
  view.ApplyWhole({{2, TargetChange{Entry("b")}}}, 10, kStart);
  CHECK(view.Find(TargetId("a")) == nullptr);
  CHECK(view.Find(TargetId("b")) != nullptr);
  CHECK_FALSE(view.IsClosed(DataCentreId("east")));
}

TEST_CASE("a whole reading doesn't undo what came about after it") {
  FleetView view;
  view.Apply({12, TargetChange{Entry("new")}}, kStart);
  view.Apply({13, DataCentreClosed{DataCentreId("east")}}, kStart);
  view.ApplyWhole({}, 10, kStart);
  CHECK(view.Find(TargetId("new")) != nullptr);
  CHECK(view.IsClosed(DataCentreId("east")));
}

TEST_CASE("an entry that lapsed while the store was away has time to return") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("back")}}, kStart);
  view.Apply({2, TargetChange{Entry("lost")}}, kStart);
  const absl::Time back = kStart + absl::Seconds(5);
  view.NoteStoreReturn(kStart, back);
  view.Apply({3, TargetGone{TargetId("back")}}, back);
  view.Apply({4, TargetGone{TargetId("lost")}}, back);
  CHECK(view.MayServe(*view.Find(TargetId("lost"))));
  view.Apply({5, TargetChange{Entry("back")}}, back + absl::Seconds(1));
  view.ForgetLapsed(back + kLapseGrace);
  CHECK(view.Find(TargetId("back")) != nullptr);
  CHECK(view.Find(TargetId("lost")) == nullptr);
}

TEST_CASE("a target that drains has no grace after an outage") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a", true)}}, kStart);
  view.NoteStoreReturn(kStart, kStart + absl::Seconds(5));
  view.Apply({2, TargetGone{TargetId("a")}}, kStart + absl::Seconds(5));
  CHECK(view.Find(TargetId("a")) == nullptr);
}

TEST_CASE("a short outage lets no entry lapse") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  view.NoteStoreReturn(kStart, kStart + absl::Seconds(1));
  view.Apply({2, TargetGone{TargetId("a")}}, kStart + absl::Seconds(1));
  CHECK(view.Find(TargetId("a")) == nullptr);
}

TEST_CASE("coldness counts down from when the entry came") {
  FleetView view;
  TargetEntry entry = Entry("a");
  entry.cold_remaining = absl::Seconds(3);
  view.Apply({1, TargetChange{entry}}, kStart);
  CHECK(view.ColdUntil(TargetId("a")) == kStart + absl::Seconds(3));
  CHECK(view.ColdUntil(TargetId("unknown")) == absl::InfinitePast());
}

TEST_CASE("a confirmation never makes the view older") {
  FleetView view;
  view.Confirm(kStart);
  view.Confirm(kStart - absl::Seconds(1));
  CHECK(view.confirmed_at() == kStart);
}

}  // namespace
}  // namespace umbertrail::dispatch
