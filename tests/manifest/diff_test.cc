#include <catch2/catch.hpp>

#include <algorithm>

#include "example.h"

namespace umbertrail::manifest {
namespace {

bool HasChange(const std::vector<Change>& changes,
               ChangeKind kind,
               const std::string& subject) {
  return std::any_of(changes.begin(), changes.end(), [&](const Change& it) {
    return it.kind == kind && it.subject == subject;
  });
}

TEST_CASE("changes are listed by kind and subject") {
  const Manifest before = Example();
  Manifest after = before;
  after.revision = ManifestRevision(8);
  after.data_centres[0].open = false;
  after.models[0].version = "2";
  after.deployments[1].targets = 0;
  after.accounts[0].services.clear();
  after.accounts[0].requests_per_second = 1;
  after.services[0].calls[1].repeatable = false;
  const std::vector<Change> changes = DiffManifests(before, after);
  CHECK(HasChange(changes, ChangeKind::kDataCentreClosed, "south-a"));
  CHECK(HasChange(changes, ChangeKind::kModelVersionChanged, "org/reader:8b"));
  CHECK(HasChange(changes, ChangeKind::kDeploymentChanged,
                  "org/reader:8b in south-b"));
  CHECK(HasChange(changes, ChangeKind::kModelShortOfTargets, "org/reader:8b"));
  CHECK(HasChange(changes, ChangeKind::kAccountRightLost, "club/filing"));
  CHECK(HasChange(changes, ChangeKind::kAccountLimitLowered,
                  "club/requests_per_second"));
  CHECK(HasChange(changes, ChangeKind::kCallNotRepeatable, "filing/look"));
  CHECK(changes.size() == 7);
}

TEST_CASE("removals and an older revision are listed") {
  const Manifest before = Example();
  Manifest after = before;
  after.revision = ManifestRevision(6);
  after.models.clear();
  after.deployments.clear();
  after.accounts.clear();
  const std::vector<Change> changes = DiffManifests(before, after);
  CHECK(HasChange(changes, ChangeKind::kRevisionNotNewer, "revision"));
  CHECK(HasChange(changes, ChangeKind::kModelRemoved, "org/reader:8b"));
  CHECK(HasChange(changes, ChangeKind::kAccountRemoved, "club"));
  CHECK(SeverityOf(ChangeKind::kAccountRemoved) == ChangeWeight::kCallers);
  CHECK(ToText(changes[0]) == "revision_not_newer revision: 7 -> 6");
}

TEST_CASE("manifests that differ only in revision have no changes") {
  const Manifest before = Example();
  Manifest after = before;
  after.revision = ManifestRevision(8);
  CHECK(DiffManifests(before, after).empty());
}

}  // namespace
}  // namespace umbertrail::manifest
