#include "workload.h"

#include <algorithm>
#include <cmath>

namespace umbertrail::measure {
namespace {

constexpr int kAccounts = 10;
constexpr int64_t kShortest = 1000;
constexpr int64_t kMedium = 4000;
constexpr int64_t kMediumEnd = 32000;
constexpr int64_t kLong = 100000;
constexpr int64_t kLeastOutput = 64;
constexpr int64_t kMostOutput = 256;
constexpr double kMeanOutput = (kLeastOutput + kMostOutput) / 2.0;

struct LogUniform {
  double low;
  double high;

  double Draw(RandomSource* random) const {
    return low * std::pow(high / low, random->Fraction());
  }
  double Mean() const { return (high - low) / std::log(high / low); }
};

}  // namespace

std::vector<Job> MakeWorkload(const WorkloadSpec& spec) {
  const auto random = MakeSeededRandom(spec.seed);
  const LogUniform shorts{kShortest, kMedium};
  const LogUniform mediums{kMedium, kMediumEnd};
  const LogUniform longs{kLong, static_cast<double>(spec.longest)};
  const double short_share = 1.0 - spec.long_share - spec.medium_share;
  const double mean = short_share * shorts.Mean() +
                      spec.medium_share * mediums.Mean() +
                      spec.long_share * longs.Mean();
  const double rate =
      spec.load / (mean * spec.prompt_cost + kMeanOutput * spec.output_cost);
  std::vector<Job> jobs;
  absl::Duration at;
  while (true) {
    at += absl::Seconds(-std::log(1.0 - random->Fraction()) / rate);
    if (at >= spec.length) {
      return jobs;
    }
    Job job;
    job.arrival = at;
    job.time_limit = absl::Seconds(60);
    const double which = random->Fraction();
    LogUniform length = shorts;
    if (which < spec.long_share) {
      length = longs;
      job.time_limit = absl::Minutes(10);
    } else if (which < spec.long_share + spec.medium_share) {
      length = mediums;
      job.time_limit = absl::Minutes(2);
    }
    job.prompt = static_cast<int64_t>(length.Draw(random.get()));
    job.max_output = kMostOutput;
    job.output =
        kLeastOutput +
        static_cast<int64_t>(random->Below(kMostOutput - kLeastOutput + 1));
    job.account = static_cast<int>(random->Below(kAccounts));
    jobs.push_back(job);
  }
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(part * last))];
}

}  // namespace umbertrail::measure
