#ifndef UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_
#define UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"

namespace umbertrail::core {

// The home of some fingerprints: counts the open runs and the deaths of each,
// so that copies of one content sent through any instances kill at most
// kDeathLimit targets. An instance that stands in for homes out of reach allows
// one less. Content that has run to its end is not limited again
// until a target dies under it.
class ScreenHome {
 public:
  static constexpr uint32_t kDeathLimit = 2;
  // Homes of one fingerprint; both must agree, so that one of them replaced
  // forgets no open run.
  static constexpr std::size_t kHomes = 2;
  // Instances that remember a death, so that homes replaced forget nothing.
  static constexpr std::size_t kDeathHomes = 3;
  // Deaths are told again for as long as this, so an older home knows them.
  static constexpr absl::Duration kYoung = absl::Seconds(30);
  // Deaths are told again to the other homes this often, since a message to one
  // may be lost and instances come and go.
  static constexpr absl::Duration kRetell = absl::Seconds(5);
  // A caller that sends the same content again does so within minutes.
  static constexpr absl::Duration kMemory = absl::Minutes(30);
  // At 200 bytes an entry this stays far under a node's memory limit.
  static constexpr std::size_t kMaxEntries = 50000;

  // `fleet` and `mutations` must outlive the home.
  ScreenHome(InstanceId self,
             const FleetView* fleet,
             const Mutations* mutations);

  // Asking again for a run that is open is idempotent. A later attempt of the
  // same request is another run: the end of the former may still be on its way.
  ScreenReply OnRequest(absl::Time now,
                        const InstanceRef& from,
                        const ScreenRequest& request);
  // A death is counted once however often it is told.
  void OnEnded(absl::Time now,
               const InstanceRef& from,
               const ScreenEnded& ended);
  // Another home's count, learnt with its answer to a request here. It may be
  // of the same deaths, so the greater count holds, not the sum.
  void OnHeard(absl::Time now, const ScreenReply& reply);
  // Tells deaths to homes that came after them. A death outlives the instances
  // that saw it as long as one that knows of it is there.
  void OnFleetChanged(Actions* actions);
  // An incarnation is over; its open runs count as deaths.
  void OnHolderGone(const InstanceRef& holder);

  // Tells deaths again, a bounded number of contents each kRetell, also to some
  // who were heard of late, since the list of instances may be old. Forgets
  // what is older than kMemory. Cost: linear, at most once a minute.
  void OnTick(absl::Time now, Actions* actions);

  // Deaths known here.
  uint32_t DeathsOf(Fingerprint fingerprint) const;

  std::vector<QuarantineStatus> Status() const;

 private:
  struct Run {
    InstanceRef holder;
    RequestId request;
    AttemptNumber attempt;
    absl::Time expires;
  };
  struct Death {
    InstanceRef holder;
    RequestId request;
    AttemptNumber attempt;
  };
  struct Entry {
    // At most kDeathLimit of them.
    std::vector<Death> deaths;
    // The most that another home has counted.
    uint32_t heard = 0;
    // Homes that were told of them.
    std::set<InstanceId> told;
    bool proven = false;
    absl::Time touched;
    std::vector<Run> runs;
  };

  // Tells the deaths of one content to another home.
  void Tell(Fingerprint fingerprint,
            const Entry& entry,
            const InstanceId& home,
            Actions* actions) const;
  void Retell(absl::Time now, Actions* actions);
  // The homes of a content by the list, and by who was heard of late.
  std::set<InstanceId> HomesByAnyView(absl::Time now,
                                      Fingerprint fingerprint) const;
  static uint32_t CountOf(const Entry& entry);
  // The entry of a content, made where there is none; null when there are too
  // many.
  Entry* EntryFor(Fingerprint fingerprint);
  // How many open runs and deaths it allows in sum.
  uint32_t LimitFor(Fingerprint fingerprint) const;
  ScreenVerdict Judge(const Entry& entry, uint32_t limit) const;
  static std::vector<Death>::iterator FindDeath(const Death& death,
                                                Entry* entry);
  static void CountDeath(Death death, Entry* entry);
  static void RemoveDeath(const Death& death, Entry* entry);
  // Ends runs of whose end nothing was heard: their holder may have died with
  // their target, so each counts as a death until the content runs whole.
  template <typename Predicate>
  void CloseRuns(Fingerprint fingerprint, Entry* entry, Predicate is_over);

  InstanceId self_;
  const FleetView* fleet_;
  const Mutations* mutations_;
  std::map<Fingerprint, Entry> entries_;
  // Those with deaths.
  std::set<Fingerprint> deadly_;
  // When it was first asked or told of anything, which is soon after its start.
  absl::Time born_ = absl::InfiniteFuture();
  absl::Time swept_ = absl::InfinitePast();
  absl::Time retold_ = absl::InfinitePast();
  // Where the next round of telling again begins.
  Fingerprint retell_from_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_
