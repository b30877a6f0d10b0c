#ifndef UMBERTRAIL_SECURITY_KEY_FILE_H_
#define UMBERTRAIL_SECURITY_KEY_FILE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "umbertrail/base.h"

namespace umbertrail::security {

// Shortest secret that a key file may hold, in bytes.
inline constexpr size_t kMinSecretBytes = 16;
// Keys that one file may hold; two are enough for a change of keys.
inline constexpr size_t kMaxKeys = 16;
// Largest key file that is read, in bytes.
inline constexpr size_t kMaxKeyFileBytes = size_t{64} * 1024;

// One named secret.
struct Key {
  std::string id;
  std::string secret;
};

// Keys in the order of their file. The first signs; all are accepted, so that
// keys change without an instant at which two instances disagree: add the new
// key last everywhere, move it to the front, remove the old one.
using Keys = std::vector<Key>;

// Reads `text`: one `ID HEX` a line, empty lines and lines from `#` on ignored.
// Refuses unknown forms, short secrets, an id given twice and an empty list;
// the message names the line and never a secret.
Result<Keys> ParseKeys(std::string_view text);

// Reads a key file. Refuses what is not a regular file of this user (or root),
// and a file that its group or others may read or write.
Result<Keys> ReadKeyFile(const std::string& path);

// The keys of one file, re-read on demand. Thread-safe; readers keep the list
// that they took.
class KeyRing {
 public:
  // Reads the file; the fault when it can't be used.
  static Result<std::unique_ptr<KeyRing>> Load(std::string path);

  // Reads the file again. On a fault the former keys stay in force.
  Result<Done> Reload();

  // Never empty.
  std::shared_ptr<const Keys> keys() const;

 private:
  KeyRing(std::string path, Keys keys);

  const std::string path_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const Keys> keys_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_SECURITY_KEY_FILE_H_
