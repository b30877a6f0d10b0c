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

TEST_CASE("the configuration's age runs while the store's can't be read") {
  FleetView view;
  view.Apply(ConfigAt(5, 7), kStart);
  view.RecordConfirmation(kStart + absl::Seconds(1));
  CHECK(view.config_confirmed_at() == kStart + absl::Seconds(1));
  CHECK(view.Apply({6, ConfigUnreadable{}}, kStart + absl::Seconds(2)));
  CHECK(view.Apply({7, ConfigUnreadable{}}, kStart + absl::Seconds(3)));
  CHECK_FALSE(view.Apply({6, ConfigUnreadable{}}, kStart + absl::Seconds(3)));
  view.RecordConfirmation(kStart + absl::Seconds(9));
  CHECK(view.confirmed_at() == kStart + absl::Seconds(9));
  CHECK(view.config_confirmed_at() == kStart + absl::Seconds(2));
  CHECK(view.config().version == 7);
  // An older version doesn't end it.
  CHECK_FALSE(view.Apply(ConfigAt(8, 6), kStart + absl::Seconds(9)));
  CHECK(view.config_confirmed_at() == kStart + absl::Seconds(2));
  CHECK(view.Apply(ConfigAt(9, 8), kStart + absl::Seconds(9)));
  CHECK(view.config_confirmed_at() == kStart + absl::Seconds(9));
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

TEST_CASE("a snapshot removes entries that it lacks") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  view.Apply({2, TargetChange{Entry("b")}}, kStart);
  view.Apply({3, DataCentreClosed{DataCentreId("east")}}, kStart);
  view.ApplySnapshot({{2, TargetChange{Entry("b")}}}, 10, kStart);
  CHECK(view.Find(TargetId("a")) == nullptr);
  CHECK(view.Find(TargetId("b")) != nullptr);
  CHECK_FALSE(view.IsClosed(DataCentreId("east")));
}

TEST_CASE("a snapshot doesn't undo later changes") {
  FleetView view;
  view.Apply({12, TargetChange{Entry("new")}}, kStart);
  view.Apply({13, DataCentreClosed{DataCentreId("east")}}, kStart);
  view.ApplySnapshot({}, 10, kStart);
  CHECK(view.Find(TargetId("new")) != nullptr);
  CHECK(view.IsClosed(DataCentreId("east")));
}

TEST_CASE("entries that expired in a store outage get a grace period") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("back")}}, kStart);
  view.Apply({2, TargetChange{Entry("lost")}}, kStart);
  const absl::Time restored_at = kStart + absl::Seconds(5);
  view.RecordStoreOutage(kStart, restored_at);
  view.Apply({3, TargetGone{TargetId("back")}}, restored_at);
  view.Apply({4, TargetGone{TargetId("lost")}}, restored_at);
  CHECK(view.MayServe(*view.Find(TargetId("lost"))));
  view.Apply({5, TargetChange{Entry("back")}}, restored_at + absl::Seconds(1));
  view.RemoveExpired(restored_at + kExpiryGrace);
  CHECK(view.Find(TargetId("back")) != nullptr);
  CHECK(view.Find(TargetId("lost")) == nullptr);
}

TEST_CASE("a draining target gets no grace period after an outage") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a", true)}}, kStart);
  view.RecordStoreOutage(kStart, kStart + absl::Seconds(5));
  view.Apply({2, TargetGone{TargetId("a")}}, kStart + absl::Seconds(5));
  CHECK(view.Find(TargetId("a")) == nullptr);
}

TEST_CASE("a short outage grants no grace period") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  view.RecordStoreOutage(kStart, kStart + absl::Seconds(1));
  view.Apply({2, TargetGone{TargetId("a")}}, kStart + absl::Seconds(1));
  CHECK(view.Find(TargetId("a")) == nullptr);
}

TEST_CASE("warm-up is timed from the receipt of the entry") {
  FleetView view;
  TargetEntry entry = Entry("a");
  entry.cold_remaining = absl::Seconds(3);
  view.Apply({1, TargetChange{entry}}, kStart);
  CHECK(view.ColdUntil(TargetId("a")) == kStart + absl::Seconds(3));
  CHECK(view.ColdUntil(TargetId("unknown")) == absl::InfinitePast());
}

TEST_CASE("an earlier confirmation doesn't replace a later one") {
  FleetView view;
  view.RecordConfirmation(kStart);
  view.RecordConfirmation(kStart - absl::Seconds(1));
  CHECK(view.confirmed_at() == kStart);
}

TargetEntry Born(const std::string& id, int64_t born_ms, bool draining) {
  TargetEntry entry = Entry(id, draining);
  entry.born_ms = born_ms;
  return entry;
}

// Restores the store from exactly `copy`.
void RestoreStore(FleetView* view,
                  const std::vector<Revised>& copy,
                  uint64_t revision,
                  absl::Time now) {
  view->ApplySnapshot(view->HandleStoreRestore(copy, now), revision, now);
}

TEST_CASE("lower revisions are accepted after a store restore") {
  FleetView view;
  view.Apply(ConfigAt(50, 7), kStart);
  view.Apply({60, TargetChange{Born("a", 1, false)}}, kStart);
  RestoreStore(&view,
               {ConfigAt(20, 7), {21, TargetChange{Born("a", 1, false)}}}, 30,
               kStart);
  CHECK(view.Apply({31, TargetChange{Born("b", 1, false)}}, kStart));
  CHECK(view.Find(TargetId("b")) != nullptr);
  CHECK(view.Apply(ConfigAt(32, 8), kStart));
  CHECK(view.config().version == 8);
  CHECK(view.Apply({33, TargetChange{Born("a", 1, true)}}, kStart));
  CHECK(view.Find(TargetId("a"))->draining);
}

TEST_CASE("a restored store doesn't revert the configuration") {
  FleetView view;
  view.Apply(ConfigAt(50, 7), kStart);
  RestoreStore(&view, {ConfigAt(20, 5)}, 30, kStart);
  CHECK(view.config().version == 7);
  // A copy without a configuration.
  RestoreStore(&view, {}, 10, kStart);
  CHECK(view.config().version == 7);
}

TEST_CASE("a restored store doesn't revive ended target incarnations") {
  FleetView view;
  view.Apply({1, TargetChange{Born("drains", 1, true)}}, kStart);
  view.Apply({2, TargetChange{Born("anew", 1, false)}}, kStart);
  view.Apply({3, TargetChange{Born("anew", 2, false)}}, kStart);
  view.Apply({4, TargetChange{Born("gone", 1, false)}}, kStart);
  view.Apply({5, TargetGone{TargetId("gone")}}, kStart);
  RestoreStore(&view,
               {{1, TargetChange{Born("drains", 1, false)}},
                {2, TargetChange{Born("anew", 1, false)}},
                {4, TargetChange{Born("gone", 1, false)}}},
               4, kStart);
  CHECK(view.Find(TargetId("drains"))->draining);
  CHECK(view.Find(TargetId("anew"))->born_ms == 2);
  CHECK(view.Find(TargetId("gone")) == nullptr);
  // A registration that the target writes after the store's restoration is
  // accepted.
  view.Apply({6, TargetChange{Born("gone", 1, false)}}, kStart);
  CHECK(view.Find(TargetId("gone")) != nullptr);
}

TEST_CASE("entries missing from a restored store get a grace period") {
  FleetView view;
  view.Apply({1, TargetChange{Entry("a")}}, kStart);
  view.Apply({2, TargetChange{Entry("b")}}, kStart);
  view.Apply({3, DataCentreClosed{DataCentreId("west")}}, kStart);
  view.Apply({4, DataCentreClosed{DataCentreId("north")}}, kStart);
  RestoreStore(&view, {}, 1, kStart);
  CHECK(view.Find(TargetId("a")) != nullptr);
  CHECK(view.IsClosed(DataCentreId("west")));
  view.Apply({2, TargetChange{Entry("b")}}, kStart);
  view.Apply({3, DataCentreClosed{DataCentreId("north")}}, kStart);
  CHECK_FALSE(
      view.RemoveExpired(kStart + kExpiryGrace - absl::Milliseconds(1)));
  CHECK(view.RemoveExpired(kStart + kExpiryGrace));
  CHECK(view.Find(TargetId("a")) == nullptr);
  CHECK(view.Find(TargetId("b")) != nullptr);
  CHECK_FALSE(view.IsClosed(DataCentreId("west")));
  CHECK(view.IsClosed(DataCentreId("north")));
}

TEST_CASE("an incarnation that announced its shutdown gets no work") {
  FleetView view;
  view.Apply({1, TargetChange{Born("a", 5, false)}}, kStart);
  view.RecordShutdown(TargetId("a"), 5, kStart);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
  // Earlier registrations, and those that a copy restores, don't change it.
  view.Apply({2, TargetChange{Born("a", 5, false)}}, kStart);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
  view.Apply({3, TargetGone{TargetId("a")}}, kStart);
  view.Apply({4, TargetChange{Born("a", 5, false)}}, kStart);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
  view.RemoveExpired(kStart + 2 * kEndedRetention);
  CHECK_FALSE(view.MayServe(*view.Find(TargetId("a"))));
  view.Apply({5, TargetChange{Born("a", 6, false)}}, kStart);
  CHECK(view.MayServe(*view.Find(TargetId("a"))));
}

}  // namespace
}  // namespace umbertrail::dispatch
