#include "umbertrail/telemetry/trace.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace umbertrail::telemetry {
namespace {

// Lengths and places of the fields of `00-TRACE-SPAN-FLAGS`.
constexpr size_t kHeaderLength = 55;
constexpr size_t kVersionAt = 0;
constexpr size_t kTraceAt = 3;
constexpr size_t kSpanAt = 36;
constexpr size_t kFlagsAt = 53;
constexpr size_t kHalfTraceDigits = 16;

constexpr uint64_t kSampledFlag = 1;
constexpr uint64_t kForbiddenVersion = 0xff;

// Seeds that separate the two halves of a trace id.
constexpr uint64_t kTraceHighSeed = 0x7472616365686967;
constexpr uint64_t kTraceLowSeed = 0x74726163656c6f77;

std::optional<uint64_t> ParseHex(std::string_view digits) {
  uint64_t value = 0;
  for (const char it : digits) {
    uint64_t digit = 0;
    if (it >= '0' && it <= '9') {
      digit = static_cast<uint64_t>(it - '0');
    } else if (it >= 'a' && it <= 'f') {
      digit = static_cast<uint64_t>(it - 'a') + 10;
    } else {
      return std::nullopt;
    }
    value = value << 4 | digit;
  }
  return value;
}

bool HasDashes(std::string_view header) {
  return header[kTraceAt - 1] == '-' && header[kSpanAt - 1] == '-' &&
         header[kFlagsAt - 1] == '-';
}

// Version 00 ends after the flags; a later one may go on after a dash.
bool HasValidEnd(std::string_view header, uint64_t version) {
  if (header.size() == kHeaderLength) {
    return true;
  }
  return version != 0 && header[kHeaderLength] == '-';
}

}  // namespace

std::string ToHex(const TraceId& id) {
  return absl::StrFormat("%016x%016x", id.high, id.low);
}

std::string ToHex(SpanId id) {
  return absl::StrFormat("%016x", id.value());
}

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() < kHeaderLength || !HasDashes(header)) {
    return std::nullopt;
  }
  const auto version = ParseHex(header.substr(kVersionAt, 2));
  const auto high = ParseHex(header.substr(kTraceAt, kHalfTraceDigits));
  const auto low =
      ParseHex(header.substr(kTraceAt + kHalfTraceDigits, kHalfTraceDigits));
  const auto span = ParseHex(header.substr(kSpanAt, kHalfTraceDigits));
  const auto flags = ParseHex(header.substr(kFlagsAt, 2));
  if (!version || !high || !low || !span || !flags) {
    return std::nullopt;
  }
  if (*version == kForbiddenVersion || !HasValidEnd(header, *version)) {
    return std::nullopt;
  }
  TraceContext out;
  out.trace = TraceId{*high, *low};
  out.span = SpanId(*span);
  out.sampled = (*flags & kSampledFlag) != 0;
  if (!out.trace.valid() || out.span.value() == 0) {
    return std::nullopt;
  }
  return out;
}

std::string FormatTraceparent(const TraceContext& context) {
  return absl::StrCat("00-", ToHex(context.trace), "-", ToHex(context.span),
                      context.sampled ? "-01" : "-00");
}

TraceId TraceOf(const RequestId& request) {
  TraceId out;
  out.high = StableHash(request.text(), kTraceHighSeed);
  // The lowest bit is set so that no id hashes to the invalid trace.
  out.low = StableHash(request.text(), kTraceLowSeed) | 1;
  return out;
}

std::string_view NameOf(Hop hop) {
  constexpr std::array<std::string_view, 7> kNames = {
      "caller", "screen", "probe", "admit", "queue", "attempt", "relay"};
  return kNames.at(static_cast<size_t>(hop));
}

HeadSampler::HeadSampler(double fraction)
    : fraction_(std::clamp(fraction, 0.0, 1.0)) {}

bool HeadSampler::Sample(const TraceId& trace, bool caller_sampled) const {
  if (caller_sampled) {
    return true;
  }
  // 53 bits fill a double's mantissa exactly.
  constexpr double kScale = 1.0 / static_cast<double>(uint64_t{1} << 53);
  return static_cast<double>(trace.low >> 11) * kScale < fraction_;
}

}  // namespace umbertrail::telemetry
