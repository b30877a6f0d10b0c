#include "admin_client.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "umbertrail/http.h"

namespace umbertrail::cli {
namespace {

// Instances asked at once.
constexpr size_t kParallelReads = 16;

class HttpAdminClient : public AdminClient {
 public:
  Result<AdminPage> Get(const std::string& address,
                        const std::string& path) const override {
    http::LinkSettings settings;
    settings.address = address;
    settings.progress_limit = absl::Seconds(3);
    http::Link link(settings);
    http::Answer answer = link.Send({"GET", path, "", {}}, kMaxPageBytes);
    if (answer.fault != http::Fault::kNone) {
      return Error{ErrorCode::kUnavailable, address + ": can't be reached"};
    }
    return AdminPage{answer.status, std::move(answer.body)};
  }
};

}  // namespace

std::unique_ptr<AdminClient> MakeHttpAdminClient() {
  return std::make_unique<HttpAdminClient>();
}

std::vector<Result<AdminPage>> GetAll(const AdminClient& client,
                                      const std::vector<std::string>& addresses,
                                      const std::string& path) {
  std::vector<Result<AdminPage>> out(addresses.size(), AdminPage());
  std::atomic<size_t> next{0};
  const auto read_pages = [&] {
    for (size_t i = next++; i < addresses.size(); i = next++) {
      out[i] = client.Get(addresses[i], path);
    }
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < std::min(kParallelReads, addresses.size()); ++i) {
    threads.emplace_back(read_pages);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return out;
}

}  // namespace umbertrail::cli
