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

CoreLoop::CoreLoop(EventQueue* queue,
                   std::unique_ptr<NodeDriver> node,
                   LoopPorts ports,
                   const Clock* clock,
                   LoopObserver* observer,
                   ManifestCallback on_manifest)
    : queue_(queue),
      node_(std::move(node)),
      ports_(ports),
      clock_(clock),
      observer_(observer),
      on_manifest_(std::move(on_manifest)) {}

CoreLoop::~CoreLoop() {
  Stop();
}

void CoreLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

// -- Any thread

bool CoreLoop::ready() const {
  return ready_ && !stopping_ &&
         clock_->Now() - absl::FromUnixNanos(ready_seen_) < kReadyValidity;
}

std::optional<core::NodeStatus> CoreLoop::Status(absl::Duration limit) {
  const auto query = std::make_shared<StatusQuery>();
  if (!queue_->Ask(query)) {
    return std::nullopt;
  }
  return query->Await(limit);
}

void CoreLoop::RequestStop() {
  stopping_ = true;
  queue_->Post(core::StopRequested{});
}

bool CoreLoop::AwaitStopComplete(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&stop_complete_), limit);
}

void CoreLoop::Stop() {
  queue_->Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

// -- The loop's thread

void CoreLoop::Run() {
  while (!queue_->closed()) {
    const absl::Duration until_wakeup = node_->NextWakeup() - clock_->Now();
    std::optional<QueueEntry> entry = queue_->Take(
        std::clamp(until_wakeup, absl::ZeroDuration(), kLongestSleep));
    if (entry.has_value() && entry->query != nullptr) {
      entry->query->Answer(node_->Status(Now()));
    } else if (entry.has_value()) {
      Handle(std::move(*entry->event));
    }
    if (clock_->Now() >= node_->NextWakeup()) {
      Handle(core::Tick{});
    }
    NoticeReadiness();
  }
}

// The time, which never falls.
absl::Time CoreLoop::Now() {
  last_now_ = std::max(clock_->Now(), last_now_);
  return last_now_;
}

void CoreLoop::Handle(core::Event event) {
  const absl::Time now = Now();
  if (observer_ == nullptr) {
    Dispatch(node_->Handle(now, std::move(event)));
  } else {
    observer_->OnEvent(now, event);
    const core::Actions actions = node_->Handle(now, event);
    observer_->OnActions(now, event, actions);
    Dispatch(actions);
  }
  NoticeManifest();
}

void CoreLoop::Dispatch(const core::Actions& actions) {
  for (const core::Action& action : actions) {
    Dispatch(action);
  }
}

void CoreLoop::Dispatch(const core::Action& action) {
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

void CoreLoop::NoticeManifest() {
  const manifest::Manifest* manifest = node_->manifest();
  if (manifest == nullptr || manifest->revision == seen_revision_) {
    return;
  }
  seen_revision_ = manifest->revision;
  on_manifest_(*manifest);
}

void CoreLoop::NoticeReadiness() {
  const absl::Time now = Now();
  ready_ = node_->Ready(now);
  ready_seen_ = absl::ToUnixNanos(now);
}

}  // namespace umbertrail::daemon
