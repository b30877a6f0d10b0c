#include "umbertrail/daemon/core_loop.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace umbertrail::daemon {
namespace {

// Readiness may change by time alone, so it is asked for at least this often.
constexpr absl::Duration kLongestSleep = absl::Milliseconds(250);
// What the node said of its readiness holds this long.
constexpr absl::Duration kReadyValidity = absl::Seconds(1);

}  // namespace

CoreLoop::CoreLoop(std::unique_ptr<NodeDriver> node,
                   LoopPorts ports,
                   const Clock* clock,
                   LoopObserver* observer,
                   ManifestCallback on_manifest,
                   LoopLimits limits)
    : node_(std::move(node)),
      ports_(ports),
      clock_(clock),
      observer_(observer),
      on_manifest_(std::move(on_manifest)),
      limits_(limits) {}

CoreLoop::~CoreLoop() {
  Stop();
}

bool CoreLoop::ready() const {
  return ready_ && !stopping_ &&
         clock_->Now() - ready_seen_.load() < kReadyValidity;
}

void CoreLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

// -- Any thread ---------------------------------------------------------------

bool CoreLoop::HasRoom() const {
  return queue_.size() < limits_.events || stopped_;
}

bool CoreLoop::HasEntryOrStopped() const {
  return !queue_.empty() || stopped_;
}

bool CoreLoop::Offer(core::Event event) {
  absl::MutexLock lock(&mutex_);
  if (stopped_ || requests_ >= limits_.requests) {
    return false;
  }
  ++requests_;
  queue_.push_back(Entry{std::move(event), /*is_request=*/true, nullptr});
  return true;
}

void CoreLoop::Post(core::Event event) {
  absl::MutexLock lock(&mutex_);
  if (std::this_thread::get_id() != thread_.get_id()) {
    mutex_.Await(absl::Condition(this, &CoreLoop::HasRoom));
  }
  if (!stopped_) {
    queue_.push_back(Entry{std::move(event), /*is_request=*/false, nullptr});
  }
}

std::optional<core::NodeStatus> CoreLoop::Status(absl::Duration limit) {
  const auto query = std::make_shared<StatusQuery>();
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) {
      return std::nullopt;
    }
    queue_.push_back(Entry{std::nullopt, /*is_request=*/false, query});
  }
  absl::MutexLock lock(&query->mutex);
  if (!query->mutex.AwaitWithTimeout(absl::Condition(&query->answered),
                                     limit)) {
    return std::nullopt;
  }
  return query->status;
}

void CoreLoop::RequestStop() {
  stopping_ = true;
  Post(core::StopRequested{});
}

bool CoreLoop::AwaitStopComplete(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&stop_complete_), limit);
}

void CoreLoop::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

// -- The loop's thread --------------------------------------------------------

void CoreLoop::Run() {
  while (true) {
    std::optional<Entry> entry = Take();
    {
      absl::MutexLock lock(&mutex_);
      if (stopped_) {
        return;
      }
    }
    if (entry.has_value() && entry->query != nullptr) {
      Answer(entry->query.get());
    } else if (entry.has_value()) {
      Handle(std::move(*entry->event));
    }
    if (clock_->Now() >= node_->NextWakeup()) {
      Handle(core::Tick{});
    }
    NoticeReadiness();
  }
}

// The next entry, or nothing when the node's wake-up time has come.
std::optional<CoreLoop::Entry> CoreLoop::Take() {
  const absl::Duration until_wakeup = node_->NextWakeup() - clock_->Now();
  const absl::Duration sleep =
      std::clamp(until_wakeup, absl::ZeroDuration(), kLongestSleep);
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(this, &CoreLoop::HasEntryOrStopped),
                          sleep);
  if (queue_.empty()) {
    return std::nullopt;
  }
  Entry entry = std::move(queue_.front());
  queue_.pop_front();
  if (entry.is_request) {
    --requests_;
  }
  return entry;
}

void CoreLoop::Handle(core::Event event) {
  const absl::Time now = std::max(clock_->Now(), last_now_);
  last_now_ = now;
  if (observer_ == nullptr) {
    Dispatch(node_->Handle(now, std::move(event)));
  } else {
    observer_->OnEvent(now, event);
    core::Actions actions = node_->Handle(now, event);
    observer_->OnActions(now, event, actions);
    Dispatch(std::move(actions));
  }
  NoticeManifest();
}

void CoreLoop::Answer(StatusQuery* query) {
  core::NodeStatus status = node_->Status(std::max(clock_->Now(), last_now_));
  absl::MutexLock lock(&query->mutex);
  query->status = std::move(status);
  query->answered = true;
}

void CoreLoop::Dispatch(core::Actions actions) {
  for (const core::Action& action : actions) {
    std::visit(
        [this](const auto& it) {
          using T = std::decay_t<decltype(it)>;
          if constexpr (std::is_same_v<T, core::SendPeer>) {
            ports_.peer->Send(it.to, node_->Wrap(it.payload));
          } else if constexpr (std::is_same_v<T, core::StartAttempt>) {
            ports_.target->Start(it);
          } else if constexpr (std::is_same_v<T, core::CancelAttempt>) {
            ports_.target->Cancel(it);
          } else if constexpr (std::is_same_v<T, core::PollTarget>) {
            ports_.target->Poll(it);
          } else if constexpr (std::is_same_v<T, core::SendOrder>) {
            ports_.target->Order(it);
          } else if constexpr (std::is_same_v<T, core::FreeAllocations>) {
            ports_.target->Free(it);
          } else if constexpr (std::is_same_v<T, core::ReadPart>) {
            ports_.platform->ReadPart(it);
          } else if constexpr (std::is_same_v<T, core::RelayChunk>) {
            ports_.caller->Relay(it);
          } else if constexpr (std::is_same_v<T, core::FinishRequest>) {
            ports_.caller->Finish(it);
          } else if constexpr (std::is_same_v<T, core::TicketIssued>) {
            ports_.caller->Issue(it);
          } else {
            static_assert(std::is_same_v<T, core::StopComplete>);
            absl::MutexLock lock(&mutex_);
            stop_complete_ = true;
          }
        },
        action);
  }
}

void CoreLoop::NoticeManifest() {
  const manifest::Manifest* manifest = node_->manifest();
  if (manifest == nullptr || manifest->revision == seen_revision_) {
    return;
  }
  seen_revision_ = manifest->revision;
  on_manifest_(*manifest);
}

void CoreLoop::NoticeReadiness() {
  const absl::Time now = std::max(clock_->Now(), last_now_);
  ready_ = node_->Ready(now);
  ready_seen_ = now;
}

}  // namespace umbertrail::daemon
