#include <catch2/catch.hpp>

#include "standins/config_state.h"

namespace umbertrail::standin {
namespace {

using nlohmann::json;

PublishedState State(int revision, const char* instance) {
  PublishedState state;
  state.head = {{"revision", revision}, {"parts", json::array()}};
  state.instances = json::array({{{"id", instance}}});
  return state;
}

ConfigState::Query Ask() {
  return ConfigState::Query();
}

TEST_CASE("lists lag behind the head and unchanged ones are left out") {
  ConfigState state;
  ConfigState::Faults faults;
  faults.list_lag = absl::Seconds(1);
  state.SetFaults(faults);
  const absl::Time start = absl::UnixEpoch();
  state.Publish(State(1, "a"), start);
  const json first = *state.Watch(Ask());
  CHECK(first["instances"][0]["id"] == "a");
  state.Publish(State(2, "b"), start);
  ConfigState::Query query;
  query.instances = first["instances_version"];
  const json second = *state.Watch(query);
  CHECK(second["head"]["revision"] == 2);
  CHECK_FALSE(second.contains("instances"));
  state.Advance(start + absl::Seconds(1));
  CHECK((*state.Watch(query))["instances"][0]["id"] == "b");
}

TEST_CASE("a stale service serves the past and one down serves nothing") {
  ConfigState state;
  state.Publish(State(1, "a"), absl::UnixEpoch());
  ConfigState::Faults faults;
  faults.stale = true;
  state.SetFaults(faults);
  state.Publish(State(2, "a"), absl::UnixEpoch());
  CHECK((*state.Watch(Ask()))["head"]["revision"] == 1);
  faults.down = true;
  state.SetFaults(faults);
  CHECK_FALSE(state.Watch(Ask()).has_value());
  state.SetFaults(ConfigState::Faults());
  CHECK((*state.Watch(Ask()))["head"]["revision"] == 2);
}

}  // namespace
}  // namespace umbertrail::standin
