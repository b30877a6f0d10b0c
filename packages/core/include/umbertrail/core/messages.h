#ifndef UMBERTRAIL_CORE_MESSAGES_H_
#define UMBERTRAIL_CORE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "umbertrail/core/types.h"
#include "umbertrail/manifest/schema.h"

// Messages between instances. Times are durations: clocks of two instances are
// never compared.

namespace umbertrail::core {

// -- Probe and admission: receiving instance to a target's owner

// Asks what an owner would answer for a request. Advice only.
struct ProbeRequest {
  uint64_t probe = 0;
  TargetId target;
  RequestKind kind = RequestKind::kCompletion;
  ModelId model;
  AdapterId adapter;
  Tokens prompt;
  Tokens max_output;
  std::vector<PrefixMark> prefix;
  absl::Duration time_left;
};

struct ProbeReply {
  uint64_t probe = 0;
  TargetId target;
  // False: the owner would refuse it now, for `reason`.
  bool can_serve = false;
  Reason reason = Reason::kOk;
  absl::Duration first_token;  // predicted, queueing included
  absl::Duration finish;       // predicted, queueing included
  Tokens matched_prefix;
};

// What an admission is for. A group member holds memory for a prompt that
// spans several targets; the lead of the group runs it.
enum class AdmitPurpose { kRun, kGroupMember };

// Asks for a grant. A grant may be used only within kGrantWindow of the moment
// at which the receiving instance sent the request that it answers, so a late
// one is never acted on and an unused one can be taken back safely.
struct AdmitRequest {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
  AdmitPurpose purpose = AdmitPurpose::kRun;
  RequestKind kind = RequestKind::kCompletion;
  ClientAccountId account;
  double weight = 1.0;
  ModelId model;
  AdapterId adapter;
  Tokens prompt;  // tokens that this target will hold
  Tokens max_output;
  Tokens resume_offset;  // tokens already delivered by earlier attempts
  std::vector<PrefixMark> prefix;
  absl::Duration time_left;
  // The request's total time at arrival, so that a queue can age it.
  absl::Duration time_total;
  // Answers AdmitReady: the queued place is claimed now.
  bool claim = false;
  // Ticket or key of a call that may not be repeated, for the owner's check.
  // The same request may ask again under it; another request may not.
  std::string once_token;
  // Numbers the sender's asks for one attempt; the reply echoes it, so that
  // the grant window counts from the ask that was answered. Asking again for
  // the same request and attempt is idempotent.
  uint32_t sequence = 0;
  // A target died while running this content: it shares no target with another
  // suspect, so that a second death names the right one.
  bool suspect = false;
};

enum class AdmitDecision { kGranted, kQueued, kRefused };

struct AdmitReply {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
  AdmitDecision decision = AdmitDecision::kRefused;
  Reason reason = Reason::kOk;
  absl::Duration retry_after;
  uint32_t sequence = 0;       // of the ask answered; 0 when unsolicited
  BootId boot;                 // of the target, when granted
  absl::Duration first_token;  // predicted from now, when granted or queued
  // With it the target holds more than a restarted one bears, and nothing that
  // runs there would break if it had restarted: its boot is to be read first.
  bool read_boot = false;
};

// A queued request's turn has come; the receiver answers with a claim.
struct AdmitReady {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
};

// Tells the owner that granted attempts are alive; sent per owner at an
// interval while attempts run. An attempt not named for kGrantSilence is
// charged until the target's report shows it gone.
struct AttemptsAlive {
  struct Entry {
    RequestId request;
    AttemptNumber attempt;
    TargetId target;
    // What the attempt holds on the target, so that a new owner can charge it.
    Tokens held;
    Tokens generated;
  };
  std::vector<Entry> attempts;
};

enum class AttemptResult {
  kDone,        // ran to its end
  kNotStarted,  // nothing was written to the target, or it said not run
  kFailed,      // the target answered with a failure
  kBroken,      // the stream broke or went silent
  kCancelled,   // given up by the receiver
  kSuspended,   // exported by the engine on the owner's word
};

// The end of an attempt or of a queued place; frees its charge.
struct AttemptSettled {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
  AttemptResult result = AttemptResult::kDone;
  absl::Duration first_token;  // seen by the receiver; zero when none came
  absl::Duration total;
  Tokens generated;
};

// The owner asks the receiver to suspend a running long attempt (to let short
// ones through); the receiver settles it as kSuspended and asks again.
struct SuspendAttempt {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
};

// A stopping owner's exact ledger of one target, given to its successor.
struct OwnerHandover {
  struct Entry {
    InstanceRef holder;
    RequestId request;
    AttemptNumber attempt;
    Tokens tokens;
  };
  TargetId target;
  BootId boot;
  bool cold = false;
  Tokens budget;
  std::vector<Entry> entries;
};

// -- Manifest and freshness

// Answers an older sender, or asks a peer what it holds (freshness check).
struct HeadQuery {
  uint64_t nonce = 0;
};
struct HeadOffer {
  uint64_t nonce = 0;
  manifest::Head head;
};
struct PartRequest {
  std::string hash;
};
struct PartReply {
  std::string hash;
  std::string bytes;  // empty: not held
};

// -- Quarantine

// Asks the home of a fingerprint whether this content may run now. At most
// two runs of content that never completed are open or ended in a target's
// death, so content that kills its targets kills no third one.
struct ScreenRequest {
  RequestId request;
  AttemptNumber attempt;
  Fingerprint fingerprint;
  absl::Duration time_left;
};
enum class ScreenVerdict { kRun, kWait, kQuarantined };
struct ScreenReply {
  RequestId request;
  AttemptNumber attempt;
  Fingerprint fingerprint;
  ScreenVerdict verdict = ScreenVerdict::kRun;
  // Deaths counted so far; above 0 the content is suspect.
  uint32_t deaths = 0;
  // Other runs of it that are open.
  uint32_t others = 0;
  // The home is too new to know what its predecessor counted.
  bool young = false;
};
enum class ScreenEnd {
  kCompleted,  // ran to its end: the content is proven
  kDied,       // its target died while running it
  kReleased,   // ended otherwise
};
struct ScreenEnded {
  RequestId request;
  AttemptNumber attempt;
  Fingerprint fingerprint;
  ScreenEnd end = ScreenEnd::kReleased;
  // Whose run it was, when a home tells another of a death; else empty, and it
  // was the sender's.
  InstanceRef holder;
};

// -- Calls that may not be repeated

// A submission passed to the incarnation that issued its ticket.
struct SubmitForward {
  RequestSpec spec;
  absl::Duration time_left;
  Incarnation issuer;
  Body body;
};
struct SubmitResult {
  RequestId request;
  Outcome outcome;
};

// A planned stop passes what was redeemed to a successor: it answers resends
// with the recorded outcome and never runs them.
struct RedemptionRecord {
  std::string once_token;
  bool finished = false;
  Outcome outcome;
};
struct RedemptionHandover {
  InstanceRef issuer;
  // Parts of one hand-over, numbered from 0; it is whole when all came.
  uint32_t part = 0;
  uint32_t parts = 1;
  // Tickets with smaller serials may have been used and forgotten.
  uint64_t complete_from = 0;
  std::vector<RedemptionRecord> records;
};

// Asks one home of a caller's key to agree that the call may run.
struct KeyGrantRequest {
  RequestId request;
  std::string once_token;
};
enum class KeyGrantDecision { kAgreed, kSeenBefore, kNotHome, kTooYoung };
struct KeyGrantReply {
  RequestId request;
  std::string once_token;
  KeyGrantDecision decision = KeyGrantDecision::kNotHome;
  // With kSeenBefore: the first run's outcome, once it is known.
  bool finished = false;
  Outcome outcome;
};
// Tells a home how the run under a key ended. With outcome.ran == kNo nothing
// was sent and the key is free again.
struct KeyEnded {
  RequestId request;
  std::string once_token;
  Outcome outcome;
};

using PeerPayload = std::variant<ProbeRequest,
                                 ProbeReply,
                                 AdmitRequest,
                                 AdmitReply,
                                 AdmitReady,
                                 AttemptsAlive,
                                 AttemptSettled,
                                 SuspendAttempt,
                                 OwnerHandover,
                                 HeadQuery,
                                 HeadOffer,
                                 PartRequest,
                                 PartReply,
                                 ScreenRequest,
                                 ScreenReply,
                                 ScreenEnded,
                                 SubmitForward,
                                 SubmitResult,
                                 RedemptionHandover,
                                 KeyGrantRequest,
                                 KeyGrantReply,
                                 KeyEnded>;

// What travels: every message carries its sender's revision, and whether the
// sender is leaving.
struct PeerEnvelope {
  InstanceRef from;
  ManifestRevision revision;
  bool leaving = false;
  PeerPayload payload;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_MESSAGES_H_
