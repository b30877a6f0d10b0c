#include "umbertrail/dispatch/placement.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/pass_time.h"

namespace umbertrail::dispatch {
namespace {

// Prompt tokens whose service is worth as much again as any request's.
constexpr double kTokensPerWorth = 8000;
// Part of a request's worth that is lost when it is late.
constexpr double kLateLoss = 0.75;
// Width of the passage from on time to late, as a part of the aim.
constexpr double kAimSoftness = 0.08;
// Passes from sending a prompt to the first event beside streams that write,
// and what is read: half of the one that runs, on average, and the one that
// reads it.
constexpr double kPassesToFirstEvent = 1.5;
// Most targets that read one prompt, beside the first: for speed, and where its
// memory needs them.
constexpr size_t kMaxHelpersForSpeed = 3;
constexpr size_t kMaxHelpersForMemory = 11;
// Part of a target's memory that a prompt may fill alone; the rest is for the
// prompts already there.
constexpr double kAloneMemoryShare = 0.8;
// Part of a target's memory that is set aside for another target's prompt.
constexpr double kReservedMemoryShare = 0.4;
// Part of the targets that stays free of long reading, for short prompts.
constexpr double kKeptFromLongReading = 0.5;
// A helper that fails more often than this spoils more than it speeds up.
constexpr double kMaxHelperFailing = 0.1;
// Shorter reading isn't worth a helper.
constexpr absl::Duration kMinHelpedRead = absl::Milliseconds(600);
// A first event may take this many times as long as predicted, and the margin.
constexpr double kExpectedError = 1.5;
constexpr absl::Duration kOverdueMargin = absl::Milliseconds(300);
// A target that is overdue by this much is expected to lose what it gets.
constexpr absl::Duration kFullyOverdue = absl::Milliseconds(500);
// Small costs that decide among targets that are otherwise equal.
constexpr double kPackingGain = 0.06;
constexpr double kBacklogCostPerSecond = 1.0;
constexpr double kFarCost = 0.01;
constexpr double kColdCost = 1.0;
constexpr double kHelperCost = 0.1;
constexpr double kTieCost = 0.02;
// A placement that costs less than this is taken without looking further.
constexpr double kGoodEnough = 0.1;
// Patience of callers (they leave after the longest of these).
constexpr absl::Duration kMinPatience = absl::Seconds(2);
constexpr int kPatienceInAims = 4;
constexpr int kPatienceInGaps = 8;
// Part of the patience up to which a predicted first event is tried.
constexpr double kUsablePatience = 0.8;
// Retry-After stays within these.
constexpr absl::Duration kMinRetry = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetry = absl::Seconds(3);
// A plain service's own queue, in units of its slots.
constexpr int kPlainQueueInSlots = 4;

// From 0 (well before the aim) to 1 (well after).
double LateShare(absl::Duration first, absl::Duration aim) {
  const double width =
      std::max(kAimSoftness * absl::ToDoubleSeconds(aim), 0.01);
  const double over = absl::ToDoubleSeconds(first - aim) / width;
  return 1 / (1 + std::exp(-over));
}

int Occupied(const Candidate& candidate) {
  return static_cast<int>(
      std::count_if(candidate.work.begin(), candidate.work.end(),
                    [](const WorkItem& item) { return !item.helping; }));
}

// What the streams at a target lose when a pass there lasts `pass`.
double HarmOfPass(const Candidate& candidate, absl::Duration pass) {
  double harm = 0;
  for (const WorkItem& item : candidate.work) {
    if (!item.helping && item.gap_aim < pass) {
      harm += kLateLoss * item.worth;
    }
  }
  return harm;
}

// A candidate with what the request would meet there.
struct Weighed {
  const Candidate* candidate = nullptr;
  PassLoad load;
  absl::Duration first_event;
  // What the streams there lose by its reading; part of the cost.
  double harm = 0;
  double cost = 0;
};

double StandingCost(const Candidate& candidate, double worth) {
  double cost = candidate.near ? 0 : kFarCost;
  cost += candidate.cold ? kColdCost * worth : 0;
  cost += candidate.failing * worth;
  return cost;
}

Weighed WeighPlain(const Candidate& candidate) {
  const int occupied = Occupied(candidate);
  Weighed weighed;
  weighed.candidate = &candidate;
  weighed.cost = static_cast<double>(occupied) / std::max(candidate.slots, 1) +
                 StandingCost(candidate, 1);
  return weighed;
}

Weighed WeighEngine(const Shape& shape,
                    const EngineModel& engine,
                    const Candidate& candidate,
                    double worth,
                    absl::Time now) {
  const int occupied = Occupied(candidate);
  const absl::Duration read = ReadTime(engine, shape.prompt);
  Weighed weighed;
  weighed.candidate = &candidate;
  const absl::Duration backlog =
      ReadBacklog(candidate.work, candidate.pace, now);
  weighed.load = PassLoadOf(candidate.work, backlog, candidate.pace);
  weighed.first_event = backlog + candidate.pace * read;
  if (occupied > 0) {
    weighed.first_event += WritingPass(engine, occupied) * kPassesToFirstEvent;
  }
  if (occupied >= candidate.slots) {
    // A slot comes free about every mean stream's time divided by the slots.
    const absl::Duration stream =
        WritingPass(engine, occupied) *
        (engine.usual_answer_tokens / std::max(engine.steps_per_pass, 1));
    weighed.first_event +=
        stream * (occupied - candidate.slots + 1) / candidate.slots;
  }
  weighed.cost = kLateLoss * worth *
                 LateShare(shape.waited + weighed.first_event, shape.aim);
  weighed.harm =
      HarmOfPass(candidate, PassWith(engine, weighed.load, shape.prompt, read));
  weighed.cost += weighed.harm;
  weighed.cost += kBacklogCostPerSecond * absl::ToDoubleSeconds(backlog);
  weighed.cost += occupied < candidate.slots
                      ? -kPackingGain * occupied / candidate.slots
                      : kPackingGain * (occupied - candidate.slots + 1);
  weighed.cost += StandingCost(candidate, worth);
  weighed.cost +=
      worth * std::min(1.0, absl::FDivDuration(OverdueBy(candidate.work, now),
                                               kFullyOverdue));
  return weighed;
}

// Helpers without which a prompt doesn't fit into the memory.
size_t HelpersForMemory(const EngineModel& engine, Tokens prompt) {
  const auto tokens = static_cast<double>(prompt.value());
  const auto memory = static_cast<double>(engine.memory.value());
  if (memory <= 0 || tokens <= kAloneMemoryShare * memory) {
    return 0;
  }
  // The first target holds a share like each helper's.
  return static_cast<size_t>(
             std::ceil(tokens / (kReservedMemoryShare * memory))) -
         1;
}

bool ReadsLong(const Candidate& candidate) {
  return std::any_of(candidate.work.begin(), candidate.work.end(),
                     [](const WorkItem& item) {
                       return item.reading && item.read_time >= kMinHelpedRead;
                     });
}

// Helpers that one prompt may take, so that enough targets stay free of long
// reading.
size_t MostHelpers(const std::vector<Weighed>& sorted) {
  const auto reading = std::count_if(
      sorted.begin(), sorted.end(),
      [](const Weighed& one) { return ReadsLong(*one.candidate); });
  const double may_read = std::ceil((1 - kKeptFromLongReading) *
                                    static_cast<double>(sorted.size()));
  return static_cast<size_t>(
      std::max(0.0, may_read - static_cast<double>(reading) - 1));
}

// Adds helpers to a long prompt's placement: as many as its memory needs, and
// more while that lowers the cost. False when there are too few.
bool AddHelpers(const Shape& shape,
                const EngineModel& engine,
                const std::vector<Weighed>& sorted,
                double worth,
                Placed* placed) {
  const absl::Duration read = ReadTime(engine, shape.prompt);
  const size_t needed = HelpersForMemory(engine, shape.prompt);
  if (needed == 0 && (read < kMinHelpedRead || sorted.size() < 2)) {
    return true;
  }
  const Weighed& first = sorted.front();
  const absl::Duration others =
      first.first_event - read * first.candidate->pace;
  double best = needed == 0 ? first.cost : HUGE_VAL;
  double harm = 0;
  std::vector<TargetId> helpers;
  const double late_before =
      LateShare(shape.waited + first.first_event, shape.aim);
  const size_t most =
      std::min(needed == 0 ? kMaxHelpersForSpeed : kMaxHelpersForMemory,
               MostHelpers(sorted));
  for (size_t i = 1; i < sorted.size() && helpers.size() < most; ++i) {
    const Candidate& helper = *sorted[i].candidate;
    if (helper.cold || helper.failing > kMaxHelperFailing || helper.no_helper) {
      continue;
    }
    harm += sorted[i].harm + kHelperCost;
    helpers.push_back(helper.id);
    const double parts = static_cast<double>(helpers.size()) + 1;
    const absl::Duration first_event = others + read / parts;
    const double late = LateShare(shape.waited + first_event, shape.aim);
    const double cost =
        first.cost + kLateLoss * worth * (late - late_before) + harm;
    if (helpers.size() >= needed && cost < best) {
      best = cost;
      placed->helpers = helpers;
      placed->first_event = first_event;
      placed->cost = cost;
    }
  }
  if (needed > 0 && !placed->helpers.empty()) {
    const auto parts = static_cast<int64_t>(placed->helpers.size()) + 1;
    placed->reserve_each = Tokens(shape.prompt.value() / parts + 1);
  }
  return placed->helpers.size() >= needed;
}

}  // namespace

std::optional<PlacementMode> ParsePlacementMode(absl::string_view name) {
  if (name == "predicted") {
    return PlacementMode::kPredicted;
  }
  if (name == "least-connections") {
    return PlacementMode::kLeastConnections;
  }
  if (name == "random") {
    return PlacementMode::kRandom;
  }
  return std::nullopt;
}

double WorthOf(Tokens prompt) {
  return 1 + static_cast<double>(prompt.value()) / kTokensPerWorth;
}

absl::Duration Patience(absl::Duration aim, absl::Duration gap_aim) {
  absl::Duration patience = std::max(kMinPatience, aim * kPatienceInAims);
  if (gap_aim < absl::InfiniteDuration()) {
    patience = std::max(patience, gap_aim * kPatienceInGaps);
  }
  return patience;
}

absl::Duration ReadBacklog(const std::vector<WorkItem>& work,
                           double pace,
                           absl::Time now) {
  std::vector<const WorkItem*> reading;
  for (const WorkItem& item : work) {
    if (item.reading) {
      reading.push_back(&item);
    }
  }
  std::sort(
      reading.begin(), reading.end(),
      [](const WorkItem* a, const WorkItem* b) { return a->since < b->since; });
  absl::Time free = absl::InfinitePast();
  for (const WorkItem* item : reading) {
    free = std::max(free, item->since) + item->read_time * pace;
  }
  return std::max(absl::ZeroDuration(), free - now);
}

absl::Duration OverdueBy(const std::vector<WorkItem>& work, absl::Time now) {
  absl::Duration overdue = absl::ZeroDuration();
  for (const WorkItem& item : work) {
    if (item.reading && !item.helping) {
      overdue =
          std::max(overdue, now - item.since - item.expected * kExpectedError -
                                kOverdueMargin);
    }
  }
  return overdue;
}

absl::Duration OverdueLimit(absl::Duration expected,
                            absl::Duration aim,
                            absl::Duration gap_aim) {
  return std::max(expected * 2 + kOverdueMargin, Patience(aim, gap_aim) / 2);
}

bool MayHaveHelp(const Shape& shape, const EngineModel* engine) {
  return engine != nullptr && ReadTime(*engine, shape.prompt) >= kMinHelpedRead;
}

bool IsGoodEnough(const Placed& placed) {
  return placed.cost < kGoodEnough;
}

std::vector<std::pair<TargetId, WorkItem>> WorkOf(const Shape& shape,
                                                  const EngineModel* engine,
                                                  const Placed& placed,
                                                  absl::Time now) {
  WorkItem item;
  item.since = now;
  item.gap_aim = shape.gap_aim;
  item.worth = WorthOf(shape.prompt);
  const auto parts = static_cast<int64_t>(placed.helpers.size()) + 1;
  item.prompt = Tokens(shape.prompt.value() / parts);
  if (engine != nullptr) {
    item.read_time =
        ReadTime(*engine, shape.prompt) / static_cast<double>(parts);
    item.reading = true;
    item.expected = placed.first_event;
  }
  std::vector<std::pair<TargetId, WorkItem>> work = {{placed.target, item}};
  item.helping = true;
  for (const TargetId& helper : placed.helpers) {
    work.emplace_back(helper, item);
  }
  return work;
}

PlacementResult Place(const Shape& shape,
                      const EngineModel* engine,
                      const std::vector<Candidate>& candidates,
                      absl::Time now,
                      double tie) {
  const double worth = WorthOf(shape.prompt);
  std::vector<Weighed> weighed;
  weighed.reserve(candidates.size());
  absl::Duration soonest = kMaxRetry;
  const absl::Duration patience =
      std::min(shape.left, Patience(shape.aim, shape.gap_aim)) - shape.waited;
  // Then the time counts with its helpers.
  const bool may_have_help = MayHaveHelp(shape, engine);
  PlacementResult result;
  size_t index = 0;
  for (const Candidate& candidate : candidates) {
    ++index;
    if (candidate.rate_used_up) {
      soonest = std::min(soonest, absl::Seconds(1));
      continue;
    }
    Weighed one = engine != nullptr
                      ? WeighEngine(shape, *engine, candidate, worth, now)
                      : WeighPlain(candidate);
    if (engine != nullptr) {
      result.soonest = std::min(result.soonest, one.first_event);
    }
    if (engine != nullptr && !may_have_help &&
        one.first_event > patience * kUsablePatience) {
      soonest = std::min(soonest, one.first_event - patience * kUsablePatience);
      continue;
    }
    if (engine == nullptr &&
        Occupied(candidate) >= candidate.slots * (1 + kPlainQueueInSlots)) {
      soonest = kMinRetry;
      continue;
    }
    const double turn = tie + static_cast<double>(index) * 0.6180339887;
    one.cost += kTieCost * (turn - std::floor(turn));
    weighed.push_back(one);
  }
  if (weighed.empty()) {
    result.retry_after = std::max(kMinRetry, soonest);
    return result;
  }
  std::sort(weighed.begin(), weighed.end(),
            [](const Weighed& a, const Weighed& b) { return a.cost < b.cost; });
  Placed placed;
  placed.target = weighed.front().candidate->id;
  placed.first_event = weighed.front().first_event;
  placed.cost = weighed.front().cost;
  if (may_have_help && (!AddHelpers(shape, *engine, weighed, worth, &placed) ||
                        placed.first_event > patience * kUsablePatience)) {
    result.retry_after = std::clamp(
        placed.first_event - patience * kUsablePatience, kMinRetry, kMaxRetry);
    return result;
  }
  result.placed = std::move(placed);
  return result;
}

}  // namespace umbertrail::dispatch
