#ifndef UMBERTRAIL_CLI_SRC_ADMIN_CLIENT_H_
#define UMBERTRAIL_CLI_SRC_ADMIN_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "umbertrail/base.h"

namespace umbertrail::cli {

// Largest admin page that is read, in bytes.
inline constexpr size_t kMaxPageBytes = size_t{16} * 1024 * 1024;

// A page of an instance's admin interface.
struct AdminPage {
  int status = 0;
  std::string body;
};

// Reads admin pages. Thread-safe.
class AdminClient {
 public:
  virtual ~AdminClient() = default;

  // Fails with kUnavailable when the instance can't be reached in time.
  virtual Result<AdminPage> Get(const std::string& address,
                                const std::string& path) const = 0;
};

std::unique_ptr<AdminClient> MakeHttpAdminClient();

// Reads one page of each address, a few at a time, and returns the answers in
// the order of `addresses`.
std::vector<Result<AdminPage>> GetAll(const AdminClient& client,
                                      const std::vector<std::string>& addresses,
                                      const std::string& path);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_ADMIN_CLIENT_H_
