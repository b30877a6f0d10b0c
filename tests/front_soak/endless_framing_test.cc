#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "client_crowd.h"
#include "limited_instance.h"

// Crowds whose chunked bodies carry little beside their framing: trailers that
// don't end, and chunk extensions. Guards against buffers that hold such bytes,
// and against connections that keep their memory from ordinary callers for as
// long as a byte arrives now and then.

namespace umbertrail::soak {
namespace {

// Shorter than the head and the unparsed bytes that an instance accepts.
constexpr size_t kLongTrailer = 15000;
constexpr size_t kShortTrailer = 4000;
constexpr size_t kExtension = 8000;

std::string TrailerFields(size_t bytes) {
  const std::string field = absl::StrCat("X-T: ", std::string(91, 't'), "\r\n");
  std::string fields;
  while (fields.size() < bytes) {
    fields += field;
  }
  return fields;
}

std::string TrailerLine(size_t bytes) {
  return "X-T: " + std::string(bytes, 't');
}

// A chunked request without the end of its trailer.
std::string WithTrailer(const std::string& chunks, const std::string& trailer) {
  return absl::StrCat(ChunkedHead("/once/hold"), chunks, "0\r\n", trailer);
}

void MeetCrowd(const ClientScript& script) {
  LimitedInstance instance;
  ClientCrowd crowd(instance.callers());
  crowd.AddMany(script, kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kMaxFds);
}

TEST_CASE("trailer fields without end") {
  MeetCrowd(
      {Shared(WithTrailer(Chunks(1, 4), TrailerFields(kMaxBody))), kPiece});
}

TEST_CASE("one trailer line without end") {
  MeetCrowd({Shared(WithTrailer(Chunks(1, 4), TrailerLine(kMaxBody))), kPiece});
}

TEST_CASE("trailers that stop before their end") {
  MeetCrowd(
      {Shared(WithTrailer(Chunks(1, 4), TrailerFields(kLongTrailer))), kPiece});
}

TEST_CASE("trailers that stop before their end behind large bodies") {
  MeetCrowd({Shared(WithTrailer(Chunks(kPieces - 1, kPiece),
                                TrailerFields(kLongTrailer))),
             kPiece});
}

TEST_CASE("trailers that go on a byte at a time") {
  ClientScript script = {
      Shared(WithTrailer(Chunks(1, 4), TrailerLine(kShortTrailer))), kPiece};
  script.trickle = Shared(std::string(kLongTrailer - kShortTrailer, 't'));
  MeetCrowd(script);
}

std::string ExtendedChunks(size_t count) {
  const std::string chunk =
      absl::StrCat("1;e=", std::string(kExtension, 'e'), "\r\nx\r\n");
  std::string chunks;
  for (size_t i = 0; i < count; ++i) {
    chunks += chunk;
  }
  return chunks;
}

TEST_CASE("one-byte chunks with long extensions") {
  MeetCrowd(
      {Shared(ChunkedHead("/once/hold") + ExtendedChunks(kPieces)), kPiece});
}

// They cost the processor time of ordinary callers, not memory.
TEST_CASE("a small body with too much framing is refused") {
  LimitedInstance instance;
  const std::string end = "0\r\n\r\n";
  CHECK_THAT(
      instance.Ask(ChunkedHead("/once/x") + ExtendedChunks(kPieces) + end),
      Catch::StartsWith("HTTP/1.1 413"));
  CHECK_THAT(instance.Ask(ChunkedHead("/once/x") + ExtendedChunks(4) + end),
             Catch::StartsWith("HTTP/1.1 200"));
  // Legal chunks of one byte, as many as fit.
  CHECK_THAT(instance.Ask(ChunkedHead("/once/x") + Chunks(kMaxBody, 1) + end),
             Catch::StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace umbertrail::soak
