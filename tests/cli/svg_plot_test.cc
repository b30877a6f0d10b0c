#include "svg_plot.h"

#include <catch2/catch.hpp>

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

TEST_CASE("each curve is drawn, an empty one too") {
  const std::string svg =
      PlotDistributions("ms", {{"short", {1, 10, 100}}, {"long", {}}});
  CHECK_THAT(svg, Contains("short (3)") && Contains("long (0)"));
  CHECK_THAT(svg, Contains("</svg>") && !Contains("nan") && !Contains("inf"));
}

TEST_CASE("values without an extent are drawn within the picture") {
  const std::string svg = PlotDistributions("ms", {{"a", {10, 10, 0, -1}}});
  CHECK_THAT(svg, Contains("a (2)") && !Contains("nan"));
}

}  // namespace
}  // namespace umbertrail::cli
