#include "commands.h"

#include "absl/strings/str_cat.h"

namespace umbertrail::sim {
namespace {

const char* const kNames[] = {
    "prompt",        "poison",        "filing",
    "crash",         "pause",         "partition",
    "unruly_links",  "config_down",   "config_stale",
    "lists_differ",  "target_dies",   "target_cold",
    "target_silent", "target_leaves", "data_centre",
    "version",       "stop",          "filing_under_fire",
    "burst",
};

}  // namespace

std::string Describe(const Command& command) {
  return absl::StrCat(kNames[static_cast<int>(command.kind)], "(", command.a,
                      ",", command.b, ",", command.c, ") then ", command.gap_ms,
                      " ms");
}

}  // namespace umbertrail::sim
