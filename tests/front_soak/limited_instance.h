#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_LIMITED_INSTANCE_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_LIMITED_INSTANCE_H_

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>

#include "child_process.h"
#include "client_crowd.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "http/fake_server.h"

namespace umbertrail::soak {

// The limits in the settings and in the configuration.
inline constexpr size_t kMemoryMb = 40;
inline constexpr size_t kMaxFds = 4100;
inline constexpr size_t kMaxBody = size_t{256} << 10;
inline constexpr size_t kMaxFraming = size_t{128} << 10;
// The resident memory that the process may have at any time, and may keep over
// its memory at the start once the crowd has left.
inline constexpr size_t kMaxResident = kMemoryMb << 20;
inline constexpr size_t kMaxKept = kMaxResident / 4;
// Most clients of a crowd.
inline constexpr int kClients = 400;
// A body ends one piece before its last.
inline constexpr size_t kPieces = 64;
inline constexpr size_t kPiece = kMaxBody / kPieces;
inline constexpr size_t kWhole = ~size_t{0};
// Larger than what the instance holds of a response.
inline constexpr size_t kLargeResponse = size_t{1} << 20;

// A request head with the platform's headers.
std::string Head(const std::string& path, const std::string& framing);
std::string DeclaredHead(const std::string& path, size_t length);
std::string ChunkedHead(const std::string& path);
// `count` chunks of `bytes` each, without the last one.
std::string Chunks(size_t count, size_t bytes);
std::shared_ptr<const std::string> Shared(std::string bytes);

// The program with little memory and few descriptors, its store and one target,
// and what is measured of it. The target never answers requests for /once/hold,
// and answers those for /once/large with a large body.
class LimitedInstance {
 public:
  // `source` is the loopback address of ordinary clients, or empty for the
  // address that the crowd has.
  explicit LimitedInstance(size_t max_fds = kMaxFds, std::string source = "");
  ~LimitedInstance();
  LimitedInstance(const LimitedInstance&) = delete;
  LimitedInstance& operator=(const LimitedInstance&) = delete;

  // Where callers, the platform's probe, other instances and the reader of
  // metrics connect.
  const std::string& callers() const { return settings_.callers_address; }
  const std::string& readiness() const { return settings_.readiness_address; }
  const std::string& control() const { return settings_.control_address; }
  const std::string& metrics() const { return settings_.metrics_address; }

  // Notes what the process uses now.
  void Measure();

  // The start of what an ordinary client gets for one request.
  std::string Ask(const std::string& request) const;

  // Sends the crowd's bytes, and asks for ordinary answers while the crowd
  // stays: to the probe, to a small request and to one as large as is allowed.
  // Then the crowd leaves, and another small one is asked.
  void Meet(ClientCrowd& crowd);
  size_t peak_fds() const { return peak_fds_; }

 private:
  std::string Settings(size_t max_fds) const;
  // Asks until the answer is 200; false if that takes longer than the guard.
  bool AwaitStatus(const std::string& address, const std::string& request);
  bool AwaitProbe();
  std::string Proc(const std::string& name) const;
  size_t Resident() const;
  size_t Descriptors() const;
  size_t Kept() const;

  const std::string source_;
  const std::filesystem::path work_;
  testing::StandInStore store_;
  const adapter::InstanceSettings settings_;
  testing::FakeServer target_;
  std::unique_ptr<ChildProcess> process_;
  size_t at_start_ = 0;
  size_t peak_ = 0;
  size_t peak_fds_ = 0;
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_LIMITED_INSTANCE_H_
