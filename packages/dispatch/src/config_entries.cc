#include "umbertrail/dispatch/config_entries.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "umbertrail/base/hash.h"

namespace umbertrail::dispatch {
namespace {

// Neither hosts, prefixes nor names of services contain it.
constexpr char kSeparator[] = "\n";

}  // namespace

ConfigEntry EntryOf(const Route& route) {
  std::string text =
      absl::StrCat("route", kSeparator, route.host, kSeparator, route.prefix,
                   kSeparator, static_cast<int>(route.repeat), kSeparator,
                   route.is_public ? "public" : "keyed");
  for (const WeightedService& part : route.services) {
    if (part.weight > 0) {
      absl::StrAppend(&text, kSeparator, part.service.text());
    }
  }
  return ConfigEntry(StableHash(text));
}

ConfigEntry EntryOf(absl::string_view key, const Account& account) {
  const uint64_t seed =
      StableHash(absl::StrCat("key", kSeparator, account.id.text()));
  return ConfigEntry(
      StableHash(std::string_view(key.data(), key.size()), seed));
}

std::vector<ConfigEntry> EntriesOf(const FleetConfig& config) {
  std::vector<ConfigEntry> entries;
  for (const Route& route : config.routes) {
    entries.push_back(EntryOf(route));
  }
  if (config.accounts_by_key) {
    for (const auto& [key, account] : *config.accounts_by_key) {
      entries.push_back(EntryOf(key, account));
    }
  }
  std::sort(entries.begin(), entries.end());
  entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
  return entries;
}

}  // namespace umbertrail::dispatch
