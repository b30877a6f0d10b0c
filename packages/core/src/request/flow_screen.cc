// Screening: asks the homes of a content whether it may run now, beside the
// probes and in the same round trip.

#include <algorithm>
#include <utility>

#include "umbertrail/core/request/rendezvous.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kScreenWait = absl::Milliseconds(200);
// The homes of a content, with further ones in place of those that are new,
// silent or gone.
constexpr std::size_t kMostScreenHomes = 4;

}  // namespace

void RequestFlow::BeginScreen(absl::Time now,
                              ActiveRequest* r,
                              Actions* actions) {
  if (r->spec.fingerprint == Fingerprint(0)) {
    r->screened = true;
    return;
  }
  // What this instance itself was told needs no answer from elsewhere.
  const uint32_t known = parts_.screen->DeathsOf(r->spec.fingerprint);
  if (std::max(known, r->deaths_seen) >= ScreenHome::kDeathLimit &&
      !parts_.mutations->forget_deaths) {
    FinishQuarantined(now, r, actions);
    return;
  }
  r->screen_attempt = r->attempt;
  r->screen_clean = r->deaths_seen == 0 && known == 0;
  r->screen_vouched = false;
  const auto homes =
      RankInstances(r->spec.fingerprint.value(), parts_.fleet->instances(),
                    ScreenHome::kHomes);
  for (const InstanceId& home : homes) {
    AskScreen(now, r, home, actions);
  }
  if (homes.empty()) {
    AskScreen(now, r, self_.id, actions);
  }
}

void RequestFlow::AskScreen(absl::Time now,
                            ActiveRequest* r,
                            const InstanceId& home,
                            Actions* actions) {
  r->screen_homes.push_back(home);
  r->screen_tried.insert(home);
  actions->push_back(
      SendPeer{home, ScreenRequest{r->spec.id, r->screen_attempt,
                                   r->spec.fingerprint, r->TimeLeft(now)}});
}

bool RequestFlow::AskFurtherHomes(absl::Time now,
                                  ActiveRequest* r,
                                  std::size_t most,
                                  Actions* actions) {
  std::size_t asked = 0;
  const auto homes = RankInstances(r->spec.fingerprint.value(),
                                   parts_.fleet->instances(), kMostScreenHomes);
  for (const InstanceId& home : homes) {
    if (asked < most && r->screen_tried.count(home) == 0) {
      AskScreen(now, r, home, actions);
      ++asked;
    }
  }
  return asked > 0;
}

void RequestFlow::OnScreenReply(absl::Time now,
                                const InstanceRef& from,
                                const ScreenReply& reply,
                                Actions* actions) {
  ActiveRequest* r = table_.Find(reply.request);
  const bool expected = r != nullptr && r->phase == Phase::kProbing &&
                        !r->screened && r->screen_attempt == reply.attempt;
  if (!expected) {
    return;
  }
  r->suspect = r->suspect || reply.deaths > 0;
  if (reply.verdict == ScreenVerdict::kQuarantined) {
    FinishQuarantined(now, r, actions);
    return;
  }
  if (reply.verdict == ScreenVerdict::kWait) {
    // Two requests must not each hold one home and wait for the other.
    ReleaseScreen(r, ScreenEnd::kReleased, actions);
    Hold(now, r, kScreenWait);
    return;
  }
  r->screen_agreed.insert(from.id);
  r->screen_clean = r->screen_clean && reply.deaths == 0 && reply.others == 0;
  r->screen_vouched = r->screen_vouched || !reply.young;
  if (reply.young) {
    AskFurtherHomes(now, r, 1, actions);
  }
  if (!ScreenAnswered(*r)) {
    return;
  }
  if (!r->screen_vouched || r->screen_passed_over > 0) {
    PassWithFewerHomes(now, r, actions);
    if (!r->screened) {
      return;
    }
  }
  r->screened = true;
  DecideProbes(now, r, actions);
}

bool RequestFlow::ScreenAnswered(const ActiveRequest& r) {
  return r.screen_agreed.size() + r.screen_passed_over >= r.screen_homes.size();
}

void RequestFlow::OnScreenSilent(absl::Time now,
                                 ActiveRequest* r,
                                 Actions* actions) {
  // Those who are silent may still have let it run, so they stay among the
  // homes that are told its end.
  r->screen_passed_over = r->screen_homes.size() - r->screen_agreed.size();
  if (AskFurtherHomes(now, r, kMostScreenHomes, actions)) {
    return;
  }
  if (!r->screen_agreed.empty()) {
    PassWithFewerHomes(now, r, actions);
    return;
  }
  if (r->screen_tried.count(self_.id) == 0) {
    // No home is in reach; this instance stands in, with a tighter limit.
    AskScreen(now, r, self_.id, actions);
  }
}

void RequestFlow::OnScreenUnreachable(absl::Time now,
                                      ActiveRequest* r,
                                      const InstanceId& home,
                                      Actions* actions) {
  const auto it =
      std::find(r->screen_homes.begin(), r->screen_homes.end(), home);
  if (it == r->screen_homes.end()) {
    return;
  }
  r->screen_homes.erase(it);
  r->screen_agreed.erase(home);
  r->screen_passed_over = std::min(
      r->screen_passed_over, r->screen_homes.size() - r->screen_agreed.size());
  if (AskFurtherHomes(now, r, 1, actions)) {
    return;
  }
  if (r->screen_homes.empty()) {
    AskScreen(now, r, self_.id, actions);
  } else if (ScreenAnswered(*r)) {
    PassWithFewerHomes(now, r, actions);
  }
}

void RequestFlow::PassWithFewerHomes(absl::Time now,
                                     ActiveRequest* r,
                                     Actions* actions) {
  // A home out of reach or replaced may have let one run: only a first one may
  // go. When all that answered are new, a silent one may be all that knows.
  const bool known = r->screen_vouched || r->screen_passed_over == 0;
  if (r->screen_clean && known) {
    r->screened = true;
    return;
  }
  ReleaseScreen(r, ScreenEnd::kReleased, actions);
  Hold(now, r, kScreenWait);
}

void RequestFlow::ReleaseScreen(ActiveRequest* r,
                                ScreenEnd end,
                                Actions* actions) {
  for (const InstanceId& home : r->screen_homes) {
    actions->push_back(SendPeer{
        home,
        ScreenEnded{
            r->spec.id, r->screen_attempt, r->spec.fingerprint, end, {}}});
  }
  ForgetScreen(r);
}

void RequestFlow::ForgetScreen(ActiveRequest* r) {
  r->screen_homes.clear();
  r->screen_agreed.clear();
  r->screen_tried.clear();
  r->screen_passed_over = 0;
  r->screened = false;
}

void RequestFlow::FinishQuarantined(absl::Time now,
                                    ActiveRequest* r,
                                    Actions* actions) {
  Outcome outcome;
  outcome.reason = Reason::kQuarantined;
  outcome.ran = r->ran() == Ran::kYes ? Ran::kYes : Ran::kUnknown;
  outcome.detail = "targets died while running this content";
  Finish(now, r, std::move(outcome), actions);
}

}  // namespace umbertrail::core
