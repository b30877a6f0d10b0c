// Runs many generated scripts and stops at the first broken property.

#include <docopt.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mutation_table.h"
#include "runner.h"

namespace umbertrail::sim {
namespace {

constexpr char kUsage[] = R"(Runs generated scripts of faults in virtual time.

Usage:
  soak [--first=SEED] [--seeds=N] [--mutation=NAME] [--calm] [--jobs=N]
       [--keep-going]
  soak --seed=SEED [--mutation=NAME] [--calm] [--shrink=TRIES]
  soak --mutations [--seeds=N] [--jobs=N]
  soak --help

Options:
  --first=SEED     First seed [default: 1].
  --seeds=N        How many seeds [default: 1000].
  --seed=SEED      Replays one seed and prints each event.
  --shrink=TRIES   Shrinks a failure within so many runs [default: 0].
  --mutation=NAME  Breaks one mechanism on purpose.
  --mutations      Shows for each mechanism which seed finds its loss.
  --calm           No faults.
  --jobs=N         Threads [default: 4].
  --keep-going     Counts failures instead of stopping at the first.

Exit status: 0 all held; 1 a property broke; 2 usage.
)";

struct Found {
  uint64_t seed = 0;
  std::string what;
};

struct Summary {
  uint64_t runs = 0;
  Reference::Counts counts;
  std::vector<Found> failures;
};

void AddCounts(const Reference::Counts& from, Reference::Counts* to) {
  to->submitted += from.submitted;
  to->whole += from.whole;
  to->refused += from.refused;
  to->failed += from.failed;
  to->lost += from.lost;
  to->filings_run += from.filings_run;
  for (const auto& [reason, n] : from.by_reason) {
    to->by_reason[reason] += n;
  }
}

Summary RunSeeds(uint64_t first,
                 uint64_t n,
                 Mix mix,
                 const core::Mutations& mutations,
                 bool keep_going,
                 int jobs) {
  Summary summary;
  std::mutex mutex;
  std::atomic<uint64_t> next{first};
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < jobs; ++i) {
    threads.emplace_back([&] {
      for (uint64_t seed = next++; seed < first + n && !stop; seed = next++) {
        const RunResult result =
            RunScript(MakeScript(seed, mix), mutations, false);
        const std::lock_guard<std::mutex> lock(mutex);
        ++summary.runs;
        AddCounts(result.counts, &summary.counts);
        if (result.failure.has_value()) {
          summary.failures.push_back({seed, *result.failure});
          stop = !keep_going;
        }
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return summary;
}

void Print(const Summary& summary) {
  const Reference::Counts& counts = summary.counts;
  std::printf(
      "%llu runs: %d requests, %d whole, %d refused (not run), %d failed, "
      "%d lost with their instance, %d filings run\n",
      static_cast<unsigned long long>(summary.runs), counts.submitted,
      counts.whole, counts.refused, counts.failed, counts.lost,
      counts.filings_run);
  for (const auto& [reason, n] : counts.by_reason) {
    std::printf("  reason %d: %d\n", static_cast<int>(reason), n);
  }
  std::map<std::string, int> kinds;
  for (const Found& it : summary.failures) {
    std::printf("FAILED seed %llu: %s\n",
                static_cast<unsigned long long>(it.seed), it.what.c_str());
    ++kinds[it.what.substr(0, 24)];
  }
  for (const auto& [kind, n] : kinds) {
    std::printf("  %4d x %s...\n", n, kind.c_str());
  }
}

int Replay(uint64_t seed, Mix mix, const core::Mutations& m, int tries) {
  RunResult result;
  if (tries > 0) {
    const Shrunk shrunk = Shrink(seed, mix, m, tries);
    std::printf("%zu commands, %u instances\n", shrunk.script.commands.size(),
                shrunk.script.instances);
    result = shrunk.result;
  } else {
    result = RunScript(MakeScript(seed, mix), m, true);
  }
  for (const std::string& it : result.trace) {
    std::printf("%s\n", it.c_str());
  }
  std::printf("%s\n", result.failure.value_or("all held").c_str());
  return result.failure.has_value() ? 1 : 0;
}

// The first seed up to `seeds` that breaks the expected property with the
// mutation and holds without.
std::optional<Found> FindLoss(const NamedMutation& mutation,
                              uint64_t seeds,
                              int jobs) {
  constexpr uint64_t chunk = 50;
  core::Mutations mutations;
  mutations.*mutation.flag = true;
  for (uint64_t first = 1; first <= seeds; first += chunk) {
    const Summary summary =
        RunSeeds(first, chunk, Mix::kAll, mutations, true, jobs);
    std::optional<Found> best;
    for (const Found& it : summary.failures) {
      const bool earlier = !best.has_value() || it.seed < best->seed;
      const bool shows = it.what.find(mutation.finding) != std::string::npos;
      if (earlier && shows &&
          !RunScript(MakeScript(it.seed, Mix::kAll), core::Mutations(), false)
               .failure.has_value()) {
        best = it;
      }
    }
    if (best.has_value()) {
      return best;
    }
  }
  return std::nullopt;
}

int ShowMutations(uint64_t seeds, int jobs) {
  int missed = 0;
  for (const NamedMutation& it : kMutations) {
    const std::optional<Found> found = FindLoss(it, seeds, jobs);
    if (!found.has_value()) {
      std::printf("%-30s NOT FOUND in %llu seeds\n", it.name,
                  static_cast<unsigned long long>(seeds));
      ++missed;
      continue;
    }
    std::printf("%-30s seed %llu: %s\n", it.name,
                static_cast<unsigned long long>(found->seed),
                found->what.c_str());
  }
  return missed == 0 ? 0 : 1;
}

int Main(int argc, char** argv) {
  const auto args =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "soak");
  const auto number = [&](const char* name) {
    return static_cast<uint64_t>(args.at(name).asLong());
  };
  core::Mutations mutations;
  if (args.at("--mutation")) {
    const std::string name = args.at("--mutation").asString();
    bool known = false;
    for (const NamedMutation& it : kMutations) {
      if (name == it.name) {
        mutations.*it.flag = true;
        known = true;
      }
    }
    if (!known) {
      std::fprintf(stderr, "no such mutation: %s\n", name.c_str());
      return 2;
    }
  }
  const Mix mix = args.at("--calm").asBool() ? Mix::kNone : Mix::kAll;
  const int jobs = static_cast<int>(number("--jobs"));
  if (args.at("--seed")) {
    return Replay(number("--seed"), mix, mutations,
                  static_cast<int>(number("--shrink")));
  }
  if (args.at("--mutations").asBool()) {
    return ShowMutations(number("--seeds"), jobs);
  }
  const Summary summary =
      RunSeeds(number("--first"), number("--seeds"), mix, mutations,
               args.at("--keep-going").asBool(), jobs);
  Print(summary);
  return summary.failures.empty() ? 0 : 1;
}

}  // namespace
}  // namespace umbertrail::sim

int main(int argc, char** argv) {
  return umbertrail::sim::Main(argc, argv);
}
