#ifndef UMBERTRAIL_CORE_TYPES_H_
#define UMBERTRAIL_CORE_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::core {

// Request or answer bytes, shared and never changed.
using Body = std::shared_ptr<const std::string>;

// -- Requests

enum class RequestKind { kCompletion, kServiceCall };

// Length classes by prompt size: the scheduler's queues and the measures' rows.
enum class LengthClass { kShort, kMedium, kLong };

// Prompts below this many tokens are short.
inline constexpr Tokens kMediumFrom{8000};
// Prompts from this many tokens on are long.
inline constexpr Tokens kLongFrom{100000};

constexpr LengthClass ClassOf(Tokens prompt) {
  if (prompt < kMediumFrom) {
    return LengthClass::kShort;
  }
  return prompt < kLongFrom ? LengthClass::kMedium : LengthClass::kLong;
}

// Hash of the first `length` tokens of a prompt. Requests carry marks at
// lengths 1024, 2048, 4096, ..., so that a probe stays small at a million
// tokens.
struct PrefixMark {
  Tokens length;
  PrefixHash hash;
};

// Permission to submit one call that may not be repeated. Only `issuer` may
// redeem it. `mac` covers all other fields under a key of that incarnation.
struct Ticket {
  InstanceRef issuer;
  uint64_t serial = 0;
  ClientAccountId account;
  ServiceId service;
  std::string call;
  std::string mac;
};

// What is asked, without its body.
struct RequestSpec {
  RequestId id;
  RequestKind kind = RequestKind::kCompletion;
  ClientAccountId account;
  ModelId model;
  AdapterId adapter;
  Tokens prompt;
  Tokens max_output;
  std::vector<PrefixMark> prefix;
  Fingerprint fingerprint;
  ServiceId service;
  std::string call;
  std::optional<Ticket> ticket;
  // A key chosen by the caller for a call that may not be repeated.
  std::string idempotency_key;
};

// -- Outcomes

// Whether any part of a request has run on a target. kNo is said only while
// nothing was written to a target, or when the target itself said so.
enum class Ran { kNo, kUnknown, kYes };

enum class Reason {
  kOk,
  kMalformed,           // body, header or number that makes no sense
  kUnauthorised,        // unknown account or wrong key
  kForbidden,           // account has no right to the model or service
  kUnknownModel,        // no such model, adapter, service or call
  kTooLong,             // over the model's context limit
  kTicketRequired,      // call may not be repeated and came without a ticket
  kTicketInvalid,       // forged, expired or for another call
  kTicketUsed,          // redeemed before; the first outcome is not kept
  kIssuerGone,          // the incarnation that could redeem it is not there
  kQuarantined,         // targets died running this content
  kOverAccountLimit,    // the account's rate or tokens in flight
  kOverloaded,          // no target can take it now
  kDeadlineInfeasible,  // it cannot finish in its time
  kDeadlineExceeded,    // its time passed
  kNoTarget,            // nothing serves it at present
  kNotFresh,            // this instance cannot confirm what is in force
  kStopping,            // this instance is leaving
  kRetriesExhausted,    // attempts failed until its retries were spent
  kTargetFailed,        // the target answered with a failure
  kCallerGone,          // the caller closed its connection
};

// The one final outcome of a request.
struct Outcome {
  Reason reason = Reason::kOk;
  Ran ran = Ran::kNo;
  // Whole answer's length in tokens (completions) when reason is kOk.
  Tokens total;
  // Whole answer of a service call.
  Body body;
  // When to come back; zero means that coming back doesn't help.
  absl::Duration retry_after;
  std::string detail;
};

// -- The fleet as the platform lists it

struct InstanceInfo {
  InstanceId id;  // IP number and port of its peer listener
  DataCentreId data_centre;
  bool leaving = false;
};

enum class TargetKind { kEngine, kService };

struct TargetInfo {
  TargetId id;
  TargetKind kind = TargetKind::kEngine;
  std::string address;  // IP number and port
  DataCentreId data_centre;
  ServiceId service;         // of a kService target
  std::string engine_class;  // of a kEngine target
  bool leaving = false;
};

// -- What targets report

enum class TargetState { kCold, kWarm, kLeaving };

// Engine memory held for a request, tagged with the incarnation that asked.
struct Allocation {
  InstanceRef holder;
  RequestId request;
  Tokens tokens;
};

// A prefix entered or left the engine's cache. `sequence` counts from 1 within
// a boot; a jump means lost events.
struct CacheEvent {
  uint64_t sequence = 0;
  bool added = true;
  PrefixMark mark;
};

// A target's lagging report of itself.
struct TargetReport {
  BootId boot;
  TargetState state = TargetState::kWarm;
  // Age of the figures when they were answered.
  absl::Duration age;
  int running = 0;
  Tokens tokens_in_flight;
  Tokens memory_used;
  Tokens memory_total;
  // What it serves, and the fencing number of the order that set it.
  ModelId model;
  std::string version;
  std::vector<AdapterId> adapters;
  ManifestRevision fence;
  std::vector<Allocation> allocations;
  std::vector<CacheEvent> cache_events;
};

// A wanted state, as an order to a target.
struct Order {
  ManifestRevision fence;
  ModelId model;
  std::string version;
  std::vector<AdapterId> adapters;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_TYPES_H_
