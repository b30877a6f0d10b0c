#ifndef UMBERTRAIL_DISPATCH_CONFIG_H_
#define UMBERTRAIL_DISPATCH_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

// The operator's configuration and the targets' entries as plain values. All
// times come from one clock that also advances while the machine is suspended.

namespace umbertrail::dispatch {

// Retry semantics of the requests on a route.
enum class Repeat {
  // At most one execution per request.
  kNever,
  // Idempotent: any number of executions.
  kSafe,
  // A stream that may be executed at most once.
  kStream,
  // A stream that another target may resume after the last forwarded event.
  kResumableStream,
};

// True if a request may be resent although it may have been executed.
bool MayRunAgain(Repeat repeat);
bool IsStream(Repeat repeat);

struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  Repeat repeat = Repeat::kNever;
  // Maximum duration of a request.
  absl::Duration timeout;
  // Latency objective for the response, or the first event of a stream.
  absl::Duration aim;
  // Objective for the longest pause between two events.
  absl::Duration gap_aim;
  // 0 is the most urgent; an account's own priority precedes it.
  int priority = 0;
  // Never empty in a valid configuration.
  std::vector<WeightedService> services;
  // Maximum targets to which one request may be sent.
  int max_attempts = 1;
  // No API key is required.
  bool is_public = false;
};

// Parameters of the cost model of a service's engines.
struct EngineModel {
  int slots = 1;
  Tokens kv_capacity;
  double step_ms = 0;
  double step_ms_per_request = 0;
  double step_ms_per_1k_context = 0;
  double prefill_tokens_per_s = 0;
  double attention_ms_per_million_pairs = 0;
  int chunk_tokens = 0;
  int steps_per_pass = 1;
  double mean_output_tokens = 0;
};

struct Service {
  ServiceId id;
  int max_connections = 0;
  // Requests per second that a cold target sustains; 0 if it is never cold.
  double cold_requests_per_s = 0;
  std::optional<EngineModel> engine;
};

// Bounds on what clients send.
struct ClientLimits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 4194304;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

struct Account {
  ClientAccountId id;
  // As in Route; none if the configuration states none for the account.
  std::optional<int> priority;
};

// One version of the operator's configuration.
struct FleetConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  ClientLimits limits;
  // By API key. None if the configuration has no accounts: then no key is
  // required. Accounts may hold no key, which then admits nobody.
  std::optional<absl::flat_hash_map<std::string, Account>> accounts_by_key;
};

// A target's own registration.
struct TargetEntry {
  TargetId id;
  ServiceId service;
  // IP:PORT.
  std::string address;
  DataCentreId data_centre;
  int slots = 1;
  bool draining = false;
  // Remaining warm-up time when the target wrote the entry.
  absl::Duration cold_remaining;
  // Start time of the target's process by its own clock; distinguishes two
  // incarnations.
  int64_t born_ms = 0;

  friend bool operator==(const TargetEntry& a, const TargetEntry& b) {
    return a.id == b.id && a.service == b.service && a.address == b.address &&
           a.data_centre == b.data_centre && a.slots == b.slots &&
           a.draining == b.draining && a.cold_remaining == b.cold_remaining &&
           a.born_ms == b.born_ms;
  }
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_CONFIG_H_
