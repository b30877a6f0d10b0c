#include "runner.h"

#include <rapidcheck.h>

#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "umbertrail/core/invariant.h"
#include "world.h"

namespace umbertrail::sim {
namespace {

constexpr uint32_t kMostInstances = 6;
constexpr int kSize = 60;

struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void ThrowInvariant(const char* condition, const char* file, int line) {
  throw BrokenInvariant(
      absl::StrCat("invariant ", condition, " at ", file, ":", line));
}

rc::Gen<uint32_t> AnyNumber() {
  return rc::gen::inRange<uint32_t>(0, 1000000);
}

rc::Gen<CommandKind> KindGen(Mix mix) {
  using Kind = CommandKind;
  if (mix == Mix::kNone) {
    return rc::gen::element(Kind::kPrompt, Kind::kPrompt, Kind::kFiling);
  }
  // Work comes more often than faults: a run must have something to lose.
  return rc::gen::weightedElement<Kind>({
      {12, Kind::kPrompt},      {3, Kind::kBurst},
      {6, Kind::kFiling},       {3, Kind::kFilingUnderFire},
      {3, Kind::kPoison},       {3, Kind::kCrash},
      {3, Kind::kPause},        {3, Kind::kPartition},
      {2, Kind::kUnrulyLinks},  {2, Kind::kConfigDown},
      {2, Kind::kConfigStale},  {2, Kind::kListsDiffer},
      {3, Kind::kTargetDies},   {2, Kind::kTargetCold},
      {2, Kind::kTargetSilent}, {1, Kind::kTargetLeaves},
      {3, Kind::kDataCentre},   {2, Kind::kVersion},
      {2, Kind::kStop},
  });
}

rc::Gen<Script> ScriptGen(Mix mix) {
  const auto command = rc::gen::build<Command>(
      rc::gen::set(&Command::kind, KindGen(mix)),
      rc::gen::set(&Command::a, AnyNumber()),
      rc::gen::set(&Command::b, AnyNumber()),
      rc::gen::set(&Command::c, AnyNumber()),
      rc::gen::set(&Command::gap_ms, rc::gen::inRange<uint32_t>(0, 3000)));
  return rc::gen::build<Script>(
      rc::gen::set(&Script::seed,
                   rc::gen::noShrink(rc::gen::arbitrary<uint64_t>())),
      rc::gen::set(&Script::instances,
                   rc::gen::inRange<uint32_t>(2, kMostInstances + 1)),
      rc::gen::set(&Script::commands,
                   rc::gen::container<std::vector<Command>>(command)));
}

rc::Shrinkable<Script> Generate(uint64_t seed, Mix mix) {
  return ScriptGen(mix)(rc::Random(seed), kSize);
}

}  // namespace

Script MakeScript(uint64_t seed, Mix mix) {
  return Generate(seed, mix).value();
}

RunResult RunScript(const Script& script,
                    const core::Mutations& mutations,
                    bool trace) {
  // Once for all threads: scripts run side by side.
  static const bool installed = [] {
    core::SetInvariantHandler(ThrowInvariant);
    return true;
  }();
  static_cast<void>(installed);
  RunResult result;
  World world(script.seed, script.instances, mutations, trace);
  try {
    world.Run(script.commands);
  } catch (const BrokenInvariant& e) {
    result.failure = e.what();
  }
  const auto& violations = world.reference().violations();
  if (!result.failure.has_value() && !violations.empty()) {
    result.failure = violations.front().what;
  }
  result.counts = world.reference().counts();
  result.trace = world.trace();
  return result;
}

Shrunk Shrink(uint64_t seed,
              Mix mix,
              const core::Mutations& mutations,
              int tries) {
  rc::Shrinkable<Script> best = Generate(seed, mix);
  bool smaller = true;
  while (smaller && tries > 0) {
    smaller = false;
    auto shrinks = best.shrinks();
    for (auto next = shrinks.next(); next && tries > 0; next = shrinks.next()) {
      --tries;
      if (RunScript(next->value(), mutations, false).failure.has_value()) {
        best = *next;
        smaller = true;
        break;
      }
    }
  }
  Shrunk shrunk;
  shrunk.script = best.value();
  shrunk.result = RunScript(shrunk.script, mutations, true);
  return shrunk;
}

}  // namespace umbertrail::sim
