// Measures routing and scheduling in virtual time against plain policies and
// writes measure-out/routing.json and measure-out/routing.md.

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cold_owners.h"
#include "decision_cost.h"
#include "owner_routing.h"
#include "plain_routing.h"

namespace umbertrail::measure {
namespace {

constexpr int kEngines = 10;
constexpr double kLoad = 0.8;
constexpr double kLongShare = 0.02;
constexpr double kMediumShare = 0.10;
constexpr int64_t kShortBelow = 4000;
constexpr int64_t kFirstTokenBelow = 8000;
constexpr int64_t kLongFrom = 100000;
constexpr uint64_t kSeeds[] = {11, 12, 13};
constexpr uint64_t kColdSeeds[] = {21, 22, 23};

using Runner =
    std::function<std::vector<JobResult>(const std::vector<Job>& jobs,
                                         const EngineSpec& spec,
                                         uint64_t seed)>;

struct Policy {
  std::string name;
  Runner run;
};

// Figures of one policy over all seeds.
struct Figures {
  std::vector<double> short_totals;
  std::vector<double> short_first_tokens;
  std::vector<double> first_tokens;  // of prompts under 8 k
  std::vector<double> long_totals;
  int longs = 0;
  int longs_finished = 0;
  int others = 0;
  int others_finished = 0;
};

Runner Plain(PlainPolicy policy) {
  return [policy](const std::vector<Job>& jobs, const EngineSpec& spec,
                  uint64_t seed) {
    return RunPlain(policy, jobs, spec, kEngines, seed);
  };
}

Runner Owned(bool classes) {
  return [classes](const std::vector<Job>& jobs, const EngineSpec& spec,
                   uint64_t seed) {
    core::OwnerConfig config;
    config.length_classes = classes;
    return RunOwned(config, jobs, spec, kEngines, seed);
  };
}

std::vector<Policy> Policies() {
  return {{"round robin", Plain(PlainPolicy::kRoundRobin)},
          {"least connections", Plain(PlainPolicy::kLeastConnections)},
          {"two choices, lagging reports", Plain(PlainPolicy::kTwoChoices)},
          {"two choices with engine priority",
           Plain(PlainPolicy::kTwoChoicesPriority)},
          {"owners without length classes", Owned(false)},
          {"owners", Owned(true)}};
}

void Collect(const std::vector<Job>& jobs,
             const std::vector<JobResult>& results,
             Figures* figures) {
  for (size_t i = 0; i < jobs.size(); ++i) {
    const Job& job = jobs[i];
    const JobResult& result = results[i];
    const bool is_long = job.prompt >= kLongFrom;
    (is_long ? figures->longs : figures->others) += 1;
    (is_long ? figures->longs_finished : figures->others_finished) +=
        result.finished ? 1 : 0;
    // What did not finish counts with its whole time.
    const double limit = absl::ToDoubleSeconds(job.time_limit);
    const double total =
        result.finished ? absl::ToDoubleSeconds(result.total) : limit;
    const double first =
        result.finished ? absl::ToDoubleSeconds(result.first_token) : limit;
    if (is_long) {
      figures->long_totals.push_back(total);
    }
    if (job.prompt < kShortBelow) {
      figures->short_totals.push_back(total);
      figures->short_first_tokens.push_back(first);
    }
    if (job.prompt < kFirstTokenBelow) {
      figures->first_tokens.push_back(first);
    }
  }
}

Figures Run(const Policy& policy, double longs, double mediums) {
  Figures figures;
  for (const uint64_t seed : kSeeds) {
    const EngineSpec spec;
    WorkloadSpec workload;
    workload.seed = seed;
    workload.length = absl::Minutes(4);
    workload.load = kLoad * kEngines;
    workload.prompt_cost = spec.PromptCost();
    workload.output_cost = spec.OutputCost();
    workload.long_share = longs;
    workload.medium_share = mediums;
    const std::vector<Job> jobs = MakeWorkload(workload);
    Collect(jobs, policy.run(jobs, spec, seed), &figures);
  }
  return figures;
}

double Ratio(int part, int whole) {
  return whole == 0 ? 1.0 : static_cast<double>(part) / whole;
}

void MeasurePolicies(nlohmann::json* out, std::ostream* page) {
  *page << "| policy | short alone p50 / p99 s | short mixed p50 / p99 s | "
           "slowdown p50 | slowdown p99 | first token p50 / p95 s | "
           "long p50 / p99 s | long finished | others finished |\n"
           "|---|---|---|---|---|---|---|---|---|\n";
  for (const Policy& policy : Policies()) {
    const Figures mixed = Run(policy, kLongShare, kMediumShare);
    const Figures alone = Run(policy, 0, 0);
    const auto slowdown = [&](double part) {
      return Percentile(mixed.short_totals, part) /
             Percentile(alone.short_totals, part);
    };
    nlohmann::json row;
    row["policy"] = policy.name;
    row["short_slowdown_p50"] = slowdown(0.5);
    row["short_slowdown_p99"] = slowdown(0.99);
    row["short_total_alone_p50_s"] = Percentile(alone.short_totals, 0.5);
    row["short_total_alone_p99_s"] = Percentile(alone.short_totals, 0.99);
    row["short_total_mixed_p50_s"] = Percentile(mixed.short_totals, 0.5);
    row["short_total_mixed_p99_s"] = Percentile(mixed.short_totals, 0.99);
    row["first_token_p50_s"] = Percentile(mixed.first_tokens, 0.5);
    row["first_token_p95_s"] = Percentile(mixed.first_tokens, 0.95);
    row["first_token_alone_p95_s"] = Percentile(alone.first_tokens, 0.95);
    row["long_finished"] = Ratio(mixed.longs_finished, mixed.longs);
    row["long_total_p50_s"] = Percentile(mixed.long_totals, 0.5);
    row["long_total_p99_s"] = Percentile(mixed.long_totals, 0.99);
    row["others_finished"] = Ratio(mixed.others_finished, mixed.others);
    char line[256];
    std::snprintf(line, sizeof(line),
                  "| %s | %.2f / %.2f | %.2f / %.2f | %.2f | %.2f | %.3f / "
                  "%.3f | %.0f / %.0f | "
                  "%.3f | %.4f |\n",
                  policy.name.c_str(), Percentile(alone.short_totals, 0.5),
                  Percentile(alone.short_totals, 0.99),
                  Percentile(mixed.short_totals, 0.5),
                  Percentile(mixed.short_totals, 0.99), slowdown(0.5),
                  slowdown(0.99), Percentile(mixed.first_tokens, 0.5),
                  Percentile(mixed.first_tokens, 0.95),
                  Percentile(mixed.long_totals, 0.5),
                  Percentile(mixed.long_totals, 0.99),
                  Ratio(mixed.longs_finished, mixed.longs),
                  Ratio(mixed.others_finished, mixed.others));
    *page << line;
    std::fputs(line, stdout);
    std::fflush(stdout);
    out->push_back(row);
  }
}

void AddUp(const ColdOwnersResult& run, ColdOwnersResult* sum) {
  sum->restarts += run.restarts;
  sum->granted += run.granted;
  sum->finished += run.finished;
  sum->owner_changes += run.owner_changes;
  sum->overloads += run.overloads;
}

void MeasureColdOwners(nlohmann::json* out, std::ostream* page) {
  *page << "\n| owners | lists | owner changes | restarts | granted | "
           "finished | cold overloads | without settling |\n"
           "|---|---|---|---|---|---|---|---|\n";
  for (const bool confirmed : {true, false}) {
    for (int owners = 2; owners <= 8; ++owners) {
      core::Mutations mutations;
      mutations.skip_cold_settling = true;
      ColdOwnersResult sound;
      ColdOwnersResult broken;
      for (const uint64_t seed : kColdSeeds) {
        AddUp(RunColdOwners(owners, confirmed, core::Mutations(), seed),
              &sound);
        AddUp(RunColdOwners(owners, confirmed, mutations, seed), &broken);
      }
      out->push_back({{"owners", owners},
                      {"confirmed", confirmed},
                      {"owner_changes", sound.owner_changes},
                      {"restarts", sound.restarts},
                      {"granted", sound.granted},
                      {"finished", sound.finished},
                      {"cold_overloads", sound.overloads},
                      {"cold_overloads_without_settling", broken.overloads}});
      char line[256];
      std::snprintf(line, sizeof(line),
                    "| %d | %s | %d | %d | %d | %d | %d | %d |\n", owners,
                    confirmed ? "lag 10 s" : "unconfirmed", sound.owner_changes,
                    sound.restarts, sound.granted, sound.finished,
                    sound.overloads, broken.overloads);
      *page << line;
      std::fputs(line, stdout);
    }
  }
}

void MeasureCost(nlohmann::json* out, std::ostream* page) {
  *page << "\n| waiting | probe µs | admit and settle µs | tick µs |\n"
           "|---|---|---|---|\n";
  for (const int queued : {0, 32, 200}) {
    const DecisionCost cost = MeasureDecisionCost(queued);
    out->push_back({{"waiting", queued},
                    {"probe_us", cost.probe_us},
                    {"admit_and_settle_us", cost.admit_and_settle_us},
                    {"tick_us", cost.tick_us}});
    char line[128];
    std::snprintf(line, sizeof(line), "| %d | %.1f | %.1f | %.1f |\n", queued,
                  cost.probe_us, cost.admit_and_settle_us, cost.tick_us);
    *page << line;
    std::fputs(line, stdout);
  }
}

int Main() {
  nlohmann::json out;
  std::ostringstream page;
  MeasurePolicies(&out["policies"], &page);
  MeasureColdOwners(&out["cold_owners"], &page);
  MeasureCost(&out["decision_cost"], &page);
  std::filesystem::create_directories("measure-out");
  std::ofstream("measure-out/routing.json") << out.dump(2) << "\n";
  std::ofstream("measure-out/routing.md") << page.str();
  return 0;
}

}  // namespace
}  // namespace umbertrail::measure

int main() {
  return umbertrail::measure::Main();
}
