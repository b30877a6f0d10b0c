#include "umbertrail/front/state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"
#include "umbertrail/base/hash.h"

// Which targets can be reached, which have crashed, and what they crash on.

namespace umbertrail::front {
namespace {

// Shorter losses of the links leave connections intact: only new ones fail.
constexpr absl::Duration kLinkOutage = absl::Seconds(1);

}  // namespace

void State::RecordBrokenConnection(const TargetId& target,
                                   int64_t born_ms,
                                   const dispatch::RequestContents& contents,
                                   absl::Time now,
                                   ReachabilityCallback done) {
  crash_detector.RecordBrokenConnection(target, born_ms, contents, now);
  CheckReachable(target, std::move(done));
}

void State::CheckReachable(const TargetId& target, ReachabilityCallback done) {
  const auto [check, is_new] = checks_.try_emplace(target);
  if (done) {
    check->second.push_back(std::move(done));
  }
  if (!is_new) {
    return;
  }
  OpenConnection(target, [this, target](bool connected) {
    if (connected) {
      FinishCheck(target, Reachability::kReachable);
    } else {
      CheckAnyReachable(
          target,
          SampleTargets(dispatch::TargetLinks::kMinUnreachable, target));
    }
  });
}

void State::CheckAnyReachable(const TargetId& unreachable,
                              std::vector<TargetId> others) {
  if (others.empty()) {
    FinishCheck(unreachable, Reachability::kUnknown);
    return;
  }
  const TargetId other = std::move(others.back());
  others.pop_back();
  OpenConnection(
      other, [this, unreachable, others = std::move(others)](bool connected) {
        if (connected) {
          FinishCheck(unreachable, Reachability::kUnreachable);
        } else {
          CheckAnyReachable(unreachable, others);
        }
      });
}

void State::FinishCheck(const TargetId& target, Reachability reachability) {
  const auto check = checks_.extract(target);
  if (check.empty()) {
    return;
  }
  for (const ReachabilityCallback& done : check.mapped()) {
    done(reachability);
  }
}

void State::OpenConnection(const TargetId& target,
                           std::function<void(bool connected)> done) {
  const dispatch::TargetEntry* entry = view.Find(target);
  const auto endpoint =
      entry == nullptr ? std::nullopt : net::ParseEndpoint(entry->address);
  if (!endpoint) {
    done(false);
    return;
  }
  const auto connection = std::make_shared<net::ClientConnection>(loop, memory);
  connection->Open(
      *endpoint, TargetPool::kConnectTimeout, TargetPool::kAckTimeout,
      [this, target, connection, done = std::move(done)](bool connected) {
        const absl::Time now = BootNow();
        if (connected) {
          RecordContact(now);
          crash_detector.RecordConnected(target, now);
          ReportCrashes(now);
          pool.Release(target, connection);
        } else {
          RecordUnreachable(target, now);
        }
        done(connected);
      });
}

std::vector<TargetId> State::SampleTargets(size_t count,
                                           const TargetId& excluded) {
  std::vector<TargetId> targets;
  for (const auto& [id, entry] : view.targets()) {
    if (view.MayServe(entry) && id != excluded) {
      targets.push_back(id);
    }
  }
  std::vector<TargetId> chosen;
  std::sample(targets.begin(), targets.end(), std::back_inserter(chosen), count,
              random);
  return chosen;
}

void State::RecordContact(absl::Time now) {
  if (links.RecordContact(now)) {
    const absl::Duration lost_for = now - links_lost_at_;
    log.Write(EventLog::Level::kImportant, "links_regained",
              {{"lost_ms", absl::ToInt64Milliseconds(lost_for)}}, now);
    if (lost_for >= kLinkOutage) {
      pool.CloseAllIdle();  // They may be dead.
    }
  }
}

void State::CheckLinks(absl::Time now) {
  const bool waits = !board.OwnTargets().empty() && links.IsSilent(now);
  if (!links.lost() && !waits) {
    return;
  }
  const size_t count =
      links.has_failures() ? dispatch::TargetLinks::kMinUnreachable : 1;
  for (const TargetId& target : SampleTargets(count, TargetId())) {
    OpenConnection(target, [](bool) {});
  }
}

void State::RecordUnreachable(const TargetId& target, absl::Time now) {
  if (links.RecordUnreachable(target, view.targets().size())) {
    log.Write(EventLog::Level::kImportant, "links_lost",
              {{"targets", static_cast<int64_t>(view.targets().size())}}, now);
    // What was seen last says nothing of the targets.
    health.clear();
    unreported_outcomes.clear();
    links_lost_at_ = now;
  }
  if (links.lost()) {
    return;
  }
  health[target].RecordUnreachable(now);
  pool.CloseIdle(target);
  crash_detector.RecordUnreachable(target, now);
  ReportCrashes(now);
}

void State::RecordRestart(const TargetId& target, absl::Time now) {
  pool.CloseIdle(target);
  health.erase(target);
  crash_detector.RecordRestart(target, now);
  ReportCrashes(now);
}

void State::ReportCrashes(absl::Time now) {
  bool news = false;
  for (const dispatch::TargetCrash& crash : crash_detector.TakeCrashes(now)) {
    log.Write(EventLog::Level::kImportant, "target_crashed",
              {{"target", crash.target.text()},
               {"born_ms", crash.born_ms},
               {"requests", static_cast<int64_t>(crash.wholes.size())},
               {"parts", static_cast<int64_t>(crash.parts.size())}},
              now);
    news = crash_evidence.Merge(crash, now) || news;
  }
  if (news && publish_crashes) {
    LogNewBlocks(now);
    publish_crashes();
  }
}

void State::LogNewBlocks(absl::Time now) {
  std::map<std::set<Fingerprint>, absl::Time> blocked;
  for (const auto& block : crash_evidence.blocks()) {
    const auto known = blocked_since_.find(block.contents);
    if (known != blocked_since_.end()) {
      blocked.insert(*known);
      continue;
    }
    blocked[block.contents] = now;
    const std::string contents = absl::StrJoin(
        block.contents, ",", [](std::string* out, Fingerprint content) {
          absl::StrAppend(out, absl::Hex(content.value()));
        });
    log.Write(EventLog::Level::kImportant, "content_blocked",
              {{"contents", absl::string_view(contents)},
               {"last_crash_ms_ago",
                absl::ToInt64Milliseconds(now - block.last_crash)}},
              now);
  }
  blocked_since_ = std::move(blocked);
}

bool State::IsBlocked(const dispatch::RequestContents& contents,
                      absl::Time now) {
  const bool blocked = crash_evidence.FindBlock(contents) != nullptr;
  if (blocked) {
    LogNewBlocks(now);
  }
  return blocked;
}

bool State::TakeTrial(const dispatch::RequestContents& contents,
                      absl::Time now) {
  const auto* block = crash_evidence.FindBlock(contents);
  if (block == nullptr) {
    return false;
  }
  const auto since = blocked_since_.find(block->contents);
  if (since == blocked_since_.end() ||
      !block_trials.MayTry(since->second, now)) {
    return false;
  }
  // One instance tries for all.
  const auto rank = [&](const InstanceId& instance) {
    return StableHash(instance.text(), block->contents.begin()->value());
  };
  const uint64_t own = rank(InstanceId(settings.ip));
  for (const dispatch::Member* member : members.Live(now)) {
    if (rank(member->id) < own) {
      return false;
    }
  }
  block_trials.RecordTrial(now);
  publish_crashes();
  return true;
}

}  // namespace umbertrail::front
