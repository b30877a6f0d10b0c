#include "umbertrail/confservice/client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "backoff.h"
#include "umbertrail/http.h"
#include "wire.h"

namespace umbertrail::confservice {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxPartBytes = size_t{1} << 20;
constexpr size_t kMaxWatchBytes = size_t{4} << 20;
// Tries of one part before its failure is reported.
constexpr int kPartTries = 3;

bool IsWhole(const http::Answer& answer) {
  return answer.fault == http::Fault::kNone && answer.status == kStatusOk &&
         answer.delimited;
}

}  // namespace

class PlatformClient::Impl {
 public:
  Impl(PlatformClientSettings settings,
       EventCallback on_event,
       std::unique_ptr<RandomSource> random)
      : settings_(std::move(settings)),
        on_event_(std::move(on_event)),
        part_backoff_(settings_.first_backoff,
                      settings_.longest_backoff,
                      MakeSeededRandom(random->Next())),
        watch_backoff_(settings_.first_backoff,
                       settings_.longest_backoff,
                       std::move(random)),
        watch_link_(LinkTo(settings_.watch_wait + settings_.answer_timeout)),
        part_link_(LinkTo(settings_.answer_timeout)) {}

  ~Impl() { Stop(); }

  void Start() {
    watcher_ = std::thread([this] { Watch(); });
    part_reader_ = std::thread([this] { ReadParts(); });
  }

  void ReadPart(const core::ReadPart& action) {
    {
      absl::MutexLock lock(&mutex_);
      if (std::find(parts_.begin(), parts_.end(), action.hash) !=
          parts_.end()) {
        return;
      }
      if (parts_.size() < settings_.max_queued_parts) {
        parts_.push_back(action.hash);
        return;
      }
    }
    ReportFailure();
  }

  void Stop() {
    {
      absl::MutexLock lock(&mutex_);
      stopping_ = true;
    }
    watch_link_.Abort();
    part_link_.Abort();
    for (std::thread* it : {&watcher_, &part_reader_}) {
      if (it->joinable()) {
        it->join();
      }
    }
  }

  PlatformClientStats stats() const {
    PlatformClientStats stats;
    stats.watches = watches_;
    stats.part_reads = part_reads_;
    stats.failures = failures_;
    return stats;
  }

 private:
  http::LinkSettings LinkTo(absl::Duration limit) const {
    http::LinkSettings link;
    link.address = settings_.address;
    link.connect_timeout = settings_.connect_timeout;
    link.progress_limit = limit;
    link.keep_alive = true;
    link.ca_path = settings_.ca_path;
    return link;
  }

  // -- Watch ------------------------------------------------------------------

  void Watch() {
    absl::Duration pause;
    while (!StoppedAfter(pause)) {
      const absl::Time begun = absl::Now();
      if (WatchOnce()) {
        watch_backoff_.Reset();
        pause = begun + settings_.min_interval - absl::Now();
      } else {
        ReportFailure();
        pause = watch_backoff_.Next();
      }
    }
  }

  bool WatchOnce() {
    ++watches_;
    http::Call call;
    call.method = "GET";
    call.path = absl::StrCat(
        "/v1/watch?after=", version_,
        "&wait_ms=", absl::ToInt64Milliseconds(settings_.watch_wait),
        "&instances=", instances_.version, "&targets=", targets_.version);
    const http::Answer answer = watch_link_.Send(call, kMaxWatchBytes);
    if (!IsWhole(answer)) {
      return false;
    }
    auto watch = detail::ParseWatch(answer.body);
    if (!watch.has_value() || !TakeLists(*watch)) {
      return false;
    }
    version_ = watch->version;
    Report(instances_);
    Report(targets_);
    Report(core::HeadRead{std::move(watch->head)});
    return true;
  }

  // Replaces the kept lists by those of the answer. False when the answer
  // leaves out a list that is not held in its version.
  bool TakeLists(detail::WatchAnswer& watch) {
    const bool has_instances = watch.instances.has_value() ||
                               watch.instances_version == instances_.version;
    const bool has_targets =
        watch.targets.has_value() || watch.targets_version == targets_.version;
    if (!has_instances || !has_targets) {
      return false;
    }
    if (watch.instances.has_value()) {
      instances_ = {watch.instances_version, *std::move(watch.instances)};
    }
    if (watch.targets.has_value()) {
      targets_ = {watch.targets_version, *std::move(watch.targets)};
    }
    return true;
  }

  // -- Parts ------------------------------------------------------------------

  void ReadParts() {
    while (true) {
      std::string hash;
      {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &Impl::HasPartOrStops));
        if (stopping_) {
          return;
        }
        hash = parts_.front();
      }
      ReadOnePart(hash);
      absl::MutexLock lock(&mutex_);
      parts_.pop_front();
    }
  }

  bool HasPartOrStops() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !parts_.empty();
  }

  void ReadOnePart(const std::string& hash) {
    http::Call call;
    call.method = "GET";
    call.path = absl::StrCat("/v1/parts/", hash);
    part_backoff_.Reset();
    for (int n = 0; n < kPartTries; ++n) {
      ++part_reads_;
      http::Answer answer = part_link_.Send(call, kMaxPartBytes);
      if (IsWhole(answer)) {
        Report(core::PartRead{hash, std::move(answer.body)});
        return;
      }
      if (StoppedAfter(part_backoff_.Next())) {
        return;
      }
    }
    ReportFailure();
  }

  // -- Both -------------------------------------------------------------------

  // Waits; true as soon as the client stops.
  bool StoppedAfter(absl::Duration pause) {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&stopping_), pause);
  }

  void ReportFailure() {
    ++failures_;
    Report(core::ConfigUnreachable{});
  }

  void Report(core::Event event) {
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
    }
    on_event_(std::move(event));
  }

  const PlatformClientSettings settings_;
  const EventCallback on_event_;
  detail::Backoff part_backoff_;
  detail::Backoff watch_backoff_;
  http::Link watch_link_;
  http::Link part_link_;
  std::atomic<uint64_t> watches_{0};
  std::atomic<uint64_t> part_reads_{0};
  std::atomic<uint64_t> failures_{0};

  // What the watcher holds.
  uint64_t version_ = 0;
  core::InstanceListRead instances_;
  core::TargetListRead targets_;

  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // The front is being read.
  std::deque<std::string> parts_ ABSL_GUARDED_BY(mutex_);
  std::thread watcher_;
  std::thread part_reader_;
};

PlatformClient::PlatformClient(PlatformClientSettings settings,
                               EventCallback on_event,
                               std::unique_ptr<RandomSource> random)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(on_event),
                                   std::move(random))) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::Start() {
  impl_->Start();
}

void PlatformClient::ReadPart(const core::ReadPart& action) {
  impl_->ReadPart(action);
}

void PlatformClient::Stop() {
  impl_->Stop();
}

PlatformClientStats PlatformClient::stats() const {
  return impl_->stats();
}

}  // namespace umbertrail::confservice
