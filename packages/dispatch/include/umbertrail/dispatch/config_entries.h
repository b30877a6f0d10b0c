#ifndef UMBERTRAIL_DISPATCH_CONFIG_ENTRIES_H_
#define UMBERTRAIL_DISPATCH_CONFIG_ENTRIES_H_

#include <cstdint>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"

// Digests of the routes and API keys of a configuration. Instances compare
// configurations by them; they disclose no key.

namespace umbertrail::dispatch {

// Digest of one route, or of one API key with its account; equal on every
// machine and in every build.
using ConfigEntry = Quantity<struct ConfigEntryTag, uint64_t>;

// Covers what decides where a request runs and whether it may: host, prefix,
// services, repetition and whether a key is required.
ConfigEntry EntryOf(const Route& route);
ConfigEntry EntryOf(absl::string_view key, const Account& account);

// The entries of a configuration, sorted and without duplicates.
std::vector<ConfigEntry> EntriesOf(const FleetConfig& config);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_CONFIG_ENTRIES_H_
