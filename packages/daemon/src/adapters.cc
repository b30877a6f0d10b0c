#include "adapters.h"

#include <ctime>

#include "absl/time/clock.h"

namespace umbertrail::daemon::detail {
namespace {

using peer::LinkChange;
using telemetry::LogLevel;

struct LinkRow {
  LinkChange change;
  LogLevel level;
  telemetry::StaticText message;
};

// In the order of LinkChange.
constexpr LinkRow kLinkRows[] = {
    {LinkChange::kOpened, LogLevel::kDebug, "link opened"},
    {LinkChange::kAccepted, LogLevel::kDebug, "link accepted"},
    {LinkChange::kConnectFailed, LogLevel::kInfo, "peer could not be reached"},
    {LinkChange::kVersionMismatch, LogLevel::kWarning,
     "peer speaks another version"},
    {LinkChange::kWrongKey, LogLevel::kWarning, "peer shares no key"},
    {LinkChange::kWrongIdentity, LogLevel::kWarning,
     "peer answers as another instance"},
    {LinkChange::kForgedFrame, LogLevel::kWarning,
     "link carried a forged frame"},
    {LinkChange::kMalformedFrame, LogLevel::kWarning,
     "link carried a malformed frame"},
    {LinkChange::kSilent, LogLevel::kInfo, "link went silent"},
    {LinkChange::kIdle, LogLevel::kDebug, "link closed as idle"},
    {LinkChange::kClosed, LogLevel::kDebug, "link closed by its peer"},
    {LinkChange::kFlooded, LogLevel::kWarning, "too many links"},
    {LinkChange::kQueueFull, LogLevel::kWarning, "queue of a peer is full"},
    {LinkChange::kTooLarge, LogLevel::kError, "message is too large"},
};

constexpr bool InOrder() {
  for (size_t i = 0; i < std::size(kLinkRows); ++i) {
    if (static_cast<size_t>(kLinkRows[i].change) != i) {
      return false;
    }
  }
  return true;
}
static_assert(InOrder());

}  // namespace

absl::Time BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

void TargetDirectory::Notice(const core::Event& event) {
  const auto* list = std::get_if<core::TargetListRead>(&event);
  if (list == nullptr) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  if (list->version < version_) {
    return;
  }
  version_ = list->version;
  addresses_.clear();
  for (const core::TargetInfo& target : list->targets) {
    addresses_.emplace(target.id, target.address);
  }
}

std::optional<std::string> TargetDirectory::Find(const TargetId& id) const {
  absl::MutexLock lock(&mutex_);
  const auto it = addresses_.find(id);
  if (it == addresses_.end()) {
    return std::nullopt;
  }
  return it->second;
}

void TelemetryAdapter::OnTraceparent(const RequestId& request,
                                     const std::string& header) {
  const auto context = telemetry::ParseTraceparent(header);
  if (context.has_value()) {
    observer_->NoteCallerContext(request, *context);
  }
}

void LinkLog::OnLinkChange(LinkChange change, const InstanceId& peer) {
  const LinkRow& row = kLinkRows[static_cast<size_t>(change)];
  telemetry::LogRecord record;
  record.level = row.level;
  record.time = absl::Now();
  record.message = row.message;
  record.peer = peer;
  log_->Write(record);
}

}  // namespace umbertrail::daemon::detail
