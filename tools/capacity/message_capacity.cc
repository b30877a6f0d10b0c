// Measures the encoded size of messages between instances and the processor
// time to encode and decode them, over the sizes that grow with a fleet.

#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "process_usage.h"
#include "report.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/peer/codec.h"

namespace umbertrail::capacity {
namespace {

using core::PeerEnvelope;
using core::PeerPayload;

// Ids as long as those of a large fleet.
constexpr char kInstance[] = "10.112.134.156:7400";
constexpr char kTarget[] = "kirishima-engine-0417";
constexpr char kAccount[] = "hoshikawa-observers-017";
constexpr char kModel[] = "shower-summaries-large";
constexpr uint64_t kIncarnation = 0x9e3779b97f4a7c15;
constexpr uint64_t kRevision = 1000000;
constexpr absl::Duration kTimeLeft = absl::Nanoseconds(29987654321);

RequestId RequestOf(size_t i) {
  return RequestId(absl::StrFormat("%032x", kIncarnation + i));
}

std::vector<core::PrefixMark> MarksOf(size_t n) {
  std::vector<core::PrefixMark> out;
  for (size_t i = 0; i < n; ++i) {
    out.push_back({Tokens(int64_t{1024} << i), PrefixHash(kIncarnation - i)});
  }
  return out;
}

PeerEnvelope EnvelopeOf(PeerPayload payload) {
  PeerEnvelope out;
  out.from = {InstanceId(kInstance), Incarnation(kIncarnation)};
  out.revision = ManifestRevision(kRevision);
  out.payload = std::move(payload);
  return out;
}

template <typename Message>
Message AttemptMessage() {
  Message out;
  out.request = RequestOf(0);
  out.attempt = AttemptNumber(1);
  out.target = TargetId(kTarget);
  return out;
}

PeerPayload MakeProbe(size_t marks) {
  core::ProbeRequest out;
  out.probe = kIncarnation;
  out.target = TargetId(kTarget);
  out.model = ModelId(kModel);
  out.prompt = Tokens(120000);
  out.max_output = Tokens(2000);
  out.prefix = MarksOf(marks);
  out.time_left = kTimeLeft;
  return out;
}

PeerPayload MakeProbeReply() {
  core::ProbeReply out;
  out.probe = kIncarnation;
  out.target = TargetId(kTarget);
  out.can_serve = true;
  out.first_token = absl::Milliseconds(321);
  out.finish = absl::Seconds(16);
  out.matched_prefix = Tokens(4096);
  return out;
}

PeerPayload MakeAdmit(size_t marks) {
  auto out = AttemptMessage<core::AdmitRequest>();
  out.account = ClientAccountId(kAccount);
  out.model = ModelId(kModel);
  out.prompt = Tokens(120000);
  out.max_output = Tokens(2000);
  out.prefix = MarksOf(marks);
  out.time_left = kTimeLeft;
  out.time_total = absl::Seconds(30);
  return out;
}

PeerPayload MakeAdmitReply() {
  auto out = AttemptMessage<core::AdmitReply>();
  out.decision = core::AdmitDecision::kGranted;
  out.boot = BootId("9e3779b97f4a7c15");
  out.first_token = absl::Milliseconds(321);
  return out;
}

PeerPayload MakeSettled() {
  auto out = AttemptMessage<core::AttemptSettled>();
  out.first_token = absl::Milliseconds(321);
  out.total = absl::Seconds(15);
  out.generated = Tokens(364);
  return out;
}

PeerPayload MakeAlive(size_t entries) {
  core::AttemptsAlive out;
  for (size_t i = 0; i < entries; ++i) {
    core::AttemptsAlive::Entry entry;
    entry.request = RequestOf(i);
    entry.attempt = AttemptNumber(1);
    entry.target = TargetId(kTarget);
    entry.held = Tokens(120000);
    entry.generated = Tokens(364);
    out.attempts.push_back(entry);
  }
  return out;
}

PeerPayload MakeHandover(size_t entries) {
  core::OwnerHandover out;
  out.target = TargetId(kTarget);
  out.boot = BootId("9e3779b97f4a7c15");
  out.budget = Tokens(2000000);
  for (size_t i = 0; i < entries; ++i) {
    core::OwnerHandover::Entry entry;
    entry.holder = {InstanceId(kInstance), Incarnation(kIncarnation)};
    entry.request = RequestOf(i);
    entry.attempt = AttemptNumber(1);
    entry.tokens = Tokens(120000);
    out.entries.push_back(entry);
  }
  return out;
}

PeerPayload MakeHeadOffer(size_t parts) {
  core::HeadOffer out;
  out.nonce = kIncarnation;
  out.head.revision = ManifestRevision(kRevision);
  for (size_t i = 0; i < parts; ++i) {
    out.head.parts.push_back(
        {absl::StrFormat("accounts-%02d", i), std::string(64, 'a')});
  }
  return out;
}

PeerPayload MakeScreen() {
  core::ScreenRequest out;
  out.request = RequestOf(0);
  out.attempt = AttemptNumber(1);
  out.fingerprint = Fingerprint(kIncarnation);
  out.time_left = kTimeLeft;
  return out;
}

PeerPayload MakeScreenReply() {
  core::ScreenReply out;
  out.request = RequestOf(0);
  out.attempt = AttemptNumber(1);
  out.fingerprint = Fingerprint(kIncarnation);
  return out;
}

PeerPayload MakeScreenEnded() {
  core::ScreenEnded out;
  out.request = RequestOf(0);
  out.attempt = AttemptNumber(1);
  out.fingerprint = Fingerprint(kIncarnation);
  return out;
}

std::string Encode(const PeerPayload& payload) {
  const PeerEnvelope envelope = EnvelopeOf(payload);
  auto bytes = peer::EncodeEnvelope(envelope);
  return IsOk(bytes) ? ValueOf(std::move(bytes)) : std::string();
}

// Nanoseconds of one encoding and one decoding together.
double RoundTripNanos(const PeerPayload& payload) {
  constexpr int kRounds = 20000;
  const PeerEnvelope envelope = EnvelopeOf(payload);
  const int64_t start = ThreadNanos();
  size_t checksum = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto bytes = peer::EncodeEnvelope(envelope);
    const auto back = peer::DecodeEnvelope(ValueOf(bytes));
    checksum += IsOk(back) ? 1 : 0;
  }
  const auto spent = static_cast<double>(ThreadNanos() - start);
  return checksum == kRounds ? spent / kRounds : -1;
}

using Maker = std::function<PeerPayload(size_t)>;

void MeasureSeries(const std::string& name,
                   const std::string& unit,
                   const std::vector<size_t>& sizes,
                   const Maker& make) {
  std::vector<Point> bytes;
  std::vector<Point> nanos;
  for (const size_t it : sizes) {
    const PeerPayload payload = make(it);
    const auto size = static_cast<double>(it);
    bytes.push_back({size, static_cast<double>(Encode(payload).size())});
    nanos.push_back({size, RoundTripNanos(payload)});
  }
  PrintSeries(name, unit, "bytes", bytes);
  PrintSeries(name, unit, "ns to encode and decode", nanos);
}

void MeasureOne(const std::string& name, const PeerPayload& payload) {
  PrintFigure(name, static_cast<double>(Encode(payload).size()), "bytes");
  PrintFigure(name, RoundTripNanos(payload), "ns to encode and decode");
}

void Run() {
  MeasureSeries("ProbeRequest", "prefix marks", {0, 2, 4, 7, 10}, MakeProbe);
  MeasureOne("ProbeReply", MakeProbeReply());
  MeasureSeries("AdmitRequest", "prefix marks", {0, 2, 4, 7, 10}, MakeAdmit);
  MeasureOne("AdmitReply", MakeAdmitReply());
  MeasureOne("AttemptSettled", MakeSettled());
  MeasureSeries("AttemptsAlive", "attempts", {1, 4, 16, 64, 128}, MakeAlive);
  MeasureSeries("OwnerHandover", "entries", {1, 8, 32, 128}, MakeHandover);
  MeasureSeries("HeadOffer", "parts", {2, 8, 16, 24}, MakeHeadOffer);
  MeasureOne("HeadQuery", core::HeadQuery{kIncarnation});
  MeasureOne("ScreenRequest", MakeScreen());
  MeasureOne("ScreenReply", MakeScreenReply());
  MeasureOne("ScreenEnded", MakeScreenEnded());
}

}  // namespace
}  // namespace umbertrail::capacity

int main() {
  umbertrail::capacity::Run();
  return 0;
}
