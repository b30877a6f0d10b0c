#ifndef UMBERTRAIL_FRONT_STORE_READER_H_
#define UMBERTRAIL_FRONT_STORE_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "platform/store_codec.h"
#include "umbertrail/front/state.h"
#include "umbertrail/net/client.h"

namespace umbertrail::front {

// Keeps the view in sync with the platform's store: one full read, then a long
// poll for changes. A request that times out does not confirm the view. A full
// read follows when the store no longer has the history of changes.
class StoreReader : public net::ResponseListener,
                    public std::enable_shared_from_this<StoreReader> {
 public:
  // `on_change` runs after each response that changed the view.
  StoreReader(State& state, std::function<void()> on_change);

  void Start();
  void Stop();
  // A peer has read a newer state of the store than this instance.
  void OnPeerAhead();

  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // A poll is a watch with a minimal time-out, which returns changes at once.
  enum class Phase { kFullRead, kPoll, kWatch };

  void SendRequest();
  // Replaces the pending watch by a poll.
  void PollNow();
  // Periodically polls if the view is too old and it is this instance's turn.
  void CheckAge();
  void OnTimeout();
  // Discards a response from another era of the store than expected; a newer
  // era starts a full read. False when the response was discarded.
  bool CheckEra();
  // Adopts the era of a full read, which may be a new one.
  void ApplyEra(absl::Time now);
  // Handles a page of a full read.
  void HandlePage();
  // Handles the response to a poll or watch.
  void HandleEvents();
  // Retries after a backoff.
  void Fail(absl::string_view why, int status);
  void MarkAvailable(absl::Time now);
  // Records what the view holds after a response. `was_away` if the store may
  // have been away just before.
  void RecordOwnConfig(bool was_away, absl::Time now);
  void LogFaults(const std::vector<std::string>& faults);
  // Logs that the store holds an older configuration than the one in force,
  // which therefore stays.
  void LogOlderConfig(const dispatch::Revised& change, absl::Time now);
  bool ApplyChanges(const std::vector<dispatch::Revised>& changes,
                    absl::Time now);
  void LogChange(const dispatch::Revised& change, absl::Time now);
  // Records a target that is gone or has restarted as down, and drops its
  // health and connections.
  void HandleRestart(const dispatch::Revised& change, absl::Time now);

  State& state_;
  std::function<void()> on_change_;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Timer alarm_;
  net::Timer age_alarm_;
  Phase phase_ = Phase::kFullRead;
  int status_ = 0;
  uint64_t response_era_ = 0;
  std::string body_;
  // Size of `body_` at the last time-out check.
  size_t body_size_at_check_ = 0;
  absl::Time response_began_;
  absl::Time requested_at_;
  absl::Time last_response_;
  absl::Duration backoff_;
  bool failing_ = false;
  // True in the pause after a response with changes, which batches later ones.
  bool batching_ = false;
  // When a peer was first seen to be ahead.
  absl::Time peer_ahead_since_ = absl::InfinitePast();
  bool stopped_ = false;
  // State of the full read in progress.
  std::string page_cursor_;
  absl::Time first_page_requested_at_;
  uint64_t first_page_revision_ = 0;
  uint64_t pages_era_ = 0;
  std::vector<dispatch::Revised> pages_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STORE_READER_H_
