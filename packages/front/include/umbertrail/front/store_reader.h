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

// Keeps the view at what the platform's store holds: reads all of it, then
// waits for changes. A question that stays unanswered proves nothing; when the
// store has forgotten the changes since, all is read again.
class StoreReader : public net::AnswerListener,
                    public std::enable_shared_from_this<StoreReader> {
 public:
  // `on_change` runs after each answer that changed the view.
  StoreReader(State& state, std::function<void()> on_change);

  void Start();
  void Stop();
  // A peer has read something newer than what is known here.
  void OnPeerAhead();

  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // A poll is a watch that doesn't wait: it tells at once whether anything has
  // changed.
  enum class Phase { kFullRead, kPoll, kWatch };

  void SendRequest();
  // Abandons the watch and asks what has changed.
  void PollNow();
  // Every now and then: is the view too old, and is it on us to ask?
  void CheckAge();
  void OnTimeout();
  // False where an answer is of another era of the store than what is read or
  // known: it is dropped, and where it is newer, all is read anew.
  bool CheckEra();
  // After a whole reading: was it the first of a new era?
  void ApplyEra(absl::Time now);
  void HandlePage();
  void HandleEvents();
  void Fail(absl::string_view why, int status);
  void AskLater(absl::Duration wait);
  void MarkAvailable(absl::Time now);
  void LogFaults(const std::vector<std::string>& faults);
  bool ApplyChanges(const std::vector<dispatch::Revised>& changes,
                    absl::Time now);
  void LogChange(const dispatch::Revised& change, absl::Time now);
  // Deaths and connections of targets that have gone or started anew.
  void HandleRestart(const dispatch::Revised& change, absl::Time now);

  State& state_;
  std::function<void()> on_change_;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Alarm alarm_;
  net::Alarm age_alarm_;
  Phase phase_ = Phase::kFullRead;
  int status_ = 0;
  uint64_t response_era_ = 0;
  std::string body_;
  // What of it was there when the time limit was last looked at.
  size_t body_size_at_check_ = 0;
  absl::Time response_began_;
  absl::Time requested_at_;
  absl::Time last_response_;
  absl::Duration backoff_;
  bool failing_ = false;
  // Between an answer with changes and the next question.
  bool batching_ = false;
  // Since when a peer has known something newer.
  absl::Time peer_ahead_since_ = absl::InfinitePast();
  bool stopped_ = false;
  // Of the reading in progress.
  std::string page_cursor_;
  absl::Time first_page_requested_at_;
  uint64_t first_page_revision_ = 0;
  uint64_t pages_era_ = 0;
  std::vector<dispatch::Revised> pages_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STORE_READER_H_
