#include <catch2/catch.hpp>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "example.h"

namespace umbertrail::manifest {
namespace {

Manifest WithAccounts(int n) {
  Manifest m = Example();
  const ClientAccount model = m.accounts[0];
  m.accounts.clear();
  for (int i = 0; i < n; ++i) {
    m.accounts.push_back(model);
    m.accounts.back().id = ClientAccountId(absl::StrCat("club-", i));
  }
  return m;
}

int DifferentParts(const PublishedManifest& a, const PublishedManifest& b) {
  int n = 0;
  for (size_t i = 0; i < a.head.parts.size(); ++i) {
    n += a.head.parts[i] == b.head.parts[i] ? 0 : 1;
  }
  return n;
}

TEST_CASE("a split manifest parses back to the same manifest") {
  const Manifest m = Example();
  const PublishedManifest published = SplitManifest(m);
  const ParsedManifest parsed = ParseManifest(published.head, published.parts);
  REQUIRE(std::holds_alternative<Manifest>(parsed));
  const Manifest& back = std::get<Manifest>(parsed);
  CHECK(back.revision == m.revision);
  CHECK(DiffManifests(m, back).size() == 1);  // same revision
  CHECK(SplitManifest(back).head == published.head);
}

TEST_CASE("changing one account changes one part") {
  const Manifest before = WithAccounts(290);
  Manifest after = before;
  after.accounts[17].weight = 9;
  const PublishedManifest a = SplitManifest(before);
  const PublishedManifest b = SplitManifest(after);
  REQUIRE(a.head.parts.size() == 3 + kAccountShards);
  CHECK(DifferentParts(a, b) == 1);
  const ParsedManifest parsed = ParseManifest(b.head, b.parts);
  REQUIRE(std::holds_alternative<Manifest>(parsed));
  CHECK(std::get<Manifest>(parsed).accounts.size() == 290);
}

}  // namespace
}  // namespace umbertrail::manifest
