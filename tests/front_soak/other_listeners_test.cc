#include <catch2/catch.hpp>
#include <string>

#include "client_crowd.h"
#include "limited_instance.h"

// Crowds at the addresses that aren't for callers: the platform's probe, the
// reader of metrics and other instances. Guards against request bodies there
// that fill the machine's memory, and against connections that keep the probe
// from its answer.

namespace umbertrail::soak {
namespace {

// Before a configuration limits them, bodies may have this length.
constexpr size_t kLongestBody = size_t{4} << 20;
constexpr size_t kLongPiece = kLongestBody / kPieces;
constexpr size_t kManyBytes = size_t{16} << 10;

enum class Listener { kReadiness, kMetrics, kControl };

const std::string& AddressOf(const LimitedInstance& instance,
                             Listener listener) {
  switch (listener) {
    case Listener::kReadiness:
      return instance.readiness();
    case Listener::kMetrics:
      return instance.metrics();
    case Listener::kControl:
      break;
  }
  return instance.control();
}

void MeetAt(Listener listener, const ClientScript& script) {
  LimitedInstance instance;
  ClientCrowd crowd(AddressOf(instance, listener));
  crowd.AddMany(script, kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// Chunked bodies that stop before their last piece.
ClientScript ChunkedBodies() {
  return {Shared(ChunkedHead("/ready") + Chunks(kPieces - 1, kLongPiece)),
          kLongPiece};
}

ClientScript DeclaredBodies() {
  return {Shared(DeclaredHead("/ready", kLongestBody) +
                 std::string(kLongestBody - kLongPiece, 'x')),
          kLongPiece};
}

ClientScript SlowBodies() {
  ClientScript script = {Shared(DeclaredHead("/ready", kLongestBody)), kWhole};
  script.trickle = Shared(std::string(kManyBytes, 'x'));
  return script;
}

ClientScript SlowChunkSizes() {
  ClientScript script = {Shared(ChunkedHead("/ready")), kWhole};
  script.trickle = Shared(std::string(kManyBytes, '0'));
  return script;
}

TEST_CASE("chunked bodies at the readiness address") {
  MeetAt(Listener::kReadiness, ChunkedBodies());
}

TEST_CASE("declared bodies at the readiness address") {
  MeetAt(Listener::kReadiness, DeclaredBodies());
}

TEST_CASE("bodies that arrive a byte at a time at the readiness address") {
  MeetAt(Listener::kReadiness, SlowBodies());
}

TEST_CASE("chunk sizes that arrive a byte at a time at the readiness address") {
  MeetAt(Listener::kReadiness, SlowChunkSizes());
}

TEST_CASE("chunked bodies at the metrics address") {
  MeetAt(Listener::kMetrics, ChunkedBodies());
}

TEST_CASE("declared bodies at the metrics address") {
  MeetAt(Listener::kMetrics, DeclaredBodies());
}

TEST_CASE("chunked bodies at the control address") {
  MeetAt(Listener::kControl, ChunkedBodies());
}

TEST_CASE("chunk sizes that arrive a byte at a time at the metrics address") {
  MeetAt(Listener::kMetrics, SlowChunkSizes());
}

TEST_CASE("bodies that arrive a byte at a time at the control address") {
  MeetAt(Listener::kControl, SlowBodies());
}

}  // namespace
}  // namespace umbertrail::soak
