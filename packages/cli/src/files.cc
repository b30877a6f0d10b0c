#include "files.h"

#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <utility>

namespace umbertrail::cli {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return Error{ErrorCode::kNotFound, path + ": " + std::strerror(errno)};
  }
  std::string out;
  constexpr size_t kBlockBytes = size_t{64} * 1024;
  std::string buf(kBlockBytes, '\0');
  while (in.read(buf.data(), static_cast<std::streamsize>(buf.size())) ||
         in.gcount() > 0) {
    out.append(buf, 0, static_cast<size_t>(in.gcount()));
    if (out.size() > kMaxFileBytes) {
      return Error{ErrorCode::kInvalidArgument, path + ": over 64 MiB"};
    }
  }
  if (in.bad()) {
    return Error{ErrorCode::kUnavailable, path + ": can't be read"};
  }
  return out;
}

Result<Done> WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << bytes;
  out.close();
  if (!out) {
    return Error{ErrorCode::kUnavailable, path + ": can't be written"};
  }
  return Done{};
}

Result<std::string> ReadSecret(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) {
    return Error{ErrorCode::kNotFound, path + ": " + std::strerror(errno)};
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return Error{ErrorCode::kPermissionDenied,
                 path + ": group or others have access; use mode 0600"};
  }
  Result<std::string> text = ReadFile(path);
  if (!IsOk(text)) {
    return text;
  }
  std::string line = ValueOf(text).substr(0, ValueOf(text).find('\n'));
  if (line.empty()) {
    return Error{ErrorCode::kInvalidArgument, path + ": holds no key"};
  }
  return line;
}

}  // namespace umbertrail::cli
