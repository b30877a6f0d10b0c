#ifndef UMBERTRAIL_TARGET_SRC_STREAM_H_
#define UMBERTRAIL_TARGET_SRC_STREAM_H_

#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/http.h"
#include "umbertrail/target/client.h"
#include "wire.h"

namespace umbertrail::target::detail {

// Counters of what streams meet.
struct StreamCounters {
  std::atomic<uint64_t> foreign_items{0};
  std::atomic<uint64_t> malformed_items{0};
  std::atomic<uint64_t> silent_links{0};
};

// One attempt on a connection of its own. Run belongs to one thread; Cancel
// may come from any.
class Stream {
 public:
  // `settings`, `on_event` and `counters` must outlive the stream.
  Stream(core::StartAttempt action,
         std::string address,
         std::vector<std::string> group,
         const TargetClientSettings& settings,
         const EventCallback& on_event,
         StreamCounters& counters);

  // Sends the request and reports what comes of it. Blocks until its end.
  void Run();

  // Drops the connection; nothing more is reported.
  void Cancel();

  // Whether the engine may still hold memory for the attempt.
  bool MayHoldMemory() const { return may_hold_memory_; }

  bool IsEngineCall() const {
    return action_.spec.kind == core::RequestKind::kCompletion;
  }

 private:
  // Ends of an attempt that the stream itself tells.
  struct Ending {
    core::AttemptFailure failure = core::AttemptFailure::kBroken;
    std::string detail;
  };

  http::LinkSettings MakeLinkSettings(std::string address) const;
  http::Call MakeCall(const std::vector<std::string>& group) const;
  http::Answer Receive();
  bool TakeBytes(std::string_view bytes);
  bool TakeItem(std::string_view data);
  bool Handle(const ItemStarted& item);
  bool Handle(const ItemChunk& item);
  bool Handle(const ItemDone& item);
  bool Handle(const ItemSuspended& item);
  bool Handle(const ItemError& item);
  bool Handle(const ItemForeign& item);
  bool Handle(const ItemMalformed& item);
  bool End(core::AttemptFailure failure, std::string detail);
  void ReportEnd(const http::Answer& answer);
  void ReportWhole(const http::Answer& answer);
  void ReportDone(Tokens total, core::Body body);
  void ReportFailure(core::AttemptFailure failure, std::string detail);
  void Report(core::Event event);

  const core::StartAttempt action_;
  const TargetClientSettings& settings_;
  const EventCallback& on_event_;
  StreamCounters& counters_;
  // Sent once; empty afterwards.
  http::Call call_;
  http::Link link_;
  std::atomic<bool> cancelled_{false};
  std::optional<Ending> ending_;
  bool done_ = false;
  bool may_hold_memory_ = false;
  absl::Time last_item_;
};

}  // namespace umbertrail::target::detail

#endif  // UMBERTRAIL_TARGET_SRC_STREAM_H_
