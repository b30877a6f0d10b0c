#ifndef UMBERTRAIL_CORE_REQUEST_ACTIVE_REQUEST_H_
#define UMBERTRAIL_CORE_REQUEST_ACTIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/request/answer_assembler.h"

namespace umbertrail::core {

// Where a request stands at its receiving instance.
enum class Phase {
  kHeld,       // waits to be tried again
  kKeyGrants,  // waits for the homes of its key
  kProbing,    // waits for probes and for its screening home
  kAdmitting,  // asked an owner
  kQueued,     // has a place in an owner's queue
  kChecking,   // granted; asks the targets whether they restarted since
  kRunning,    // on a target
  kForwarded,  // passed to the issuer of its ticket
  kFollowing,  // another request under the same ticket runs
};

// A phase's name in lower case, for status pages.
const char* PhaseName(Phase phase);

// One target's answer to a probe.
struct ProbeState {
  TargetId target;
  InstanceId owner;
  std::optional<ProbeReply> reply;
};

// A place held or asked for on one target.
struct Place {
  TargetId target;
  InstanceId owner;
  Tokens held;
  BootId boot;
  // The owner asks for its boot to be read before anything is sent.
  bool read_boot = false;
};

// Everything that the receiving instance holds of one request.
struct ActiveRequest {
  RequestSpec spec;
  Body body;
  // The id that the asking instance knows, when it came by SubmitForward.
  RequestId forwarded_id;
  InstanceId forwarded_from;

  bool holds_account_share = false;
  absl::Time arrived;
  absl::Time deadline;
  // Next time that this request wants attention, other than its deadline.
  absl::Time wake = absl::InfiniteFuture();

  Phase phase = Phase::kHeld;
  AttemptNumber attempt{0};

  // Probing.
  absl::Time probing_since;
  uint64_t probe_id = 0;
  std::vector<ProbeState> probes;
  int probe_rounds = 0;
  // Targets that this request doesn't try again for now.
  std::set<TargetId> excluded;

  // Screening.
  bool screened = false;
  bool suspect = false;
  // The homes asked for the present run; they count it until they are told
  // its end.
  std::vector<InstanceId> screen_homes;
  std::set<InstanceId> screen_agreed;
  // All that were asked, also those found out of reach.
  std::set<InstanceId> screen_tried;
  // How many of the homes are no longer waited for.
  std::size_t screen_passed_over = 0;
  // Every home that agreed knows of no death and no other open run.
  bool screen_clean = true;
  // One of them is old enough to know what came before.
  bool screen_vouched = false;
  // Targets that died under this request.
  uint32_t deaths_seen = 0;
  AttemptNumber screen_attempt{0};

  // Admission.
  uint32_t sequence = 0;
  absl::Time asked_at;
  absl::Duration predicted_first_token;
  int admissions = 0;
  // The place asked for at present.
  Place asking;
  // Places granted so far: one, or several for a prompt that spans targets.
  std::vector<Place> places;
  // Targets still to be asked for a group, in order.
  std::vector<TargetId> group_left;
  // Targets that it needs at once, and what each of them holds.
  std::size_t group_size = 1;
  Tokens group_share;

  // Targets that were asked and are those that the owner knows.
  std::set<TargetId> checked;

  // Running.
  absl::Time started_at;
  absl::Duration first_token;
  AnswerAssembler answer;
  int sends = 0;
  // Sends whose attempt certainly did not run.
  int sends_not_run = 0;
  // The target began, or part of the answer came.
  bool seen_running = false;
  // Attempts that were given up; a target may still hold memory for them.
  std::vector<CancelAttempt> given_up;
  // Sends that broke; suspended ones are not counted.
  int failed_sends = 0;
  // It waits for a broken target to show whether it died.
  bool awaits_post_mortem = false;
  // The shortest wait that an owner's refusal named.
  std::optional<absl::Duration> soonest_retry;
  Reason last_refusal = Reason::kNoTarget;

  // Calls that may not be repeated.
  bool once = false;
  bool redeems_ticket = false;
  // Its ticket or key may have been run by an earlier submission.
  bool maybe_run_before = false;
  std::string once_token;
  std::vector<InstanceId> key_homes;
  std::set<InstanceId> key_agreed;
  // It was passed to another instance, which may run it.
  bool passed_on = false;
  int forward_tries = 0;
  bool asked_successor = false;
  std::vector<RequestId> followers;
  RequestId leader;

  // Whether any of it may have run.
  Ran ran() const {
    if (seen_running) {
      return Ran::kYes;
    }
    if (passed_on || maybe_run_before) {
      return Ran::kUnknown;
    }
    return sends > sends_not_run ? Ran::kUnknown : Ran::kNo;
  }

  absl::Duration TimeLeft(absl::Time now) const { return deadline - now; }

  // Tokens that it needs on targets in all.
  Tokens Need() const { return spec.prompt + spec.max_output; }
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_ACTIVE_REQUEST_H_
