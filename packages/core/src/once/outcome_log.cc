#include "umbertrail/core/once/outcome_log.h"

namespace umbertrail::core {

bool OutcomeLog::Take(absl::Time now,
                      const std::string& token,
                      const RequestId& request) {
  if (entries_.size() >= limits_.max_tokens) {
    return false;
  }
  const bool taken =
      entries_.emplace(token, Entry{request, false, {}, now}).second;
  if (taken) {
    by_age_.push_back({token, now});
    bodies_by_age_.push_back({token, now});
  }
  return taken;
}

void OutcomeLog::Finish(const std::string& token, const Outcome& outcome) {
  const auto it = entries_.find(token);
  if (it == entries_.end()) {
    return;
  }
  it->second.finished = true;
  it->second.outcome = outcome;
}

void OutcomeLog::Free(const std::string& token) {
  entries_.erase(token);
}

const OutcomeLog::Entry* OutcomeLog::Find(const std::string& token) const {
  const auto it = entries_.find(token);
  return it == entries_.end() ? nullptr : &it->second;
}

void OutcomeLog::Expire(absl::Time now) {
  while (!bodies_by_age_.empty() &&
         now - bodies_by_age_.front().taken > limits_.keep_outcome) {
    const Aged& oldest = bodies_by_age_.front();
    const auto it = entries_.find(oldest.token);
    if (it != entries_.end() && it->second.taken == oldest.taken) {
      it->second.outcome.body = nullptr;
    }
    bodies_by_age_.pop_front();
  }
  while (!by_age_.empty() && now - by_age_.front().taken > limits_.keep_token) {
    const Aged& oldest = by_age_.front();
    const auto it = entries_.find(oldest.token);
    // A freed token may have been taken again since.
    if (it != entries_.end() && it->second.taken == oldest.taken) {
      entries_.erase(it);
    }
    by_age_.pop_front();
  }
}

std::vector<RedemptionRecord> OutcomeLog::Records() const {
  std::vector<RedemptionRecord> records;
  records.reserve(entries_.size());
  for (const auto& [token, entry] : entries_) {
    records.push_back({token, entry.finished, entry.outcome});
  }
  return records;
}

}  // namespace umbertrail::core
