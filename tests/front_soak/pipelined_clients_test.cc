#include <catch2/catch.hpp>
#include <string>

#include "client_crowd.h"
#include "limited_instance.h"

// Crowds that pipeline requests which are answered at once and never read the
// responses. Guards against an instance that goes on answering such requests
// and holds all of their responses.

namespace umbertrail::soak {
namespace {

// Few clients send much, as each connection's responses add up.
constexpr int kFewClients = 40;
constexpr size_t kPipelinedBytes = size_t{4} << 20;
constexpr int kSmallReceiveBuffer = 4096;

ClientScript Pipelined(const std::string& request) {
  std::string all;
  while (all.size() < kPipelinedBytes) {
    all += request;
  }
  return {Shared(all), kPiece, kSmallReceiveBuffer};
}

void MeetAt(const std::string& (LimitedInstance::*address)() const,
            const std::string& request) {
  LimitedInstance instance;
  ClientCrowd crowd((instance.*address)());
  crowd.AddMany(Pipelined(request), kFewClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

TEST_CASE("unread refusals of pipelined requests") {
  MeetAt(&LimitedInstance::callers,
         "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
}

TEST_CASE("unread answers of pipelined probes") {
  MeetAt(&LimitedInstance::readiness, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
}

TEST_CASE("unread pages of pipelined requests for metrics") {
  MeetAt(&LimitedInstance::metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
}

TEST_CASE("unread refusals at the control address") {
  MeetAt(&LimitedInstance::control,
         "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
}

}  // namespace
}  // namespace umbertrail::soak
