#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_JUDGE_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_JUDGE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace umbertrail::soak {

// The kinds of request that the soak sends.
enum class Kind { kSafe, kUnsafe, kStream };

// What one request asked and what its caller got.
struct Asked {
  std::string id;
  Kind kind = Kind::kSafe;
  // Named by the instance that was asked, to tell which life of it.
  std::string instance;
  absl::Time sent_at;
  absl::Time ended_at;
  absl::Duration limit;
  // All bytes of the answer.
  std::string answer;
};

// The body that answers this request, whoever runs it.
std::string BodyFor(const std::string& id);
// The events that a whole stream has, as they are written.
inline constexpr int kEvents = 8;
std::string EventFor(const std::string& id, int number);
// The body of a chunked answer, its chunks joined; empty when it doesn't end.
std::string JoinChunks(const std::string& answer);

// Judges what callers and targets saw against what the interface promises.
// Thread-safe.
class Judge {
 public:
  // -- Faults

  // From now on answers may be cut until `until`: a target or an instance
  // broke without notice.
  void NoteBreak(absl::Time until);
  // Requests of this account may not run any more `after` this time.
  void NoteRevoked(const std::string& account, absl::Time after);
  // The key of this account is in force again.
  void NoteGranted(const std::string& account);

  // -- What happened

  // A target ran the request.
  void Ran(absl::Time now, const std::string& id, const std::string& account);
  void Ended(const Asked& asked);
  // A planned stop took too long or ended badly.
  void Broken(const std::string& what);

  // -- Verdict

  std::vector<std::string> faults() const;
  // How many ended so: "whole", "refused", "denied", "failed", "cut", "none".
  std::map<std::string, int> counts() const;

 private:
  void JudgeRefusal(const Asked& asked, int status)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // A cut, or no answer at all, that nothing explains.
  void JudgeBreak(const Asked& asked, const std::string& what)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Fault(const Asked& asked, const std::string& what)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  absl::Time broken_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::map<std::string, absl::Time> revoked_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> runs_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> counts_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> faults_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_JUDGE_H_
