#include <catch2/catch.hpp>

#include <algorithm>

#include "example.h"

namespace umbertrail::manifest {
namespace {

std::vector<Fault> FaultsOf(const std::string& yaml) {
  const ParsedManifest parsed = ParseManifestFile(yaml, "doc");
  return std::holds_alternative<Manifest>(parsed)
             ? std::vector<Fault>()
             : std::get<std::vector<Fault>>(parsed);
}

// The example with the first `from` replaced by `to`.
std::string ExampleWith(const std::string& from, const std::string& to) {
  std::string yaml = ExampleYaml();
  const size_t at = yaml.find(from);
  REQUIRE(at != std::string::npos);
  return yaml.replace(at, from.size(), to);
}

TEST_CASE("a single-file manifest is parsed") {
  const Manifest m = Example();
  CHECK(m.revision == ManifestRevision(7));
  CHECK(m.data_centres.size() == 2);
  CHECK(m.models[0].version == "1.10");
  CHECK(m.models[0].context_limit == Tokens(1000000));
  CHECK(m.deployments[1].targets == 1);
  CHECK_FALSE(m.services[0].calls[0].repeatable);
  CHECK(m.accounts[0].requests_per_second == Approx(5.5));
  CHECK(m.engine_classes[0].checks_fencing);
}

struct BadCase {
  const char* from;
  const char* to;
  int line;
  const char* path;
};

TEST_CASE("each fault is reported with line and path") {
  const BadCase bad = GENERATE(values<BadCase>({
      {"revision: 7", "revision: 0", 1, "revision"},
      {"revision: 7", "revision: seven", 1, "revision"},
      {"revision: 7", "revision: 7\nrevision: 8", 2, "revision"},
      {"revision: 7", "revision: 7\nsurprise: 1", 2, "surprise"},
      {"revision: 7\n", "", 1, ""},
      {"regions: [south]", "regions: []", 0, "regions"},
      {"regions: [south]", "regions: south", 2, "regions"},
      {"regions: [south]", "regions: [south, south]", 2, "regions[1]"},
      {"region: south, open", "region: north, open", 4,
       "data_centres[0].region"},
      {"open: true", "open: yes", 4, "data_centres[0].open"},
      {"id: south-b", "id: south-a", 5, "data_centres[1]"},
      {"id: south-a", "id: 'a b'", 4, "data_centres[0].id"},
      {"memory: 400000", "memory: -1", 7, "engine_classes[0].memory"},
      {"memory: 400000", "memory: 9000000000000", 7,
       "engine_classes[0].memory"},
      {"cold_budget: 20000", "cold_budget: 500000", 7,
       "engine_classes[0].cold_budget"},
      {"context_limit: 1000000", "context_limit: 900000000", 9,
       "models[0].context_limit"},
      {"context_limit: 1000000", "context_limit: '1000000'", 9,
       "models[0].context_limit"},
      {"min_serving: 1", "min_serving: 4", 9, "models[0].min_serving"},
      {"[tally]", "[tally, tally]", 9, "models[0].adapters[1]"},
      {"targets: 2", "targets: -2", 11, "deployments[0].targets"},
      {"data_centre: south-b", "data_centre: south-c", 12,
       "deployments[1].data_centre"},
      {"data_centre: south-b", "data_centre: south-a", 12, "deployments[1]"},
      {"[{name: file, repeatable: false}, {name: look, repeatable: true}]",
       "[]", 15, "services[0].calls"},
      {"name: look", "name: file", 15, "services[0].calls[1]"},
      {"repeatable: false", "repeatable: null", 15,
       "services[0].calls[0].repeatable"},
      {"weight: 2", "weight: 0", 20, "accounts[0].weight"},
      {"weight: 2", "weight: .inf", 20, "accounts[0].weight"},
      {"requests_per_second: 5.5", "requests_per_second: -1", 21,
       "accounts[0].requests_per_second"},
      {"services: [filing]", "services: [posting]", 24,
       "accounts[0].services[0]"},
      {"key_hash: ", "key_hash: zz", 19, "accounts[0].key_hash"},
      {"key_salt: pepper", "key_salt: ''", 18, "accounts[0].key_salt"},
  }));
  INFO(bad.from << " -> " << bad.to);
  const std::vector<Fault> faults = FaultsOf(ExampleWith(bad.from, bad.to));
  REQUIRE_FALSE(faults.empty());
  const bool named =
      std::any_of(faults.begin(), faults.end(), [&](const Fault& it) {
        return it.part == "doc" && it.line == bad.line && it.path == bad.path;
      });
  INFO(ToText(faults, 10));
  CHECK(named);
}

TEST_CASE("all faults are reported, not only the first") {
  std::string yaml = ExampleWith("targets: 2", "targets: many");
  yaml.replace(yaml.find("weight: 2"), 9, "weight: -2");
  yaml.replace(yaml.find("region: south"), 13, "region: north");
  CHECK(FaultsOf(yaml).size() == 3);
}

TEST_CASE("malformed YAML is one fault with its line") {
  const std::vector<Fault> faults = FaultsOf("revision: 7\nregions: [a\n");
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].line >= 2);
  CHECK_FALSE(FaultsOf("").empty());
  CHECK_FALSE(FaultsOf("- a\n- b\n").empty());
  CHECK_FALSE(FaultsOf(std::string(kMaxPartBytes + 1, ' ')).empty());
}

TEST_CASE("parts are checked against the head") {
  const PublishedManifest good = SplitManifest(Example());
  REQUIRE(
      std::holds_alternative<Manifest>(ParseManifest(good.head, good.parts)));

  PublishedManifest missing = good;
  missing.parts.pop_back();
  CHECK(std::holds_alternative<std::vector<Fault>>(
      ParseManifest(missing.head, missing.parts)));

  PublishedManifest altered = good;
  altered.parts[1].bytes += "\n";
  CHECK(std::holds_alternative<std::vector<Fault>>(
      ParseManifest(altered.head, altered.parts)));

  PublishedManifest foreign = good;
  foreign.head.parts.push_back({"extra", ContentHash("{}")});
  foreign.parts.push_back({"extra", "{}"});
  CHECK(std::holds_alternative<std::vector<Fault>>(
      ParseManifest(foreign.head, foreign.parts)));
}

TEST_CASE("arbitrary bytes do not crash the parsers") {
  const std::string yaml = ExampleYaml();
  const auto random = MakeSeededRandom(11);
  for (int i = 0; i < 300; ++i) {
    std::string text = yaml.substr(0, random->Below(yaml.size()));
    for (int k = 0; k < 4 && !text.empty(); ++k) {
      text[random->Below(text.size())] = static_cast<char>(random->Below(256));
    }
    CHECK(FuzzManifest(reinterpret_cast<const uint8_t*>(text.data()),
                       text.size()) == 0);
  }
}

}  // namespace
}  // namespace umbertrail::manifest
