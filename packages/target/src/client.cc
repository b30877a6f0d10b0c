#include "umbertrail/target/client.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "control_links.h"
#include "stream.h"
#include "wire.h"
#include "worker_pool.h"

namespace umbertrail::target {
namespace {

using detail::Stream;

constexpr int kStatusOk = 200;

// Targets whose cache events are followed. Forgetting a position costs a
// longer report, so replaced targets need no tracking.
constexpr size_t kMaxCursors = 4096;

// Names one try of one request.
struct AttemptKey {
  RequestId request;
  AttemptNumber attempt;

  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.request == b.request && a.attempt == b.attempt;
  }
  template <typename H>
  friend H AbslHashValue(H h, const AttemptKey& key) {
    return H::combine(std::move(h), key.request, key.attempt);
  }
};

// How far the cache events of a target have been read.
struct CacheCursor {
  BootId boot;
  uint64_t sequence = 0;
};

http::Call PostCall(std::string path, std::string body) {
  http::Call call;
  call.method = "POST";
  call.path = std::move(path);
  call.body = std::move(body);
  return call;
}

}  // namespace

class TargetClient::Impl {
 public:
  Impl(TargetClientSettings settings,
       EventCallback on_event,
       AddressResolver resolve)
      : settings_(std::move(settings)),
        on_event_(std::move(on_event)),
        resolve_(std::move(resolve)),
        links_(settings_),
        calls_(settings_.control_threads, settings_.max_queued_calls),
        streams_(settings_.max_streams, 0) {}

  ~Impl() {
    stopping_ = true;
    links_.Abort();
    absl::MutexLock lock(&mutex_);
    for (const auto& it : running_) {
      it.second->Cancel();
    }
  }

  void Start(core::StartAttempt action) {
    ++attempts_;
    const AttemptKey key{action.spec.id, action.attempt};
    {
      absl::MutexLock lock(&mutex_);
      pending_.insert(key);
    }
    if (streams_.Submit([this, key, it = std::move(action)]() mutable {
          RunStream(key, std::move(it));
        })) {
      return;
    }
    ++streams_refused_;
    FailPending(key, "too many streams");
  }

  void Cancel(const core::CancelAttempt& action) {
    const AttemptKey key{action.request, action.attempt};
    {
      absl::MutexLock lock(&mutex_);
      if (pending_.erase(key) > 0) {
        return;
      }
      const auto it = running_.find(key);
      if (it != running_.end()) {
        // Its thread tells the engine once nothing more can be written, so
        // that the cancellation does not overtake the request.
        it->second->Cancel();
        return;
      }
    }
    TellCancelled(key, action.target);
  }

  void Poll(const core::PollTarget& action) {
    {
      absl::MutexLock lock(&mutex_);
      if (!polled_.insert(action.target).second) {
        return;
      }
    }
    if (!Enqueue([this, action] { ReadReport(action.target); })) {
      EndPoll(action.target);
      Report(core::TargetUnreachable{action.target, false});
    }
  }

  void Order(core::SendOrder action) {
    const core::OrderAnswered failed{action.target, action.order.fence,
                                     core::OrderAnswered::Result::kFailed};
    if (!Enqueue([this, it = std::move(action)] { SendOrder(it); })) {
      Report(failed);
    }
  }

  void Free(core::FreeAllocations action) {
    Enqueue([this, it = std::move(action)] {
      SendOnce(it.target,
               PostCall("/v1/allocations/free", detail::FreeBody(it)));
    });
  }

  TargetClientStats stats() const {
    TargetClientStats stats;
    stats.attempts = attempts_;
    stats.streams_refused = streams_refused_;
    stats.foreign_items = counters_.foreign_items;
    stats.malformed_items = counters_.malformed_items;
    stats.silent_links = counters_.silent_links;
    stats.calls_dropped = calls_dropped_;
    stats.links_replaced = links_.replaced();
    absl::MutexLock lock(&mutex_);
    stats.running_streams = running_.size();
    return stats;
  }

 private:
  // -- Attempts ---------------------------------------------------------------

  void RunStream(const AttemptKey& key, core::StartAttempt action) {
    const TargetId target = action.target;
    const auto address = resolve_(target);
    if (!address.has_value()) {
      FailPending(key, "target not listed");
      return;
    }
    std::vector<std::string> group = ResolveGroup(action.group);
    auto stream =
        std::make_shared<Stream>(std::move(action), *address, std::move(group),
                                 settings_, on_event_, counters_);
    if (!Register(key, stream)) {
      return;
    }
    stream->Run();
    Unregister(key);
    if (stream->MayHoldMemory() && !stopping_) {
      TellCancelled(key, target);
    }
  }

  std::vector<std::string> ResolveGroup(const std::vector<TargetId>& group) {
    std::vector<std::string> addresses;
    for (const TargetId& it : group) {
      addresses.push_back(resolve_(it).value_or(""));
    }
    return addresses;
  }

  // False when the attempt was cancelled before it began.
  bool Register(const AttemptKey& key, std::shared_ptr<Stream> stream) {
    absl::MutexLock lock(&mutex_);
    if (pending_.erase(key) == 0 || stopping_) {
      return false;
    }
    running_.insert_or_assign(key, std::move(stream));
    return true;
  }

  // Ends an attempt of which nothing was sent, unless it was cancelled.
  void FailPending(const AttemptKey& key, const char* detail) {
    {
      absl::MutexLock lock(&mutex_);
      if (pending_.erase(key) == 0) {
        return;
      }
    }
    Report(core::AttemptFailed{key.request, key.attempt,
                               core::AttemptFailure::kNotSent, detail});
  }

  void Unregister(const AttemptKey& key) {
    absl::MutexLock lock(&mutex_);
    running_.erase(key);
  }

  void TellCancelled(const AttemptKey& key, const TargetId& target) {
    Enqueue([this, key, target] {
      SendOnce(target, PostCall("/v1/cancel",
                                detail::CancelBody(key.request, key.attempt)));
    });
  }

  // -- Control calls ----------------------------------------------------------

  bool Enqueue(detail::WorkerPool::Task task) {
    if (calls_.Submit(std::move(task))) {
      return true;
    }
    ++calls_dropped_;
    return false;
  }

  void SendOnce(const TargetId& target, const http::Call& call) {
    const auto address = resolve_(target);
    if (address.has_value()) {
      links_.SendOnce(*address, call);
    }
  }

  void SendOrder(const core::SendOrder& action) {
    auto result = core::OrderAnswered::Result::kFailed;
    const auto address = resolve_(action.target);
    if (address.has_value()) {
      const http::Answer answer = links_.SendOnce(
          *address, PostCall("/v1/orders", detail::OrderBody(action.order)));
      result = answer.fault == http::Fault::kNone
                   ? detail::ParseOrderAnswer(answer.status, answer.body)
                   : result;
    }
    Report(core::OrderAnswered{action.target, action.order.fence, result});
  }

  void ReadReport(const TargetId& target) {
    const auto address = resolve_(target);
    http::Answer answer;
    answer.fault = http::Fault::kNotConnected;
    if (address.has_value()) {
      http::Call call;
      call.method = "GET";
      call.path =
          absl::StrCat("/v1/report?events_after=", EventsReadOf(target));
      answer = links_.Read(*address, call);
    }
    EndPoll(target);
    const bool whole =
        answer.fault == http::Fault::kNone && answer.status == kStatusOk;
    auto report = whole ? detail::ParseReport(answer.body) : std::nullopt;
    if (!report.has_value()) {
      const bool refused = answer.fault == http::Fault::kRefused;
      Report(core::TargetUnreachable{target, refused});
      return;
    }
    NoteEvents(target, *report);
    Report(core::TargetReported{target, *std::move(report)});
  }

  void EndPoll(const TargetId& target) {
    absl::MutexLock lock(&mutex_);
    polled_.erase(target);
  }

  uint64_t EventsReadOf(const TargetId& target) const {
    absl::MutexLock lock(&mutex_);
    const auto it = cursors_.find(target);
    return it == cursors_.end() ? 0 : it->second.sequence;
  }

  void NoteEvents(const TargetId& target, const core::TargetReport& report) {
    absl::MutexLock lock(&mutex_);
    if (cursors_.size() >= kMaxCursors) {
      cursors_.clear();
    }
    CacheCursor& cursor = cursors_[target];
    if (cursor.boot != report.boot) {
      // Sequences start again. Events before the old position were not asked
      // for, so the next poll reads from the first.
      const bool asked_for_all = cursor.sequence == 0;
      cursor = CacheCursor{report.boot, 0};
      if (!asked_for_all) {
        return;
      }
    }
    for (const core::CacheEvent& it : report.cache_events) {
      cursor.sequence = std::max(cursor.sequence, it.sequence);
    }
  }

  void Report(core::Event event) {
    if (!stopping_) {
      on_event_(std::move(event));
    }
  }

  const TargetClientSettings settings_;
  const EventCallback on_event_;
  const AddressResolver resolve_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> attempts_{0};
  std::atomic<uint64_t> streams_refused_{0};
  std::atomic<uint64_t> calls_dropped_{0};
  detail::StreamCounters counters_;
  detail::ControlLinks links_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<AttemptKey, std::shared_ptr<Stream>> running_
      ABSL_GUARDED_BY(mutex_);
  // Attempts whose thread has not begun; a cancelled one is taken out.
  absl::flat_hash_set<AttemptKey> pending_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<TargetId> polled_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<TargetId, CacheCursor> cursors_ ABSL_GUARDED_BY(mutex_);
  // Last, so that their threads end before what they use.
  detail::WorkerPool calls_;
  detail::WorkerPool streams_;
};

TargetClient::TargetClient(TargetClientSettings settings,
                           EventCallback on_event,
                           AddressResolver resolve)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(on_event),
                                   std::move(resolve))) {}

TargetClient::~TargetClient() = default;

void TargetClient::Start(core::StartAttempt action) {
  impl_->Start(std::move(action));
}

void TargetClient::Cancel(const core::CancelAttempt& action) {
  impl_->Cancel(action);
}

void TargetClient::Poll(const core::PollTarget& action) {
  impl_->Poll(action);
}

void TargetClient::Order(core::SendOrder action) {
  impl_->Order(std::move(action));
}

void TargetClient::Free(core::FreeAllocations action) {
  impl_->Free(std::move(action));
}

TargetClientStats TargetClient::stats() const {
  return impl_->stats();
}

}  // namespace umbertrail::target
