#include "umbertrail/front/store_reader.h"

#include <algorithm>
#include <utility>

#include "umbertrail/dispatch/freshness.h"

#include "absl/strings/string_view.h"

namespace umbertrail::front {
namespace {

// How long the store may hold a watch open without changes. A few instances
// poll on behalf of all to confirm the view, which also reveals a stalled
// watch.
constexpr absl::Duration kWatchTimeout = absl::Seconds(25);
constexpr absl::Duration kPollTimeout = absl::Milliseconds(1);
// A watch that lags behind a peer for longer has stalled.
constexpr absl::Duration kMaxWatchLag = absl::Milliseconds(400);
// Maximum time beyond the wait until the response begins, and between its
// parts; a slow store keeps to it.
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(900);
// A longer response is aborted and replaced by a full read of the current
// state: many changes for many instances saturate the store's link, and
// requesting all of them again would keep it saturated.
constexpr absl::Duration kMaxResponseTime = absl::Seconds(3);
// A page holds about 1 MB; the changes after a long pause may be many.
constexpr size_t kMaxResponseBytes = size_t{16} << 20;
// A store that answers later than this may have been away meanwhile.
constexpr absl::Duration kAwayAfter = absl::Milliseconds(300);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
constexpr absl::Duration kIdleTimeout = absl::Seconds(3);
// Backoff while the store fails, doubled each time.
constexpr absl::Duration kMinBackoff = absl::Milliseconds(50);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(400);
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

StoreReader::StoreReader(State& state, std::function<void()> on_change)
    : state_(state),
      on_change_(std::move(on_change)),
      alarm_(state.loop),
      age_alarm_(state.loop),
      last_response_(BootNow()) {}

void StoreReader::Start() {
  SendRequest();
  CheckAge();
}

void StoreReader::Stop() {
  stopped_ = true;
  alarm_.Cancel();
  age_alarm_.Cancel();
  if (connection_) {
    connection_->Close();
  }
}

void StoreReader::CheckAge() {
  const absl::Duration age = BootNow() - state_.view.confirmed_at();
  if (phase_ == Phase::kWatch && !batching_ && !failing_ &&
      dispatch::ShouldPollStore(age, state_.live_instances, state_.Random())) {
    PollNow();
  }
  age_alarm_.Set(dispatch::kAgeCheck, shared_from_this(),
                 &StoreReader::CheckAge);
}

void StoreReader::OnPeerAhead() {
  const absl::Time now = BootNow();
  if (peer_ahead_since_ == absl::InfinitePast()) {
    peer_ahead_since_ = now;  // The watch usually delivers the change.
    return;
  }
  if (phase_ == Phase::kWatch && !batching_ && !failing_ &&
      now - peer_ahead_since_ > kMaxWatchLag) {
    PollNow();
  }
}

void StoreReader::PollNow() {
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
  phase_ = Phase::kPoll;
  SendRequest();
}

void StoreReader::SendRequest() {
  if (stopped_) {
    return;
  }
  const auto endpoint = net::ParseEndpoint(state_.settings.store_address);
  if (!connection_ || !connection_->Reusable()) {
    connection_ = std::make_shared<net::ClientConnection>(state_.loop);
  }
  state_.metrics.CountStoreCall(phase_ == Phase::kFullRead ? "read"
                                : phase_ == Phase::kPoll   ? "poll"
                                                           : "watch");
  batching_ = false;
  body_.clear();
  body_size_at_check_ = 0;
  status_ = 0;
  response_era_ = 0;
  requested_at_ = BootNow();
  net::RequestHead head;
  head.method = "GET";
  const absl::Duration wait =
      phase_ == Phase::kWatch ? kWatchTimeout : kPollTimeout;
  head.target = phase_ == Phase::kFullRead
                    ? adapter::RangePath(page_cursor_)
                    : adapter::WatchPath(state_.known_store.revision, wait);
  head.headers.Add("Host", state_.settings.store_address);
  alarm_.Set(wait + kResponseTimeout, shared_from_this(),
             &StoreReader::OnTimeout);
  connection_->Call(*endpoint, kConnectTimeout, kIdleTimeout,
                    net::WriteRequestHead(head, 0), nullptr,
                    /*response_has_no_body=*/false, weak_from_this());
}

void StoreReader::OnTimeout() {
  const bool progressed = body_.size() > body_size_at_check_;
  if (progressed && BootNow() - response_began_ < kMaxResponseTime) {
    body_size_at_check_ = body_.size();
    alarm_.Set(kResponseTimeout, shared_from_this(), &StoreReader::OnTimeout);
    return;
  }
  Fail("response timed out", 0);
}

void StoreReader::OnHead(const net::ResponseHead& head) {
  status_ = head.status;
  response_era_ = adapter::ReadEra(head);
  response_began_ = BootNow();
}

void StoreReader::OnBody(absl::string_view bytes) {
  if (body_.size() + bytes.size() > kMaxResponseBytes) {
    Fail("response too long", status_);
    return;
  }
  body_.append(bytes.data(), bytes.size());
}

void StoreReader::OnFailure(net::CallFailure failure) {
  Fail(net::NameOf(failure), 0);
}

bool StoreReader::CheckEra() {
  if (response_era_ == 0) {
    response_era_ = state_.known_store.era;
  }
  const bool first_page = phase_ == Phase::kFullRead && page_cursor_.empty();
  const uint64_t expected = phase_ == Phase::kFullRead && !first_page
                                ? pages_era_
                                : state_.known_store.era;
  if (response_era_ < expected) {
    // Predates the store's recovery.
    Fail("response of an older era", status_);
    return false;
  }
  if (response_era_ > expected && !first_page) {
    state_.log.Write(EventLog::Level::kImportant, "store_era",
                     {{"era", static_cast<int64_t>(response_era_)},
                      {"known_era", static_cast<int64_t>(expected)}},
                     BootNow());
    phase_ = Phase::kFullRead;
    page_cursor_.clear();
    SendRequest();
    return false;
  }
  return true;
}

void StoreReader::OnEnd() {
  if (!CheckEra()) {
    return;
  }
  if (status_ == kGone) {
    state_.log.Write(
        EventLog::Level::kImportant, "store_history_lost",
        {{"revision", static_cast<int64_t>(state_.known_store.revision)}},
        BootNow());
    phase_ = Phase::kFullRead;
    page_cursor_.clear();
    SendRequest();
    return;
  }
  if (status_ != kOk) {
    Fail("refused", status_);
    return;
  }
  if (phase_ == Phase::kFullRead) {
    HandlePage();
  } else {
    HandleEvents();
  }
}

void StoreReader::HandlePage() {
  auto read = adapter::ReadPage(body_);
  if (!IsOk(read)) {
    Fail("malformed page", status_);
    return;
  }
  adapter::StoreResponse& answer = ValueOf(read);
  const absl::Time now = BootNow();
  if (page_cursor_.empty()) {
    pages_.clear();
    first_page_revision_ = answer.revision;
    pages_era_ = response_era_;
    first_page_requested_at_ = requested_at_;
  }
  LogFaults(answer.faults);
  for (dispatch::Revised& change : answer.changes) {
    pages_.push_back(std::move(change));
  }
  if (!answer.next_after.empty()) {
    page_cursor_ = answer.next_after;
    SendRequest();
    return;
  }
  const bool was_away = failing_ || now - requested_at_ > kAwayAfter;
  MarkAvailable(now);
  ApplyEra(now);
  for (const dispatch::Revised& change : pages_) {
    HandleRestart(change, now);
    LogOlderConfig(change, now);
  }
  state_.view.ApplySnapshot(pages_, first_page_revision_, now);
  state_.view.RecordConfirmation(first_page_requested_at_);
  state_.known_store.revision =
      std::max(state_.known_store.revision, first_page_revision_);
  RecordOwnConfig(was_away, now);
  state_.log.Write(
      EventLog::Level::kNormal, "store_read",
      {{"revision", static_cast<int64_t>(state_.known_store.revision)},
       {"era", static_cast<int64_t>(state_.known_store.era)},
       {"targets", static_cast<int64_t>(state_.view.targets().size())},
       {"config", state_.view.has_config()
                      ? static_cast<int64_t>(state_.view.config().version)
                      : int64_t{0}}},
      now);
  pages_.clear();
  page_cursor_.clear();
  phase_ = Phase::kWatch;
  on_change_();
  SendRequest();
}

void StoreReader::ApplyEra(absl::Time now) {
  dispatch::KnownStore& known = state_.known_store;
  // A revision that decreased means a new era even if the store reports none.
  const bool is_new =
      pages_era_ > known.era || first_page_revision_ < known.revision;
  if (is_new && known.revision > 0) {
    state_.log.Write(EventLog::Level::kImportant, "store_from_copy",
                     {{"era", static_cast<int64_t>(pages_era_)},
                      {"revision", static_cast<int64_t>(first_page_revision_)},
                      {"known_era", static_cast<int64_t>(known.era)},
                      {"known_revision", static_cast<int64_t>(known.revision)}},
                     now);
    pages_ = state_.view.HandleStoreRestore(pages_, now);
    known.revision = 0;
  }
  known.era = pages_era_;
}

void StoreReader::HandleEvents() {
  auto read = adapter::ReadEvents(body_);
  if (!IsOk(read)) {
    Fail("malformed events", status_);
    return;
  }
  const adapter::StoreResponse& answer = ValueOf(read);
  const absl::Time now = BootNow();
  MarkAvailable(now);
  LogFaults(answer.faults);
  const bool changed = ApplyChanges(answer.changes, now);
  state_.view.RecordConfirmation(requested_at_);
  state_.known_store.revision =
      std::max(state_.known_store.revision, answer.revision);
  RecordOwnConfig(/*was_away=*/false, now);
  if (changed) {
    on_change_();
  }
  phase_ = Phase::kWatch;
  if (answer.changes.empty()) {
    SendRequest();
  } else {
    batching_ = true;
    alarm_.Set(dispatch::BatchingDelay(state_.live_instances,
                                       state_.settings.max_apply_delay),
               shared_from_this(), &StoreReader::SendRequest);
  }
}

bool StoreReader::ApplyChanges(const std::vector<dispatch::Revised>& changes,
                               absl::Time now) {
  bool changed = false;
  for (const dispatch::Revised& change : changes) {
    HandleRestart(change, now);
    LogOlderConfig(change, now);
    if (state_.view.Apply(change, now)) {
      changed = true;
      LogChange(change, now);
    }
  }
  return changed;
}

void StoreReader::LogChange(const dispatch::Revised& change, absl::Time now) {
  const auto revision = static_cast<int64_t>(change.revision);
  if (const auto* config =
          std::get_if<dispatch::ConfigChange>(&change.change)) {
    state_.log.Write(
        EventLog::Level::kImportant, "config_in_force",
        {{"version", static_cast<int64_t>(config->config.version)},
         {"routes", static_cast<int64_t>(config->config.routes.size())},
         {"accounts", config->config.accounts_by_key.has_value()},
         {"keys",
          static_cast<int64_t>(config->config.accounts_by_key
                                   ? config->config.accounts_by_key->size()
                                   : 0)},
         {"revision", revision}},
        now);
  } else if (const auto* target =
                 std::get_if<dispatch::TargetChange>(&change.change)) {
    const dispatch::TargetEntry& entry = target->entry;
    state_.log.Write(
        EventLog::Level::kNormal, "target_state",
        {{"target", entry.id.text()},
         {"service", entry.service.text()},
         {"data_centre", entry.data_centre.text()},
         {"draining", entry.draining},
         {"cold_ms", absl::ToInt64Milliseconds(entry.cold_remaining)},
         {"revision", revision}},
        now);
  } else if (const auto* gone =
                 std::get_if<dispatch::TargetGone>(&change.change)) {
    state_.log.Write(EventLog::Level::kNormal, "target_gone",
                     {{"target", gone->id.text()}, {"revision", revision}},
                     now);
  } else if (const auto* closed =
                 std::get_if<dispatch::DataCentreClosed>(&change.change)) {
    state_.log.Write(
        EventLog::Level::kImportant, "data_centre_closed",
        {{"data_centre", closed->data_centre.text()}, {"revision", revision}},
        now);
  } else if (const auto* reopened =
                 std::get_if<dispatch::DataCentreReopened>(&change.change)) {
    state_.log.Write(
        EventLog::Level::kImportant, "data_centre_reopened",
        {{"data_centre", reopened->data_centre.text()}, {"revision", revision}},
        now);
  }
}

void StoreReader::HandleRestart(const dispatch::Revised& change,
                                absl::Time now) {
  TargetId id;
  bool restarted = false;
  if (const auto* gone = std::get_if<dispatch::TargetGone>(&change.change)) {
    id = gone->id;
    restarted = true;
  } else if (const auto* target =
                 std::get_if<dispatch::TargetChange>(&change.change)) {
    id = target->entry.id;
    const dispatch::TargetEntry* known = state_.view.Find(id);
    restarted = known != nullptr && known->born_ms != target->entry.born_ms;
  }
  if (!restarted || state_.view.Find(id) == nullptr) {
    return;
  }
  state_.RecordRestart(id, now);
  state_.log.Write(EventLog::Level::kNormal, "target_ended",
                   {{"target", id.text()}}, now);
}

void StoreReader::RecordOwnConfig(bool was_away, absl::Time now) {
  const uint64_t version =
      state_.view.has_config() ? state_.view.config().version : 0;
  state_.config_agreement.RecordOwn({version, state_.known_store}, was_away,
                                    now);
}

void StoreReader::LogOlderConfig(const dispatch::Revised& change,
                                 absl::Time now) {
  const auto* config = std::get_if<dispatch::ConfigChange>(&change.change);
  if (config == nullptr || !state_.view.has_config() ||
      config->config.version >= state_.view.config().version) {
    return;
  }
  state_.log.Write(
      EventLog::Level::kImportant, "config_older_in_store",
      {{"version", static_cast<int64_t>(config->config.version)},
       {"in_force", static_cast<int64_t>(state_.view.config().version)},
       {"revision", static_cast<int64_t>(change.revision)},
       {"era", static_cast<int64_t>(state_.known_store.era)}},
      now);
}

void StoreReader::LogFaults(const std::vector<std::string>& faults) {
  for (const std::string& fault : faults) {
    state_.log.Write(EventLog::Level::kImportant, "unreadable_entry",
                     {{"what", absl::string_view(fault)}}, BootNow());
  }
}

void StoreReader::MarkAvailable(absl::Time now) {
  if (failing_) {
    state_.log.Write(
        EventLog::Level::kImportant, "store_regained",
        {{"away_ms", absl::ToInt64Milliseconds(now - last_response_)}}, now);
    state_.view.RecordStoreOutage(last_response_, now);
  }
  failing_ = false;
  peer_ahead_since_ = absl::InfinitePast();
  last_response_ = now;
  backoff_ = absl::ZeroDuration();
}

void StoreReader::Fail(absl::string_view why, int status) {
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
  if (!failing_) {
    state_.log.Write(EventLog::Level::kImportant, "store_lost",
                     {{"why", why}, {"status", static_cast<int64_t>(status)}},
                     BootNow());
  }
  failing_ = true;
  const bool truncated = status_ == kOk && !body_.empty();
  if (phase_ == Phase::kFullRead || truncated) {
    phase_ = Phase::kFullRead;
    page_cursor_.clear();
  } else {
    phase_ = Phase::kPoll;
  }
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  // Jitter spreads the instances' retries.
  alarm_.Set(backoff_ * (0.5 + state_.Random()), shared_from_this(),
             &StoreReader::SendRequest);
}

}  // namespace umbertrail::front
