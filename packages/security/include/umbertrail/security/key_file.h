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

// Minimum length of a secret, in bytes.
inline constexpr size_t kMinSecretBytes = 16;
// Maximum number of keys in a file; rotation needs two.
inline constexpr size_t kMaxKeys = 16;
// Maximum size of a key file, in bytes.
inline constexpr size_t kMaxKeyFileBytes = size_t{64} * 1024;

// One named secret.
struct Key {
  std::string id;
  std::string secret;
};

// Keys in file order. The first is used for signing; all are accepted, so that
// instances never reject each other during key rotation: append the new key on
// every instance, move it to the front, then remove the old one.
using Keys = std::vector<Key>;

// Parses one `ID HEX` pair per line; empty lines and lines starting with `#`
// are ignored. Fails on malformed lines, short secrets, duplicate ids and an
// empty list. Error messages contain the line number and never a secret.
Result<Keys> ParseKeys(std::string_view text);

// Reads a key file. Fails unless it is a regular file owned by this user or
// root and inaccessible to group and others.
Result<Keys> ReadKeyFile(const std::string& path);

// The keys of one file, reloaded on demand. Thread-safe; a list returned by
// keys() is not affected by later reloads.
class KeyRing {
 public:
  // Reads the file; returns an error if it is invalid.
  static Result<std::unique_ptr<KeyRing>> Load(std::string path);

  // Reads the file again. On error the previous keys remain in use.
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
