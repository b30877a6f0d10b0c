#include "config_exchange.h"

#include <algorithm>

#include "peer_codec.h"

namespace umbertrail::front {
namespace {

using Standing = dispatch::ConfigAgreement::Standing;

// Entries in one message, so that it fits into one packet.
constexpr size_t kMaxEntriesPerMessage = 128;

absl::string_view NameOf(Standing standing) {
  switch (standing) {
    case Standing::kUnsettled:
      return "unsettled";
    case Standing::kCurrent:
      return "current";
    case Standing::kBehind:
      return "behind";
  }
  return "unknown";
}

}  // namespace

void ConfigExchange::AddClaim(PeerMessage* message, absl::Time now) const {
  const dispatch::ConfigAgreement& agreement = state_.config_agreement;
  const auto claim = agreement.LatestClaim(InstanceId(state_.settings.ip), now);
  const auto wire = claim ? ToWire(*claim, now) : std::nullopt;
  if (wire) {
    message->config_claim = *wire;
  }
  message->config_claim.sender = agreement.settled() ? kSettled : kUnsettled;
}

bool ConfigExchange::HandleMessage(const PeerMessage& message,
                                   const InstanceId& from,
                                   absl::Time now) {
  dispatch::ConfigAgreement& agreement = state_.config_agreement;
  const bool was_settled = agreement.settled();
  const auto claim = FromWire(message.config_claim, now);
  if (claim && claim->holder.text() != state_.settings.ip) {
    agreement.MergeClaim(*claim, now);
  }
  if (message.config_claim.sender != kSettlementNotStated) {
    agreement.RecordPeer(message.config_claim.sender == kSettled, now);
  }
  for (const PeerConfigEntries& entries : message.config_entries) {
    agreement.RecordEntries(from, FromWire(entries), now);
  }
  Update(now);
  const bool is_told = !was_settled && agreement.settled();
  const dispatch::ConfigClaim* contradiction = agreement.FindContradiction(now);
  if (contradiction == nullptr ||
      contradiction->version == forwarded_version_) {
    return is_told;
  }
  forwarded_version_ = contradiction->version;
  return true;
}

void ConfigExchange::AddEntries(const PeerMessage& message,
                                PeerMessage* reply) {
  if (message.config_requests.empty() || !state_.view.has_config()) {
    return;
  }
  const std::vector<dispatch::ConfigEntry>& all = OwnEntries();
  dispatch::ConfigEntriesPage page;
  page.version = own_entries_version_;
  page.from = dispatch::ConfigEntry(message.config_requests.front().from);
  const auto first = std::lower_bound(all.begin(), all.end(), page.from);
  const auto count = std::min<std::ptrdiff_t>(
      all.end() - first, static_cast<std::ptrdiff_t>(kMaxEntriesPerMessage));
  page.entries.assign(first, first + count);
  page.is_last = first + count == all.end();
  reply->config_entries.push_back(ToWire(page));
}

const std::vector<dispatch::ConfigEntry>& ConfigExchange::OwnEntries() {
  const dispatch::FleetConfig& config = state_.view.config();
  if (own_entries_version_ != config.version) {
    own_entries_ = dispatch::EntriesOf(config);
    own_entries_version_ = config.version;
  }
  return own_entries_;
}

void ConfigExchange::Update(absl::Time now) {
  state_.config_agreement.Update(now);
  const Standing standing = state_.config_agreement.StandingAt(now);
  if (standing != logged_) {
    LogStanding(standing, now);
    logged_ = standing;
  }
}

void ConfigExchange::LogStanding(Standing standing, absl::Time now) {
  const dispatch::ConfigAgreement& agreement = state_.config_agreement;
  EventLog::Fields fields = {{"standing", NameOf(standing)},
                             {"before", NameOf(logged_)},
                             {"others_heard", agreement.has_heard_settled()}};
  if (agreement.has_own()) {
    const dispatch::ConfigAgreement::Own& own = agreement.own();
    const bool given_up = logged_ == Standing::kBehind &&
                          standing == Standing::kCurrent &&
                          own.version < logged_later_version_;
    fields.push_back({"given_up", given_up});
    fields.push_back({"version", static_cast<int64_t>(own.version)});
    fields.push_back({"era", static_cast<int64_t>(own.store.era)});
    fields.push_back({"revision", static_cast<int64_t>(own.store.revision)});
  }
  const dispatch::ConfigClaim* later = agreement.later_claim();
  logged_later_version_ = later == nullptr ? 0 : later->version;
  if (later != nullptr) {
    fields.push_back({"later_version", static_cast<int64_t>(later->version)});
    fields.push_back({"holder", later->holder.text()});
    fields.push_back({"holder_era", static_cast<int64_t>(later->store.era)});
  }
  state_.log.Write(EventLog::Level::kImportant, "config_standing", fields, now);
}

}  // namespace umbertrail::front
