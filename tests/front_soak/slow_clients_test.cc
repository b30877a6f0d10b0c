#include <catch2/catch.hpp>
#include <string>

#include "client_crowd.h"
#include "limited_instance.h"

// Crowds that send a byte now and then, more of them than an instance has
// places for connections. Guards against such clients keeping all places, so
// that ordinary callers are turned away for as long as the crowd stays.

namespace umbertrail::soak {
namespace {

// Leaves fewer places for clients than the crowd has members.
constexpr size_t kFewFds = 600;
constexpr size_t kManyBytes = size_t{16} << 10;

void MeetSlowCrowd(const std::string& first,
                   const std::string& trickle,
                   bool comes_back = false) {
  LimitedInstance instance(kFewFds);
  ClientCrowd crowd(instance.callers());
  ClientScript script = {Shared(first), kWhole};
  script.trickle = Shared(trickle);
  script.comes_back = comes_back;
  crowd.AddMany(script, kClients);
  instance.Meet(crowd);
  CHECK(instance.peak_fds() <= kFewFds / 2);
}

TEST_CASE("declared bodies that arrive a byte at a time") {
  MeetSlowCrowd(DeclaredHead("/once/hold", kMaxBody),
                std::string(kManyBytes, 'x'));
}

TEST_CASE("chunked bodies that arrive a byte at a time") {
  MeetSlowCrowd(ChunkedHead("/once/hold"), Chunks(kManyBytes / 6, 1));
}

// Ordinary clients compete with them for each place that is given up.
TEST_CASE("slow clients that come back whenever they are disconnected") {
  MeetSlowCrowd(ChunkedHead("/once/hold"), Chunks(kManyBytes / 6, 1),
                /*comes_back=*/true);
}

TEST_CASE("heads that come back whenever they are disconnected") {
  MeetSlowCrowd(
      "POST /once/hold HTTP/1.1\r\nX-Long: ", std::string(kManyBytes, 'h'),
      /*comes_back=*/true);
}

TEST_CASE("chunk sizes that arrive a byte at a time") {
  MeetSlowCrowd(ChunkedHead("/once/hold"), std::string(kManyBytes, '0'));
}

TEST_CASE("heads that arrive a byte at a time") {
  MeetSlowCrowd("POST /once/hold HTTP/1.1\r\nX-Long: ",
                std::string(kManyBytes, 'h'));
}

}  // namespace
}  // namespace umbertrail::soak
