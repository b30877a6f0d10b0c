#include <catch2/catch.hpp>
#include <string>

#include "client_crowd.h"
#include "limited_instance.h"

// Crowds of clients that an operator doesn't control, against the program as it
// is started, on a machine with little memory and few descriptors. Guards
// against buffers that grow with the number of connections: the process was
// ended by its memory limit, or ran out of descriptors for its own connections.
// The limits are those of the settings, so the checks don't depend on time.

namespace umbertrail::soak {
namespace {

std::string ChunkedRequest(size_t count, size_t bytes) {
  return ChunkedHead("/once/hold") + Chunks(count, bytes);
}

// `kClients` clients that all send `bytes`.
void MeetUniform(const std::string& bytes,
                 size_t piece_bytes,
                 const std::string& source = "") {
  LimitedInstance instance(kMaxFds, source);
  ClientCrowd crowd(instance.callers());
  crowd.AddMany({Shared(bytes), piece_bytes}, kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// Legal bodies: one client in eight sends all of its body, the others stop
// before the last piece.
void MeetLegal(size_t piece_bytes) {
  LimitedInstance instance;
  ClientCrowd crowd(instance.callers());
  const std::string request = DeclaredHead("/once/hold", kMaxBody);
  const auto whole = Shared(request + std::string(kMaxBody, 'x'));
  const auto cut = Shared(request + std::string(kMaxBody - kPiece, 'x'));
  for (int i = 0; i < kClients; ++i) {
    crowd.Add({i % 8 == 0 ? whole : cut, piece_bytes});
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

TEST_CASE("chunked bodies in large chunks that stop before their end") {
  MeetUniform(ChunkedRequest(kPieces - 1, kPiece), kPiece);
}

// Each byte of the body arrives in a chunk of its own; half of the longest
// body, as the wire takes six bytes for each.
TEST_CASE("chunked bodies in one-byte chunks that stop before their end") {
  MeetUniform(ChunkedRequest(kMaxBody / 2, 1), kPiece);
}

TEST_CASE("declared bodies far over the limit") {
  MeetUniform(DeclaredHead("/once/hold", 10 * kMaxBody) +
                  std::string(10 * kMaxBody, 'x'),
              kWhole);
}

TEST_CASE("chunked bodies far over the limit") {
  MeetUniform(ChunkedRequest(10 * kPieces, kPiece), kWhole);
}

TEST_CASE("many large bodies of legal size sent in one go") {
  MeetLegal(kWhole);
}

TEST_CASE("many large bodies of legal size sent piece by piece") {
  MeetLegal(kPiece);
}

TEST_CASE("heads that stop before their end") {
  LimitedInstance instance;
  ClientCrowd crowd(instance.callers());
  const auto head = Shared(Head(
      "/once/x", absl::StrCat("X-Long: ", std::string(15000, 'h'), "\r\n")));
  const auto cut = Shared(head->substr(0, head->size() - 2));
  crowd.AddMany({cut, kPiece}, 4 * kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// Small receive buffers, so that the responses stay in the instance.
TEST_CASE("responses that nobody reads") {
  LimitedInstance instance;
  ClientCrowd crowd(instance.callers());
  const auto request = Shared(DeclaredHead("/once/large", 4) + "body");
  crowd.AddMany({request, kWhole, 4096}, kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

// The crowd's requests run until their deadlines, and leave room to clients
// with another address only.
TEST_CASE("pipelined requests behind one that runs") {
  const std::string first = DeclaredHead("/once/hold", 4) + "body";
  std::string all = first;
  while (all.size() < kMaxBody / 2) {
    all += first;
  }
  MeetUniform(all, kPiece, "127.0.0.2");
}

// Half of the descriptors must stay for targets, the store, the readiness
// question and other instances.
TEST_CASE("idle connections leave descriptors for other uses") {
  constexpr size_t kFewFds = 600;
  LimitedInstance instance(kFewFds);
  ClientCrowd crowd(instance.callers());
  const auto nothing = Shared("");
  for (int i = 0; i < 2 * kClients; ++i) {
    crowd.Add({nothing, kWhole});
    instance.Measure();
  }
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kFewFds / 2);
}

}  // namespace
}  // namespace umbertrail::soak
