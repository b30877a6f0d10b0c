// Measures the published form of a manifest and the time to read it, by client
// accounts.

#include <algorithm>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "process_usage.h"
#include "report.h"
#include "umbertrail/manifest.h"

namespace umbertrail::capacity {
namespace {

constexpr int kModels = 30;
constexpr int kDataCentres = 11;
constexpr int kRegions = 3;

manifest::Manifest MakeManifest(int accounts) {
  manifest::Manifest out;
  out.revision = ManifestRevision(1000000);
  for (int i = 0; i < kRegions; ++i) {
    out.regions.push_back(RegionId(absl::StrCat("region-", i)));
  }
  for (int i = 0; i < kDataCentres; ++i) {
    out.data_centres.push_back({DataCentreId(absl::StrFormat("centre-%02d", i)),
                                out.regions[static_cast<size_t>(i % kRegions)],
                                true});
  }
  out.engine_classes.push_back({"large", true, Tokens(400000), Tokens(20000)});
  for (int i = 0; i < kModels; ++i) {
    const ModelId id(absl::StrFormat("shower-summaries-%02d", i));
    out.models.push_back({id, "2026-11-30", {}, Tokens(1000000), 2});
    for (const manifest::DataCentre& it : out.data_centres) {
      out.deployments.push_back({id, it.id, 2});
    }
  }
  for (int i = 0; i < accounts; ++i) {
    manifest::ClientAccount account;
    account.id = ClientAccountId(absl::StrFormat("hoshikawa-%03d", i));
    account.key_salt = "9e3779b97f4a7c15";
    account.key_hash = manifest::HashKey(account.key_salt, "secret");
    account.requests_per_second = 100;
    account.tokens_in_flight = Tokens(2000000);
    for (size_t j = 0; j < 10; ++j) {
      account.models.push_back(out.models[j].id);
    }
    out.accounts.push_back(account);
  }
  return out;
}

double ParseMillis(const manifest::PublishedManifest& published) {
  constexpr int kRounds = 5;
  const int64_t start = ThreadNanos();
  for (int i = 0; i < kRounds; ++i) {
    const auto parsed =
        manifest::ParseManifest(published.head, published.parts);
    if (!std::holds_alternative<manifest::Manifest>(parsed)) {
      return -1;
    }
  }
  return static_cast<double>(ThreadNanos() - start) / 1e6 / kRounds;
}

void Run() {
  std::vector<Point> total;
  std::vector<Point> accounts_part;
  std::vector<Point> parse;
  for (const int it : {36, 72, 145, 290}) {
    const auto published = manifest::SplitManifest(MakeManifest(it));
    size_t sum = 0;
    size_t largest = 0;
    for (const manifest::Part& part : published.parts) {
      sum += part.bytes.size();
      if (absl::StrContains(part.name, "account")) {
        largest = std::max(largest, part.bytes.size());
      }
    }
    std::cout << it << " accounts: " << published.parts.size() << " parts\n";
    const auto size = static_cast<double>(it);
    total.push_back({size, static_cast<double>(sum)});
    accounts_part.push_back({size, static_cast<double>(largest)});
    parse.push_back({size, ParseMillis(published)});
  }
  PrintSeries("manifest", "accounts", "bytes", total);
  PrintSeries("largest accounts part", "accounts", "bytes", accounts_part);
  PrintSeries("reading all parts", "accounts", "ms", parse);
}

}  // namespace
}  // namespace umbertrail::capacity

int main() {
  umbertrail::capacity::Run();
  return 0;
}
