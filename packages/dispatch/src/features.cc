#include "umbertrail/dispatch/features.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace umbertrail::dispatch {
namespace {

struct NamedFeature {
  absl::string_view name;
  bool Features::*flag;
};

constexpr std::array<NamedFeature, 7> kFeatures = {{
    {"output-estimates", &Features::output_estimates},
    {"remaining-work", &Features::remaining_work},
    {"urgency", &Features::urgency},
    {"fair-shares", &Features::fair_shares},
    {"waiting-line", &Features::waiting_line},
    {"memory-plan", &Features::memory_plan},
    {"ordered-search", &Features::ordered_search},
}};

}  // namespace

std::optional<Features> FeaturesWithout(absl::string_view without) {
  Features features;
  for (absl::string_view name :
       absl::StrSplit(without, ',', absl::SkipEmpty())) {
    const bool enable = absl::ConsumePrefix(&name, "+");
    const auto* found =
        std::find_if(kFeatures.begin(), kFeatures.end(),
                     [&](const NamedFeature& one) { return one.name == name; });
    if (found == kFeatures.end()) {
      return std::nullopt;
    }
    features.*(found->flag) = enable;
  }
  return features;
}

}  // namespace umbertrail::dispatch
