#include "umbertrail/telemetry/names.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace umbertrail::telemetry {
namespace {

TEST_CASE("every reason has a name of its own") {
  constexpr int kLast = static_cast<int>(core::Reason::kCallerGone);
  std::set<std::string_view> names;
  for (int i = 0; i <= kLast; ++i) {
    names.insert(NameOf(static_cast<core::Reason>(i)));
  }
  CHECK(names.size() == kLast + 1);
  CHECK(names.count("unknown") == 0);
}

TEST_CASE("messages are named by their kind") {
  CHECK(NameOf(core::PeerPayload(core::ProbeRequest())) == "probe_request");
  CHECK(NameOf(core::PeerPayload(core::OwnerHandover())) == "owner_handover");
  CHECK(NameOf(core::PeerPayload(core::ScreenEnded())) == "screen_ended");
  CHECK(NameOf(core::PeerPayload(core::KeyEnded())) == "key_ended");
}

}  // namespace
}  // namespace umbertrail::telemetry
