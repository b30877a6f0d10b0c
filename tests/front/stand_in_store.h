#ifndef UMBERTRAIL_TESTS_FRONT_STAND_IN_STORE_H_
#define UMBERTRAIL_TESTS_FRONT_STAND_IN_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "http/fake_server.h"

namespace umbertrail::testing {

// The platform's store in small: items with revisions, whole readings in pages
// and watches. It can fall silent or forget its history.
class StandInStore {
 public:
  StandInStore();
  ~StandInStore();

  std::string address() const { return server_->address(); }
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // While silent, questions are read and never answered.
  void SetUnresponsive(bool silent);
  // Answers to watches come in `pieces` with that pause after each, as over a
  // full link.
  void SetThrottled(int pieces, absl::Duration pause);
  int watches() const;
  // Watches from before now are answered with 410.
  void DropHistory();
  // From now on answers tell an era. Keeps a copy of what is held.
  void SaveSnapshot();
  // Comes back from the copy: what was written since is lost, revisions go
  // back, and the era rises. Watches that are waiting are answered as of now.
  void RestoreSnapshot();
  // Items on one page.
  void SetPageSize(size_t items);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
  };
  void Serve(FakeConnection& connection);
  void WriteSlowly(FakeConnection& connection, const std::string& answer);
  std::string Answer(const std::string& target);
  // The answer's head line and era, and `body`.
  std::string Whole(int status, const std::string& body) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string Page(const std::string& after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string Events(uint64_t after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Item> copy_ ABSL_GUARDED_BY(mutex_);
  uint64_t copy_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  // 0: not told.
  uint64_t era_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t oldest_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t page_size_ ABSL_GUARDED_BY(mutex_) = 100;
  bool silent_ ABSL_GUARDED_BY(mutex_) = false;
  int pieces_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Duration pause_ ABSL_GUARDED_BY(mutex_);
  int watches_ ABSL_GUARDED_BY(mutex_) = 0;
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  std::unique_ptr<FakeServer> server_;
};

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_FRONT_STAND_IN_STORE_H_
