#include "umbertrail/security/key_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace umbertrail::security {
namespace {

constexpr mode_t kGroupAndOtherBits = S_IRWXG | S_IRWXO;

class ScopedFd {
 public:
  explicit ScopedFd(int fd) : fd_(fd) {}
  ~ScopedFd() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  ScopedFd(const ScopedFd&) = delete;
  ScopedFd& operator=(const ScopedFd&) = delete;
  int get() const { return fd_; }

 private:
  const int fd_;
};

Error LineError(int line, const char* what) {
  return Error{ErrorCode::kInvalidArgument,
               absl::StrCat("line ", line, ": ", what)};
}

bool IsHex(const std::string& text) {
  return text.size() % 2 == 0 &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char it) { return std::isxdigit(it) != 0; });
}

Result<Key> ParseLine(const std::string& text, int line) {
  const std::vector<std::string> words =
      absl::StrSplit(text, ' ', absl::SkipEmpty());
  if (words.size() != 2) {
    return LineError(line, "expected ID HEX");
  }
  if (!IsHex(words[1])) {
    return LineError(line, "the secret is not hex");
  }
  Key key{words[0], absl::HexStringToBytes(words[1])};
  if (key.secret.size() < kMinSecretBytes) {
    return LineError(line, "the secret is shorter than 16 bytes");
  }
  return key;
}

bool HasId(const Keys& keys, const std::string& id) {
  return std::any_of(keys.begin(), keys.end(),
                     [&](const Key& it) { return it.id == id; });
}

Result<Done> CheckStat(int fd, const std::string& path) {
  struct stat info {};
  if (fstat(fd, &info) != 0 || !S_ISREG(info.st_mode)) {
    return Error{ErrorCode::kInvalidArgument, path + ": not a regular file"};
  }
  if (info.st_uid != geteuid() && info.st_uid != 0) {
    return Error{ErrorCode::kPermissionDenied,
                 path + ": owned by another user"};
  }
  if ((info.st_mode & kGroupAndOtherBits) != 0) {
    return Error{ErrorCode::kPermissionDenied,
                 path + ": group or others have access; use mode 0600"};
  }
  return Done{};
}

Result<std::string> ReadAll(int fd, const std::string& path) {
  std::string out(kMaxKeyFileBytes + 1, '\0');
  size_t n = 0;
  while (n < out.size()) {
    const ssize_t got = read(fd, &out[n], out.size() - n);
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return Error{ErrorCode::kUnavailable, path + ": " + std::strerror(errno)};
    }
    if (got == 0) {
      break;
    }
    n += static_cast<size_t>(got);
  }
  if (n > kMaxKeyFileBytes) {
    return Error{ErrorCode::kInvalidArgument, path + ": larger than 64 KiB"};
  }
  out.resize(n);
  return out;
}

}  // namespace

Result<Keys> ParseKeys(std::string_view text) {
  Keys keys;
  int line = 0;
  const std::vector<std::string> lines =
      absl::StrSplit(std::string(text), '\n');
  for (const std::string& it : lines) {
    ++line;
    const std::string content(absl::StripAsciiWhitespace(it));
    if (content.empty() || content[0] == '#') {
      continue;
    }
    Result<Key> key = ParseLine(content, line);
    if (!IsOk(key)) {
      return ErrorOf(key);
    }
    if (HasId(keys, ValueOf(key).id)) {
      return LineError(line, "duplicate key id");
    }
    if (keys.size() == kMaxKeys) {
      return LineError(line, "more than 16 keys");
    }
    keys.push_back(ValueOf(std::move(key)));
  }
  if (keys.empty()) {
    return Error{ErrorCode::kInvalidArgument, "contains no keys"};
  }
  return keys;
}

Result<Keys> ReadKeyFile(const std::string& path) {
  const ScopedFd fd(
      open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
  if (fd.get() < 0) {
    return Error{ErrorCode::kNotFound, path + ": " + std::strerror(errno)};
  }
  const Result<Done> checked = CheckStat(fd.get(), path);
  if (!IsOk(checked)) {
    return ErrorOf(checked);
  }
  const Result<std::string> text = ReadAll(fd.get(), path);
  if (!IsOk(text)) {
    return ErrorOf(text);
  }
  Result<Keys> keys = ParseKeys(ValueOf(text));
  if (!IsOk(keys)) {
    return Error{ErrorOf(keys).code, path + ": " + ErrorOf(keys).message};
  }
  return keys;
}

KeyRing::KeyRing(std::string path, Keys keys)
    : path_(std::move(path)),
      keys_(std::make_shared<const Keys>(std::move(keys))) {}

Result<std::unique_ptr<KeyRing>> KeyRing::Load(std::string path) {
  Result<Keys> keys = ReadKeyFile(path);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  return std::unique_ptr<KeyRing>(
      new KeyRing(std::move(path), ValueOf(std::move(keys))));
}

Result<Done> KeyRing::Reload() {
  Result<Keys> keys = ReadKeyFile(path_);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  auto new_keys = std::make_shared<const Keys>(ValueOf(std::move(keys)));
  const absl::MutexLock lock(&mutex_);
  keys_ = std::move(new_keys);
  return Done{};
}

std::shared_ptr<const Keys> KeyRing::keys() const {
  const absl::MutexLock lock(&mutex_);
  return keys_;
}

}  // namespace umbertrail::security
