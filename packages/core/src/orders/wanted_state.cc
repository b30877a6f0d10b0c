#include "umbertrail/core/orders/wanted_state.h"

#include <algorithm>
#include <map>
#include <utility>

namespace umbertrail::core {
namespace {

// One engine that may serve one model.
struct Pair {
  uint64_t score = 0;
  size_t engine = 0;
  size_t model = 0;

  // Ties, which two different pairs all but never have, go by position.
  friend bool operator<(const Pair& a, const Pair& b) {
    if (a.score != b.score) {
      return a.score > b.score;
    }
    return a.engine != b.engine ? a.engine < b.engine : a.model < b.model;
  }
};

// A model wanted in one data centre.
struct Need {
  const manifest::Model* model = nullptr;
  int targets = 0;
};

// Lowers needs to what `engines` can cover, one more for each model in turn.
void FitNeeds(size_t engines, std::vector<Need>* needs) {
  std::vector<int> granted(needs->size(), 0);
  bool grew = true;
  while (engines > 0 && grew) {
    grew = false;
    for (size_t i = 0; i < needs->size() && engines > 0; ++i) {
      if (granted[i] < (*needs)[i].targets) {
        ++granted[i];
        --engines;
        grew = true;
      }
    }
  }
  for (size_t i = 0; i < needs->size(); ++i) {
    (*needs)[i].targets = granted[i];
  }
}

std::vector<Pair> ScorePairs(const std::vector<const TargetInfo*>& engines,
                             const std::vector<Need>& needs) {
  std::vector<Pair> pairs;
  pairs.reserve(engines.size() * needs.size());
  for (size_t i = 0; i < engines.size(); ++i) {
    const uint64_t seed = StableHash(engines[i]->id.text());
    for (size_t k = 0; k < needs.size(); ++k) {
      pairs.push_back({StableHash(needs[k].model->id.text(), seed), i, k});
    }
  }
  std::sort(pairs.begin(), pairs.end());
  return pairs;
}

WantedTarget MakeWanted(const TargetInfo& engine,
                        const manifest::Model& model) {
  WantedTarget wanted{engine.id, engine.data_centre, model.id, model.version,
                      model.adapters};
  std::sort(wanted.adapters.begin(), wanted.adapters.end());
  return wanted;
}

void Assign(const std::vector<const TargetInfo*>& engines,
            std::vector<Need> needs,
            std::vector<WantedTarget>* out) {
  FitNeeds(engines.size(), &needs);
  std::vector<bool> taken(engines.size(), false);
  for (const Pair& it : ScorePairs(engines, needs)) {
    if (!taken[it.engine] && needs[it.model].targets > 0) {
      taken[it.engine] = true;
      --needs[it.model].targets;
      out->push_back(MakeWanted(*engines[it.engine], *needs[it.model].model));
    }
  }
}

// Models wanted in each data centre, in model order.
std::map<DataCentreId, std::vector<Need>> NeedsOf(
    const manifest::Manifest& manifest) {
  std::map<ModelId, const manifest::Model*> models;
  for (const manifest::Model& it : manifest.models) {
    models[it.id] = &it;
  }
  std::map<DataCentreId, std::map<ModelId, int>> counts;
  for (const manifest::Deployment& it : manifest.deployments) {
    counts[it.data_centre][it.model] += it.targets;
  }
  std::map<DataCentreId, std::vector<Need>> needs;
  for (const auto& [data_centre, by_model] : counts) {
    for (const auto& [model, n] : by_model) {
      if (models.count(model) > 0) {
        needs[data_centre].push_back({models[model], n});
      }
    }
  }
  return needs;
}

}  // namespace

std::vector<WantedTarget> WantedState(const manifest::Manifest& manifest,
                                      const std::vector<TargetInfo>& targets) {
  std::map<DataCentreId, std::vector<const TargetInfo*>> engines;
  for (const TargetInfo& it : targets) {
    if (it.kind == TargetKind::kEngine && !it.leaving) {
      engines[it.data_centre].push_back(&it);
    }
  }
  std::vector<WantedTarget> wanted;
  for (auto& [data_centre, needs] : NeedsOf(manifest)) {
    std::vector<const TargetInfo*>& here = engines[data_centre];
    std::sort(
        here.begin(), here.end(),
        [](const TargetInfo* a, const TargetInfo* b) { return a->id < b->id; });
    Assign(here, std::move(needs), &wanted);
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const WantedTarget& a, const WantedTarget& b) {
              return a.target < b.target;
            });
  return wanted;
}

}  // namespace umbertrail::core
