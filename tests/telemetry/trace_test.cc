#include "umbertrail/telemetry/trace.h"

#include <catch2/catch.hpp>
#include <string>

namespace umbertrail::telemetry {
namespace {

constexpr char kValid[] =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST_CASE("a traceparent survives parsing and formatting") {
  const auto context = ParseTraceparent(kValid);
  REQUIRE(context);
  CHECK(context->trace == TraceId{0x4bf92f3577b34da6, 0xa3ce929d0e0e4736});
  CHECK(context->span == SpanId(0x00f067aa0ba902b7));
  CHECK(context->sampled);
  CHECK(FormatTraceparent(*context) == kValid);
}

TEST_CASE("a malformed traceparent is refused") {
  const std::string valid = kValid;
  const auto malformed =
      GENERATE_COPY(std::string(), valid.substr(0, 54), valid + "-00",
                    valid + "0", "ff" + valid.substr(2), "0G" + valid.substr(2),
                    "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                    "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                    "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                    "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                    "01" + valid.substr(2) + "x");
  CHECK_FALSE(ParseTraceparent(malformed));
}

TEST_CASE("a later version may carry more fields") {
  const std::string later = "01" + std::string(kValid).substr(2) + "-extra";
  CHECK(ParseTraceparent(later));
}

TEST_CASE("a request's trace depends on its id alone") {
  CHECK(TraceOf(RequestId("r1")) == TraceOf(RequestId("r1")));
  CHECK_FALSE(TraceOf(RequestId("r1")) == TraceOf(RequestId("r2")));
  CHECK(TraceOf(RequestId()).valid());
}

TEST_CASE("the sampler keeps about its fraction and what callers sampled") {
  const HeadSampler sampler(0.25);
  int kept = 0;
  for (int i = 0; i < 4000; ++i) {
    const TraceId trace = TraceOf(RequestId("r" + std::to_string(i)));
    kept += sampler.Sample(trace, false) ? 1 : 0;
    REQUIRE(sampler.Sample(trace, true));
  }
  CHECK(kept > 900);
  CHECK(kept < 1100);
  CHECK_FALSE(HeadSampler(0).Sample(TraceId{1, 0}, false));
}

}  // namespace
}  // namespace umbertrail::telemetry
