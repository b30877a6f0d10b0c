#ifndef UMBERTRAIL_TESTS_CLI_FIXTURES_H_
#define UMBERTRAIL_TESTS_CLI_FIXTURES_H_

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "admin_client.h"
#include "caller.h"
#include "umbertrail/cli.h"

namespace umbertrail::cli {

// A file with mode 0600 that is removed with this object.
class TempFile {
 public:
  explicit TempFile(const std::string& content)
      : path_("/tmp/umbertrail-cli-XXXXXX") {
    close(mkstemp(path_.data()));
    std::ofstream(path_) << content;
  }
  ~TempFile() { unlink(path_.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A console whose two streams can be read back.
struct MockConsole {
  std::ostringstream out;
  std::ostringstream err;
  Console console{out, err, false};
};

// Answers admin pages by address; others are unreachable.
class MockAdminClient : public AdminClient {
 public:
  Result<AdminPage> Get(const std::string& address,
                        const std::string&) const override {
    const auto it = pages.find(address);
    if (it == pages.end()) {
      return Error{ErrorCode::kUnavailable, address + ": can't be reached"};
    }
    return it->second;
  }

  std::map<std::string, AdminPage> pages;
};

// Answers calls by functions, and notes service calls.
class MockCaller : public Caller {
 public:
  CallResult Prompt(const PromptCall& call,
                    const PartReceiver& receiver) const override {
    return prompt(call, receiver);
  }
  CallResult Service(const ServiceCall& call) const override {
    const std::lock_guard<std::mutex> lock(mutex);
    tickets.push_back(call.ticket);
    return service(tickets.size());
  }
  CallResult Ticket(const ServiceCall&) const override { return ticket; }

  std::function<CallResult(const PromptCall&, const PartReceiver&)> prompt;
  // Given the number of the call, from 1.
  std::function<CallResult(size_t)> service;
  CallResult ticket;
  mutable std::mutex mutex;
  mutable std::vector<std::string> tickets;
};

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_TESTS_CLI_FIXTURES_H_
