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
class StoreReader : public net::ResponseListener,
                    public std::enable_shared_from_this<StoreReader> {
 public:
  // `on_change` runs after each answer that changed the view.
  StoreReader(State& state, std::function<void()> on_change);

  void Start();
  void Stop();
  // A peer has read something newer than what is known here.
  void NoteBehind();

  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // A poll is a watch that doesn't wait: it tells at once whether anything has
  // changed.
  enum class Phase { kReadAll, kPoll, kWatch };

  void Ask();
  // Abandons the watch and asks what has changed.
  void AskNow();
  // Every now and then: is the view too old, and is it on us to ask?
  void CheckAge();
  void OnTimeLimit();
  // False where an answer is of another era of the store than what is read or
  // known: it is dropped, and where it is newer, all is read anew.
  bool IsOfOneEra();
  // After a whole reading: was it the first of a new era?
  void NoteEra(absl::Time now);
  void TakePage();
  void TakeEvents();
  void Fail(absl::string_view why, int status);
  void AskLater(absl::Duration wait);
  void NoteAnswered(absl::Time now);
  void TellFaults(const std::vector<std::string>& faults);
  bool ApplyAll(const std::vector<dispatch::Revised>& changes, absl::Time now);
  void TellChange(const dispatch::Revised& change, absl::Time now);
  // Deaths and connections of targets that have gone or started anew.
  void NoteRestarts(const dispatch::Revised& change, absl::Time now);

  State& state_;
  std::function<void()> on_change_;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Timer alarm_;
  net::Timer age_alarm_;
  Phase phase_ = Phase::kReadAll;
  int status_ = 0;
  uint64_t answer_era_ = 0;
  std::string body_;
  // What of it was there when the time limit was last looked at.
  size_t body_at_check_ = 0;
  absl::Time answer_began_;
  absl::Time asked_at_;
  absl::Time last_answer_;
  absl::Duration backoff_;
  bool failing_ = false;
  // Between an answer with changes and the next question.
  bool gathering_ = false;
  // Since when a peer has known something newer.
  absl::Time behind_since_ = absl::InfinitePast();
  bool stopped_ = false;
  // Of the reading in progress.
  std::string page_after_;
  absl::Time first_page_asked_at_;
  uint64_t first_page_revision_ = 0;
  uint64_t pages_era_ = 0;
  std::vector<dispatch::Revised> pages_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STORE_READER_H_
