#include "stream_reader.h"

#include <catch2/catch.hpp>

namespace umbertrail::cli {
namespace {

// Feeds a stream and returns how it ended, with the text that was shown.
CallResult ReadStream(const std::string& stream, std::string* shown) {
  const PartReceiver receiver = [&](std::string_view text) {
    shown->append(text);
  };
  StreamReader reader(receiver, absl::Now());
  reader.Feed(stream);
  CallResult out;
  reader.Finish(&out);
  return out;
}

std::string Event(const std::string& data) {
  return "data: " + data + "\n\n";
}

const std::string kPart =
    Event(R"({"id":"r","offset":0,"tokens":2,"text":"ab"})");

TEST_CASE("a stream with its total and end marker is whole") {
  std::string shown;
  const CallResult out = ReadStream(
      kPart + Event(R"({"id":"r","offset":2,"tokens":1,"text":"c"})") +
          Event(R"({"id":"r","done":true,"total_tokens":3})") + Event("[DONE]"),
      &shown);
  CHECK(out.end == CallEnd::kWhole);
  CHECK(out.request_id == "r");
  CHECK(out.tokens == 3);
  CHECK(shown == "abc");
}

TEST_CASE("anything short of that is cut") {
  const auto rest = GENERATE(
      as<std::string>(), "", Event("[DONE]"),
      Event(R"({"id":"r","done":true,"total_tokens":2})"),
      Event(R"({"id":"r","done":true,"total_tokens":3})") + Event("[DONE]"),
      Event(R"({"id":"r","offset":3,"tokens":1,"text":"z"})") + Event("[DONE]"),
      Event("nonsense") + Event("[DONE]"));
  std::string shown;
  CHECK(ReadStream(kPart + rest, &shown).end == CallEnd::kCut);
  CHECK(shown == "ab");
}

TEST_CASE("a stream that fails says whether it ran") {
  std::string shown;
  const CallResult out = ReadStream(
      kPart +
          Event(R"({"id":"r","error":{"reason":"target_failed","ran":"yes"}})"),
      &shown);
  CHECK(out.end == CallEnd::kFailed);
  CHECK(out.reason == "target_failed");
  CHECK(out.ran == "yes");
}

}  // namespace
}  // namespace umbertrail::cli
