#include "knowledge.h"

#include <algorithm>
#include <utility>

namespace umbertrail::sim {
namespace {

// A message sent at once has come by then, or its repeat has.
constexpr absl::Duration kToldAtOnce = absl::Seconds(1);
// A newcomer is listed everywhere, and told, within this time.
constexpr absl::Duration kToldLater = absl::Seconds(15);

}  // namespace

void Knowledge::Part(absl::Time now,
                     absl::Time until,
                     std::set<std::string> far_side) {
  Heal(now);
  partitions_.push_back({now, until, std::move(far_side)});
}

void Knowledge::Heal(absl::Time now) {
  if (!partitions_.empty()) {
    partitions_.back().until = std::min(partitions_.back().until, now);
  }
}

bool Knowledge::Kept(const std::vector<Life>& lives,
                     const Life& witness,
                     absl::Time since,
                     absl::Time until) const {
  std::map<uint64_t, absl::Time> known_since;
  for (const Life& it : lives) {
    // One that has just started is in no list yet.
    const bool listed = it.started + kToldLater <= since;
    const bool there = (listed || it.id == witness.id) && it.ended > since;
    const bool told =
        InTouchFrom(witness.name, it.name, since, kToldAtOnce) == since;
    if (there && told) {
      known_since[it.id] = since;
    }
  }
  // Lives are in order of their start, and each teller may be told late itself,
  // so this goes on until nobody learns it sooner.
  for (bool changed = true; changed;) {
    changed = false;
    for (const Life& listener : lives) {
      for (const Life& teller : lives) {
        const auto known = known_since.find(teller.id);
        if (known == known_since.end()) {
          continue;
        }
        const absl::Time from =
            InTouchFrom(teller.name, listener.name,
                        std::max(listener.started, known->second), kToldLater);
        const absl::Time told = from + kToldLater;
        const auto had = known_since.find(listener.id);
        const bool sooner = had == known_since.end() || told < had->second;
        if (sooner && teller.ended >= told && listener.ended >= told) {
          known_since[listener.id] = told;
          changed = true;
        }
      }
    }
  }
  return std::any_of(lives.begin(), lives.end(), [&](const Life& it) {
    const auto known = known_since.find(it.id);
    return known != known_since.end() && known->second <= until &&
           it.ended > until;
  });
}

absl::Time Knowledge::InTouchFrom(const std::string& a,
                                  const std::string& b,
                                  absl::Time since,
                                  absl::Duration span) const {
  for (const Partition& it : partitions_) {
    const bool parted =
        (it.far_side.count(a) != 0) != (it.far_side.count(b) != 0);
    if (parted && it.until > since && it.from < since + span) {
      since = it.until;
    }
  }
  return since;
}

}  // namespace umbertrail::sim
