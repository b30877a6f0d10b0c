#include "platform/wire_names.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

// The platform's names are used only in the adapter.

namespace umbertrail::adapter {
namespace {

namespace fs = std::filesystem;

std::string TextOf(const fs::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("no package outside the adapter contains the platform's names") {
  // wire::kTimeLeftMs is not listed: it is also a header of our own interface.
  const char* const names[] = {wire::kAttemptId,      wire::kExpectInstance,
                               wire::kTenant,         wire::kTokenCounts,
                               wire::kNotExecuted,    wire::kHelpers,
                               wire::kUrgency,        wire::kExpectVersion,
                               wire::kAtServer,       wire::kLastEventId,
                               wire::kResponseSeal,   wire::kRangePath,
                               wire::kWatchPath,      wire::kConfigKey,
                               wire::kEvacuatePrefix, wire::kSettingsVariable,
                               "cold_remaining_ms",   "traffic_split",
                               "target_latency_ms",   "gap_aim_ms",
                               "store_revision",      "more_pages",
                               "internal_ports",      "node_name",
                               "op/evacuate",         "/readiness"};
  int files = 0;
  for (const auto& entry : fs::recursive_directory_iterator(
           fs::path(UMBERTRAIL_ROOT) / "packages")) {
    const std::string extension = entry.path().extension().string();
    if (extension != ".h" && extension != ".cc") {
      continue;
    }
    ++files;
    const std::string text = TextOf(entry.path());
    for (const char* name : names) {
      CAPTURE(entry.path().string(), name);
      CHECK(text.find(name) == std::string::npos);
    }
  }
  CHECK(files > 100);
}

}  // namespace
}  // namespace umbertrail::adapter
