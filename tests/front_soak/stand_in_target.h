#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_STAND_IN_TARGET_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_STAND_IN_TARGET_H_

#include <atomic>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "http/fake_server.h"
#include "judge.h"

namespace umbertrail::soak {

// One life of a target: it answers each kind of request as a sound one does,
// some without a length and chunks, until it is told to fail. It dies with this
// object, its connections with it.
class StandInTarget {
 public:
  // `judge` must outlive the target.
  StandInTarget(std::string id, Judge* judge);

  const std::string& id() const { return id_; }
  std::string address() const { return server_.address(); }
  // Until then it reads requests and answers nothing, also in streams.
  void SilenceUntil(absl::Time until);
  // Requests that it reads until then get no answer but a reset.
  void ResetUntil(absl::Time until);

 private:
  void Serve(testing::FakeConnection& connection);
  void Answer(const std::string& request, testing::FakeConnection& connection);
  void Stream(const std::string& request, testing::FakeConnection& connection);
  // Returns when it is no longer silent or ends.
  void AwaitVoice() const;

  const std::string id_;
  Judge* judge_;
  mutable absl::Mutex mutex_;
  absl::Time silent_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Time reset_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Last, so that its threads end before what they use.
  testing::FakeServer server_;
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_STAND_IN_TARGET_H_
