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

// A fake of the platform's store: items with revisions, paged range reads and
// watches. It can stop responding or drop its history.
class StandInStore {
 public:
  StandInStore();
  ~StandInStore();

  std::string address() const { return server_->address(); }
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // While unresponsive, requests are read and never answered.
  void SetUnresponsive(bool unresponsive);
  // Sends watch responses in `pieces` with that pause after each, as over a
  // congested link.
  void SetThrottled(int pieces, absl::Duration pause);
  int watches() const;
  // Answers watches from earlier revisions with 410.
  void DropHistory();
  // Saves the current items; from now on responses state an era.
  void SaveSnapshot();
  // Restores the snapshot: later writes are lost, the revision goes back and
  // the era increases. Pending watches are answered at once.
  void RestoreSnapshot();
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
  // A response with the status, the era and `body`.
  std::string Response(int status, const std::string& body) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string Page(const std::string& after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string Events(uint64_t after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, Item> items_ ABSL_GUARDED_BY(mutex_);
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<std::string, Item> snapshot_ ABSL_GUARDED_BY(mutex_);
  uint64_t snapshot_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  // 0: not stated.
  uint64_t era_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t oldest_watchable_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t page_size_ ABSL_GUARDED_BY(mutex_) = 100;
  bool unresponsive_ ABSL_GUARDED_BY(mutex_) = false;
  int pieces_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Duration pause_ ABSL_GUARDED_BY(mutex_);
  int watches_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::unique_ptr<FakeServer> server_;
};

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_FRONT_STAND_IN_STORE_H_
