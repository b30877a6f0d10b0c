#ifndef UMBERTRAIL_CORE_OWNER_OWNER_CONFIG_H_
#define UMBERTRAIL_CORE_OWNER_OWNER_CONFIG_H_

#include <cstddef>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::core {

// Settings of the owner side. The defaults suit a fleet of a few dozen
// targets as well as one of six hundred: all of them are per target.
struct OwnerConfig {
  // -- Reports and grants

  // Time between two polls of an owned target.
  absl::Duration poll_interval = absl::Seconds(1);
  // A target whose last report came longer ago than this may have restarted
  // unseen. More than a poll interval and a slow answer.
  absl::Duration report_overdue = absl::Milliseconds(1500);
  // A grant may be used this long after its request was sent.
  absl::Duration grant_window = absl::Milliseconds(250);
  // A place offered by AdmitReady is kept this long.
  absl::Duration claim_window = absl::Milliseconds(500);
  // A granted attempt that was not heard of for this long is silent: it is
  // charged until a report taken later shows it gone.
  absl::Duration grant_silence = absl::Seconds(12);
  // Failed polls in a row after which a target counts as unreachable. A refused
  // connection counts at once.
  int unreachable_after = 2;

  // -- Queue

  // Off: all prompts share one class, as a baseline for measurements.
  bool length_classes = true;
  // Queued requests of one target; more are refused as overloaded.
  size_t max_queued = 256;
  // Attempts that one engine runs at a time.
  int max_running = 128;
  // Prefills of 100 k tokens and more that one engine runs at a time.
  int max_long_prefills = 1;
  // Prefills of 8 k to 100 k tokens that one engine runs at a time.
  int max_medium_prefills = 2;
  // Short prompts are granted while the short prefill work in front of them
  // takes no longer than this. The rest waits here, where order can change.
  absl::Duration max_short_backlog = absl::Milliseconds(400);
  // Part of a target's budget that only short prompts may use.
  double short_share = 0.15;
  // A waiting prompt goes before shorter ones once this part of its slack is
  // spent.
  double ageing_share = 0.25;
  // Times that one request may be suspended on a target.
  int max_suspensions = 2;
  // A short prompt that waited this long for memory may suspend a long one.
  absl::Duration short_wait_limit = absl::Seconds(1);
  // Calls that a plain service runs at a time, and at most while it is cold.
  Tokens service_concurrency{8};
  Tokens service_cold_concurrency{2};

  // -- Memory of things past

  // Prefixes remembered per target.
  size_t max_prefixes = 4096;
  // Tokens of calls that may not be repeated, remembered per target.
  size_t max_once_tokens = 16384;
  // A holder that is not listed and was not heard of for this long is gone.
  absl::Duration holder_silence = absl::Seconds(40);
  // Time that a holder has to free the memory of an attempt that it settled.
  absl::Duration free_grace = absl::Seconds(10);
  // A silent call of a plain service, whose reports name no requests, is
  // dropped after this time.
  absl::Duration service_silence = absl::Seconds(30);
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_OWNER_CONFIG_H_
