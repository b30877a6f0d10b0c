#include "umbertrail/dispatch/response_end.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

ResponseEnd EndWithConnection(ProcessState process) {
  ResponseEnd end;
  end.ends_with_connection = true;
  end.process = process;
  return end;
}

TEST_CASE("a response that its framing proves complete is complete") {
  ResponseEnd end;
  end.is_stream = GENERATE(false, true);
  CHECK(JudgeEnd(end) == EndVerdict::kComplete);
}

TEST_CASE("a stream that ends inside an event is broken off") {
  ResponseEnd end =
      EndWithConnection(GENERATE(ProcessState::kNotAsked, ProcessState::kAlive,
                                 ProcessState::kEnded, ProcessState::kUnknown));
  end.ends_with_connection = GENERATE(false, true);
  end.is_stream = true;
  end.is_inside_event = true;
  CHECK(JudgeEnd(end) == EndVerdict::kEndedInEvent);
}

TEST_CASE("a stream of the length that its target stated is complete") {
  ResponseEnd end;
  end.is_stream = true;
  end.is_inside_event = true;
  end.has_stated_length = true;
  CHECK(JudgeEnd(end) == EndVerdict::kComplete);
}

TEST_CASE("a response whose process ended with it is broken off") {
  ResponseEnd end = EndWithConnection(ProcessState::kEnded);
  end.is_stream = GENERATE(false, true);
  CHECK(JudgeEnd(end) == EndVerdict::kEndedByCrash);
}

TEST_CASE("a stream that ends before its first event is broken off") {
  ResponseEnd end = EndWithConnection(ProcessState::kAlive);
  end.is_stream = true;
  end.is_empty_stream = true;
  CHECK(JudgeEnd(end) == EndVerdict::kEndedEmpty);
  end.ends_with_connection = false;
  CHECK(JudgeEnd(end) == EndVerdict::kComplete);
}

TEST_CASE("what another instance passes on ends by its framing alone") {
  ResponseEnd end = EndWithConnection(ProcessState::kNotAsked);
  end.from_instance = true;
  end.is_stream = GENERATE(false, true);
  CHECK(JudgeEnd(end) == EndVerdict::kUnproven);
}

TEST_CASE("where nothing is reached, what can be repeated is not complete") {
  ResponseEnd end = EndWithConnection(ProcessState::kUnknown);
  end.is_stream = GENERATE(false, true);
  end.may_run_again = GENERATE(false, true);
  const bool is_repeatable = end.is_stream || end.may_run_again;
  CHECK(JudgeEnd(end) ==
        (is_repeatable ? EndVerdict::kUnproven : EndVerdict::kComplete));
}

TEST_CASE("a response whose process says nothing more is not complete") {
  ResponseEnd end = EndWithConnection(ProcessState::kSilent);
  end.is_stream = GENERATE(false, true);
  CHECK(JudgeEnd(end) == EndVerdict::kUnproven);
}

TEST_CASE("a response whose process lives on is complete") {
  ResponseEnd end = EndWithConnection(ProcessState::kAlive);
  end.is_stream = GENERATE(false, true);
  CHECK(JudgeEnd(end) == EndVerdict::kComplete);
}

}  // namespace
}  // namespace umbertrail::dispatch
