#ifndef UMBERTRAIL_TESTS_SIM_WORLD_H_
#define UMBERTRAIL_TESTS_SIM_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "commands.h"
#include "fake_target.h"
#include "knowledge.h"
#include "platform.h"
#include "reference.h"
#include "scheduler.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"

namespace umbertrail::sim {

// A handful of nodes in virtual time, the messages and timers between them,
// and fakes at their interfaces. Judges each run against the reference.
class World {
 public:
  World(uint64_t seed,
        uint32_t instances,
        core::Mutations mutations,
        bool trace);
  ~World();

  // Carries out the commands, then lets everything heal and end.
  void Run(const std::vector<Command>& commands);

  const Reference& reference() const { return reference_; }
  const std::vector<std::string>& trace() const { return trace_; }

 private:
  struct Instance;
  struct Filing;

  // Life of instances.
  void StartInstance(uint32_t place);
  void KillInstance(Instance* instance);
  void StopInstance(Instance* instance);
  void AnnounceInstances();
  Instance* Pick(uint32_t n);
  std::vector<Instance*> Live();

  // Events and actions.
  void Deliver(uint64_t life, core::Event event);
  void Handle(Instance* instance, core::Event event);
  // Writes into the trace what owners grant and what homes of content say.
  void NoteMessage(const Instance& instance, const core::Event& event);
  void ScheduleTick(Instance* instance);
  void CarryOut(Instance* instance, core::Action action);
  void Do(Instance* instance, core::SendPeer action);
  void Do(Instance* instance, core::StartAttempt action);
  void Do(Instance* instance, core::CancelAttempt action);
  void Do(Instance* instance, core::RelayChunk action);
  void Do(Instance* instance, core::FinishRequest action);
  void Do(Instance* instance, core::TicketIssued action);
  void Do(Instance* instance, core::PollTarget action);
  void Do(Instance* instance, core::SendOrder action);
  void Do(Instance* instance, core::FreeAllocations action);
  void Do(Instance* instance, core::ReadPart action);
  void Do(Instance* instance, core::StopComplete action);
  void Watch(uint64_t life);
  void ReplyTo(uint64_t life, const std::string& target, core::Event event);

  // Links.
  bool Parted(const std::string& a, const std::string& b) const;
  absl::Duration LinkDelay();

  // Callers.
  void Submit(Instance* instance,
              core::RequestArrived event,
              const std::string& filing);
  void SendPrompt(Instance* instance,
                  Tokens prompt,
                  absl::Duration limit,
                  Fingerprint fingerprint);
  void BeginFiling(const Command& command);
  void AttackFiling();
  void SubmitFiling(const std::string& filing);
  void OnFilingOutcome(const std::string& filing, const core::Outcome& outcome);

  // Commands.
  void Do(const Command& command);
  void CloseOrOpen(uint32_t n);
  void PublishVersion();
  void SendPoison(uint32_t at, uint32_t content, int resends);

  // Checks.
  void CheckStart(const Instance& instance, const core::StartAttempt& start);
  void CheckRevision(Instance* instance);
  void Observe();
  bool CanReach(const Instance& reader, ManifestRevision revision);
  void Conclude();
  void NoteDeaths();
  void CheckDeaths();
  // Whether an instance that is there at `until` must know of the death.
  bool Remembered(const FakeTarget::Death& death, absl::Time until) const;
  void NoteStatus();
  void Note(const std::string& line);

  Scheduler scheduler_;
  std::unique_ptr<RandomSource> random_;
  Reference reference_;
  FakePlatform platform_;
  core::Mutations mutations_;
  bool tracing_ = false;
  std::vector<std::string> trace_;

  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<std::string, std::unique_ptr<FakeTarget>> targets_;
  std::map<std::string, absl::Time> left_at_;
  std::map<std::string, std::unique_ptr<Filing>> filings_;
  std::map<std::string, std::string> filing_of_request_;
  uint64_t next_life_ = 1;
  uint64_t next_request_ = 1;
  uint32_t next_place_ = 0;

  // Partition: entities on the side with bit 1.
  std::set<std::string> far_side_;
  absl::Time parted_until_ = absl::InfinitePast();
  bool ever_parted_ = false;
  Knowledge knowledge_;
  absl::Time unruly_until_ = absl::InfinitePast();
  double drop_share_ = 0;
  double repeat_share_ = 0;
  absl::Time config_down_until_ = absl::InfinitePast();
  absl::Time healed_at_ = absl::InfiniteFuture();
  // Since when each closed data centre is closed, by revision.
  std::map<std::string, std::pair<ManifestRevision, absl::Time>> closed_;
};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_WORLD_H_
