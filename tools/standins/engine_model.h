#ifndef UMBERTRAIL_TOOLS_STANDINS_ENGINE_MODEL_H_
#define UMBERTRAIL_TOOLS_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace umbertrail::standin {

// Sizes are tokens.
struct EngineSettings {
  std::string name = "engine";
  std::string model = "small";
  std::string version = "1";
  std::vector<std::string> adapters;
  double prefill_per_second = 200000;
  // Per stream, while at most max_batch streams decode.
  double decode_per_second = 200;
  int max_batch = 16;
  int64_t memory = 500000;
  int64_t cold_budget = 20000;
  // Tokens to be finished before a cold engine is warm.
  int64_t warm_after = 60000;
  // Part of the rates that a cold engine reaches.
  double cold_speed = 0.3;
  bool starts_cold = false;
  // Whether an order with an older fencing number is refused.
  bool checks_fence = true;
  absl::Duration report_lag = absl::Milliseconds(200);
  absl::Duration cache_event_lag = absl::Milliseconds(500);
  // One in so many cache events is lost; 0 loses none.
  int cache_event_loss = 10;
  // For how long an engine that fell over refuses work.
  absl::Duration restart_time = absl::Milliseconds(500);
  // A prompt with this text kills the engine at the end of its prefill.
  std::string poison_marker = "<<poison>>";
};

struct GenerateRequest {
  std::string request_id;
  uint32_t attempt = 0;
  std::string model;
  std::string adapter;
  std::string prompt;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  int64_t resume_from = 0;
  int priority = 0;
  std::string holder;
  // Targets that hold the prompt together.
  int64_t group_size = 1;
};

// A prefix of a prompt, by the hash of its text.
struct PrefixMark {
  uint64_t hash = 0;
  int64_t length = 0;
};

// Why a request was not run.
struct Refusal {
  std::string error;
  bool cold = false;
};

enum class StreamPhase {
  kWaiting,
  kPrefill,
  kDecoding,
  kDone,
  kSuspended,
  kDropped,
};

struct StreamView {
  StreamPhase phase = StreamPhase::kDropped;
  // Offset up to which the answer is there.
  int64_t generated = 0;
  uint64_t prompt_hash = 0;
  // Nothing more may be sent on its connection, which stays open.
  bool muted = false;
};

struct AllocationView {
  std::string holder;
  std::string request_id;
  int64_t tokens = 0;
};

struct CacheEventView {
  uint64_t sequence = 0;
  bool added = true;
  int64_t length = 0;
  uint64_t hash = 0;
};

struct EngineReport {
  std::string boot;
  std::string state;
  absl::Duration age;
  int running = 0;
  int64_t tokens_in_flight = 0;
  int64_t memory_used = 0;
  int64_t memory_total = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  uint64_t fence = 0;
  std::vector<AllocationView> allocations;
  std::vector<CacheEventView> cache_events;
};

struct EngineCounters {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t finished = 0;
  uint64_t cancelled = 0;
  uint64_t tokens = 0;
  // Times it fell over because a cold engine had more than its budget.
  uint64_t cold_overloads = 0;
  uint64_t poison_deaths = 0;
  uint64_t old_fences = 0;
};

enum class OrderResult { kAccepted, kOldFence };

// A model engine without its HTTP: a batch scheduler in steps of time, a
// prefix cache, memory held per request, and the ways in which engines fail.
// Thread-safe.
class EngineModel {
 public:
  using StreamId = uint64_t;

  EngineModel(EngineSettings settings, uint64_t seed);

  // Lets `elapsed` pass.
  void Step(absl::Duration elapsed);

  std::variant<StreamId, Refusal> Submit(GenerateRequest request);

  // Waits until the answer goes past `seen`, the phase is another than
  // `phase`, or `wait` has passed.
  StreamView Await(StreamId id,
                   int64_t seen,
                   StreamPhase phase,
                   absl::Duration wait) const;

  // Forgets a stream that has ended; one that is still active stays, with its
  // memory, until it ends, is cancelled or is freed.
  void Release(StreamId id);

  // Frees what a stream holds, finished or not.
  void Cancel(const std::string& request_id, uint32_t attempt);

  // Frees what a holder has here; all of it when `request_id` is empty.
  // Returns the tokens freed.
  int64_t Free(const std::string& holder, const std::string& request_id);

  // Ends a stream and keeps its memory; nothing when there is no such stream.
  struct Exported {
    std::string handle;
    int64_t tokens = 0;
  };
  std::optional<Exported> Export(const std::string& request_id,
                                 uint32_t attempt);

  // Lets the request's next attempt start without prefill.
  std::optional<int64_t> Import(const std::string& handle,
                                const std::string& holder,
                                const std::string& request_id);

  // Checks the fencing number of an order and remembers it.
  OrderResult TakeFence(uint64_t fence);
  // Whether this is served already.
  bool Serves(const std::string& model,
              const std::string& version,
              const std::vector<std::string>& adapters) const;
  // Puts a loaded model in place; the engine is cold afterwards, unless only
  // adapters changed.
  void Install(const std::string& model,
               const std::string& version,
               const std::vector<std::string>& adapters);

  // The engine's lagging view of itself, with cache events after a sequence.
  EngineReport Report(uint64_t events_after) const;
  EngineCounters counters() const;

  // -- Faults -----------------------------------------------------------------

  // Loses everything, as a process that dies and comes back does.
  void Crash();
  void SetLeaving(bool leaving);
  // Turns cold without losing anything else.
  void TurnCold();
  // The connections of all present streams go silent for good.
  void MuteStreams();
  // Ends all streams and waits.
  void Stop();

 private:
  struct Stream {
    StreamId id = 0;
    GenerateRequest request;
    StreamPhase phase = StreamPhase::kWaiting;
    uint64_t prompt_hash = 0;
    std::vector<PrefixMark> marks;
    // Tokens of memory held while it runs.
    int64_t memory = 0;
    double prefill_left = 0;
    double generated = 0;
    bool poisoned = false;
    bool muted = false;
  };
  struct CacheEntry {
    PrefixMark mark;
    // Tokens that it adds to the entry before it.
    int64_t cost = 0;
  };
  struct TimedEvent {
    absl::Time at;
    CacheEventView event;
  };
  struct TimedReport {
    absl::Time at;
    EngineReport report;
  };
  using Streams = std::map<StreamId, Stream>;

  void Reset() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CrashLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::optional<Refusal> CheckLocked(const GenerateRequest& request) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::vector<Stream*> ByPriority(StreamPhase phase)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void AdmitWaiting() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether any prefill ran.
  bool RunPrefill(double tokens) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunDecode(double tokens) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Finish(Stream& stream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TakeSnapshot() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  EngineReport MakeReport() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int64_t MemoryUsed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int64_t TokensInFlight() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  int64_t MatchedPrefix(const Stream& stream)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CachePrompt(const Stream& stream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void EvictCache() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Publish(bool added, const CacheEntry& entry)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const EngineSettings settings_;
  const uint64_t seed_;
  mutable absl::Mutex mutex_;
  absl::Time now_ ABSL_GUARDED_BY(mutex_) = absl::UnixEpoch();
  uint64_t boots_ ABSL_GUARDED_BY(mutex_) = 0;
  bool cold_ ABSL_GUARDED_BY(mutex_) = false;
  bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time restarted_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int64_t finished_tokens_ ABSL_GUARDED_BY(mutex_) = 0;
  std::string model_ ABSL_GUARDED_BY(mutex_);
  std::string version_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> adapters_ ABSL_GUARDED_BY(mutex_);
  uint64_t fence_ ABSL_GUARDED_BY(mutex_) = 0;
  StreamId next_stream_ ABSL_GUARDED_BY(mutex_) = 1;
  Streams streams_ ABSL_GUARDED_BY(mutex_);
  // Memory of exported and imported streams, by handle.
  std::map<std::string, AllocationView> exports_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int64_t> imports_ ABSL_GUARDED_BY(mutex_);
  // Least recently used first.
  std::deque<CacheEntry> cache_ ABSL_GUARDED_BY(mutex_);
  uint64_t cache_sequence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<TimedEvent> events_ ABSL_GUARDED_BY(mutex_);
  std::deque<TimedReport> snapshots_ ABSL_GUARDED_BY(mutex_);
  EngineCounters counters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_ENGINE_MODEL_H_
