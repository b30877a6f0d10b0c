#include "umbertrail/daemon/request_table.h"

#include <catch2/catch.hpp>

namespace umbertrail::daemon {
namespace {

const RequestId kId("r~1-1");
const ClientAccountId kAccount("club");

core::RelayChunk Chunk(int64_t offset, const std::string& text) {
  return core::RelayChunk{kId, Tokens(offset), Tokens(1), text};
}

TEST_CASE("actions reach the request's channel in order") {
  RequestTable table;
  const auto channel = table.Open(kId, kAccount, "r", 100);
  REQUIRE(channel != nullptr);
  table.Relay(Chunk(0, "a"));
  table.Finish(core::FinishRequest{kId, {}});
  CHECK(std::holds_alternative<core::RelayChunk>(
      channel->Take(absl::Seconds(1))));
  CHECK(std::holds_alternative<core::Outcome>(channel->Take(absl::Seconds(1))));
  CHECK(
      std::holds_alternative<NothingYet>(channel->Take(absl::ZeroDuration())));
}

TEST_CASE("a caller's id is taken until its request is closed") {
  RequestTable table;
  REQUIRE(table.Open(kId, kAccount, "r", 100) != nullptr);
  CHECK(table.Open(RequestId("r~1-2"), kAccount, "r", 100) == nullptr);
  CHECK(table.Open(RequestId("r~1-3"), ClientAccountId("other"), "r", 100) !=
        nullptr);
  table.Close(kId);
  CHECK(table.Open(RequestId("r~1-4"), kAccount, "r", 100) != nullptr);
  CHECK(table.size() == 2);
}

TEST_CASE("an answer that outgrows its limit is cut off as such") {
  RequestTable table;
  const auto channel = table.Open(kId, kAccount, "r", 10);
  table.Relay(Chunk(0, "12345"));
  table.Relay(Chunk(1, "1234567"));
  table.Relay(Chunk(2, "1"));
  CHECK(std::holds_alternative<RelayOverflow>(
      channel->Take(absl::ZeroDuration())));
  CHECK(
      std::holds_alternative<NothingYet>(channel->Take(absl::ZeroDuration())));
}

TEST_CASE("actions for a closed request are dropped") {
  RequestTable table;
  table.Open(kId, kAccount, "r", 100);
  table.Close(kId);
  table.Relay(Chunk(0, "a"));
  table.Close(kId);
  CHECK(table.size() == 0);  // NOLINT(readability-container-size-empty)
}

}  // namespace
}  // namespace umbertrail::daemon
