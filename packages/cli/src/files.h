#ifndef UMBERTRAIL_CLI_SRC_FILES_H_
#define UMBERTRAIL_CLI_SRC_FILES_H_

#include <string>

#include "umbertrail/base.h"

namespace umbertrail::cli {

// Largest file that is read, in bytes: a prompt of a million tokens and more.
inline constexpr size_t kMaxFileBytes = size_t{64} * 1024 * 1024;

// The bytes of a file.
Result<std::string> ReadFile(const std::string& path);

// Writes `bytes` over what the file held.
Result<Done> WriteFile(const std::string& path, const std::string& bytes);

// The first line of a file that holds a client account's key. Refuses a file
// to which group or others have access: a key on the command line would show
// in the machine's process list, and one in an open file to its other users.
Result<std::string> ReadSecret(const std::string& path);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_FILES_H_
