#include "platform.h"

#include <utility>

namespace umbertrail::sim {

FakePlatform::State& FakePlatform::Next(absl::Time now) {
  State next = history_.empty() ? State{} : history_.back();
  next.at = now;
  ++next.version;
  history_.push_back(std::move(next));
  return history_.back();
}

void FakePlatform::Publish(absl::Time now, manifest::Manifest manifest) {
  const uint64_t revision = manifest_.revision.value() + 1;
  manifest_ = std::move(manifest);
  manifest_.revision = ManifestRevision(revision);
  const manifest::PublishedManifest published =
      manifest::SplitManifest(manifest_);
  for (std::size_t i = 0; i < published.parts.size(); ++i) {
    parts_[published.head.parts[i].hash] = published.parts[i].bytes;
  }
  Next(now).head = published.head;
}

void FakePlatform::SetInstances(absl::Time now,
                                std::vector<core::InstanceInfo> instances) {
  Next(now).instances = std::move(instances);
}

void FakePlatform::SetTargets(absl::Time now,
                              std::vector<core::TargetInfo> targets) {
  Next(now).targets = std::move(targets);
}

const FakePlatform::State& FakePlatform::Seen(absl::Time now,
                                              absl::Duration lag) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    if (now - it->at >= lag) {
      return *it;
    }
  }
  return history_.front();
}

const std::string* FakePlatform::FindPart(const std::string& hash) const {
  const auto it = parts_.find(hash);
  return it == parts_.end() ? nullptr : &it->second;
}

}  // namespace umbertrail::sim
