#include "umbertrail/telemetry/history.h"

#include <utility>

namespace umbertrail::telemetry {
namespace {

// An instance appends this and an id of its own to what a caller chose.
constexpr char kOwnIdMark = '~';

bool Matches(const std::string& held, const std::string& asked) {
  if (held == asked) {
    return true;
  }
  return held.size() > asked.size() && held[asked.size()] == kOwnIdMark &&
         held.compare(0, asked.size(), asked) == 0;
}

}  // namespace

HistoryStore::HistoryStore(size_t running_limit, size_t finished_limit)
    : running_limit_(running_limit), finished_limit_(finished_limit) {}

void HistoryStore::Begin(RequestHistory history) {
  const absl::MutexLock lock(&mutex_);
  if (running_.size() >= running_limit_ && !running_.contains(history.id)) {
    return;
  }
  const RequestId id = history.id;
  running_.insert_or_assign(id, std::move(history));
}

void HistoryStore::Change(const RequestId& id,
                          absl::FunctionRef<void(RequestHistory&)> change) {
  const absl::MutexLock lock(&mutex_);
  const auto it = running_.find(id);
  if (it != running_.end()) {
    change(it->second);
  }
}

void HistoryStore::AddStep(const RequestId& id,
                           absl::Time now,
                           StepDetail detail) {
  Change(id, [&](RequestHistory& history) {
    if (history.steps.size() >= kStepLimit) {
      ++history.steps_dropped;
      return;
    }
    history.steps.push_back({now - history.arrived, std::move(detail)});
  });
}

void HistoryStore::AddRelayed(const RequestId& id,
                              absl::Time now,
                              Tokens tokens) {
  Change(id, [&](RequestHistory& history) {
    RelaySummary& relay = history.relay;
    const absl::Duration after = now - history.arrived;
    if (relay.parts == 0) {
      relay.first_after = after;
    }
    ++relay.parts;
    relay.tokens += tokens;
    relay.last_after = after;
  });
}

void HistoryStore::Finish(const RequestId& id,
                          absl::Time now,
                          FinalOutcome outcome) {
  const absl::MutexLock lock(&mutex_);
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  outcome.after = now - it->second.arrived;
  it->second.outcome = outcome;
  it->second.steps.shrink_to_fit();
  finished_.push_back(std::move(it->second));
  running_.erase(it);
  if (finished_.size() > finished_limit_) {
    finished_.pop_front();
  }
}

std::vector<RequestHistory> HistoryStore::Find(const RequestId& id) const {
  const absl::MutexLock lock(&mutex_);
  std::vector<RequestHistory> out;
  for (const RequestHistory& it : finished_) {
    if (Matches(it.id.text(), id.text())) {
      out.push_back(it);
    }
  }
  for (const auto& [held, history] : running_) {
    if (Matches(held.text(), id.text())) {
      out.push_back(history);
    }
  }
  return out;
}

}  // namespace umbertrail::telemetry
