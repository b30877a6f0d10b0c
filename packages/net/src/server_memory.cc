#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "server_reader.h"
#include "umbertrail/net/server.h"
#include "umbertrail/net/shedding.h"

// Bounds on the memory and the connections that clients take.

namespace umbertrail::net {
namespace {

using Clock = std::chrono::steady_clock;

// A connection with its parser, its read buffer and its timer.
constexpr size_t kConnectionBytes = 8192;
// What a request takes besides its body while it runs: a connection to a
// target.
constexpr size_t kRunningBytes = 12288;
// Pipelined bytes buffered during a response, also under pressure; more stays
// in the socket.
constexpr size_t kMaxReadAhead = 65536;
constexpr size_t kMinReadAhead = 4096;
// Memory for a body before it has arrived: at most this at its start, and all
// of its stated length once as much as kTrustedBytes has arrived.
constexpr size_t kFirstBodyBytes = 65536;
constexpr size_t kTrustedBytes = 524288;
// Larger bodies and unread responses leave this part of their budget to small
// bodies, and addresses with most connections to other addresses.
constexpr size_t kSpareFraction = 8;
// Under pressure, a body that brings fewer bytes in that time is stalled: 16
// KiB a second are far below what a client within the limits sends.
constexpr size_t kProgressBytes = 8192;
constexpr absl::Duration kMinStalled = absl::Milliseconds(500);
// Longer for responses, as closing the connection cuts them.
constexpr absl::Duration kMinUnread = absl::Seconds(2);
// By then stalled requests have been closed.
constexpr const char* kRetryAfterSeconds = "1";
// Responses with fewer unsent bytes are not observed.
constexpr size_t kMinUnreadBytes = 16384;
// Memory released by one search, as a fraction of the part; one search covers
// all connections.
constexpr size_t kReleasedFraction = 16;
// When nothing could be closed, the next search is this much later.
constexpr auto kSearchInterval = std::chrono::milliseconds(50);
constexpr uint64_t kNoMark = ~uint64_t{0};

// The next size of a body's buffer that must hold `need` bytes.
size_t NextCapacity(size_t need,
                    size_t capacity,
                    size_t max_body,
                    const boost::optional<uint64_t>& length) {
  const size_t limit = length ? static_cast<size_t>(*length) : max_body;
  size_t next = std::max(kFirstBodyBytes, 2 * capacity);
  if (capacity >= kTrustedBytes) {
    next = length ? limit : capacity + capacity / 2;
  }
  next = std::min(next, limit);
  return length ? next : std::max(next, need);
}

// Grows without the doubling of std::string::reserve.
void SetCapacity(std::string& bytes, size_t capacity) {
  std::string grown;
  grown.reserve(capacity);
  grown.append(bytes);
  bytes.swap(grown);
}

}  // namespace

void ServerConnection::ChargeBuffer() {
  charge_.Set(kConnectionBytes + buffer_.capacity());
}

size_t ServerConnection::MaxReadAhead() const {
  return server_.memory_->IsUnderPressure(MemoryUse::kConnections)
             ? kMinReadAhead
             : kMaxReadAhead;
}

MemoryDemand ServerConnection::DemandFor(MemoryUse use, size_t bytes) const {
  return {use, bytes, address_};
}

void ServerConnection::BeginProgress() {
  progress_mark_ = kNoMark;
}

void ServerConnection::NoteProgress(uint64_t mark) {
  progress_mark_ = mark;
  progressed_at_ = Clock::now();
}

bool ServerConnection::HasRoomForHead() {
  if (progress_mark_ == kNoMark) {
    NoteProgress(0);
  }
  return server_.HasRoomFor(address_, read_buffer_.size());
}

bool ServerConnection::HasRoomForBodyOf(size_t more, size_t total) {
  const size_t part = server_.memory_->part(MemoryUse::kBodies);
  const size_t spare = total > kFirstBodyBytes ? part / kSpareFraction : 0;
  return server_.memory_->MakeRoom(DemandFor(MemoryUse::kBodies, more + spare));
}

bool ServerConnection::HasRoomForBody() {
  BeginProgress();
  std::string& bytes = body_->bytes;
  body_->charge.Set(bytes.capacity());
  const auto length = reader_->message.content_length();
  const size_t total = length ? static_cast<size_t>(*length) : 0;
  const size_t more = total - std::min(total, bytes.capacity());
  if (!HasRoomForBodyOf(more, total)) {
    return false;
  }
  if (more > 0) {
    SetCapacity(bytes, std::min(total, kFirstBodyBytes));
    body_->charge.Set(bytes.capacity());
  }
  return true;
}

bool ServerConnection::GrowBody() {
  std::string& bytes = body_->bytes;
  const size_t need = bytes.size() + buffer_.size();
  const auto length = reader_->message.content_length();
  const size_t capacity = NextCapacity(need, bytes.capacity(),
                                       server_.limits_.max_body_bytes, length);
  if (need <= bytes.capacity() || capacity <= bytes.capacity()) {
    return true;
  }
  if (!HasRoomForBodyOf(capacity - bytes.capacity(), capacity)) {
    return false;
  }
  SetCapacity(bytes, capacity);
  body_->charge.Set(bytes.capacity());
  return true;
}

void ServerConnection::ReleaseBody() {
  // Others may hold the former one.
  body_ = std::make_shared<RequestBody>(server_.memory_);
}

void ServerConnection::ReleaseBuffer() {
  if (buffer_.empty() && buffer_.capacity() > 2 * read_buffer_.size()) {
    std::string().swap(buffer_);
    ChargeBuffer();
  }
}

void ServerConnection::NoteBodyProgress() {
  const uint64_t size = body_->bytes.size();
  if (progress_mark_ == kNoMark || size >= progress_mark_ + kProgressBytes) {
    NoteProgress(size);
  }
}

bool ServerConnection::HasRoomToRun() {
  return server_.HasRoomFor(address_, kRunningBytes);
}

bool ServerConnection::IsClientBehind() const {
  const bool under_pressure =
      server_.memory_->IsUnderPressure(MemoryUse::kResponses);
  return writes_.pending_bytes() > (under_pressure ? 0 : kMinUnreadBytes);
}

void ServerConnection::NoteUnreadResponse() {
  if (writes_.pending_bytes() <= kMinUnreadBytes) {
    return;
  }
  if (progress_mark_ != writes_.written_bytes()) {
    NoteProgress(writes_.written_bytes());
  }
  server_.memory_->MakeRoom(DemandFor(MemoryUse::kResponses, 0));
}

void ServerConnection::RefuseForMemory(ShedReason reason) {
  server_.memory_->NoteShed(reason);
  ResponseHead head;
  head.status = 503;
  head.reason = "Service Unavailable";
  head.headers.Add("Retry-After", kRetryAfterSeconds);
  SendRefusal(std::move(head));
}

size_t ServerConnection::SheddableBytes(ShedKind kind) {
  switch (kind) {
    case ShedKind::kIdle:
      return state_ == State::kIdle ? charge_.bytes() : 0;
    case ShedKind::kHead:
      return state_ == State::kReadingHead ? charge_.bytes() : 0;
    case ShedKind::kBody:
      return state_ == State::kReadingBody ? body_->charge.bytes() : 0;
    case ShedKind::kUpload:
      return state_ == State::kReadingBody ? charge_.bytes() : 0;
    case ShedKind::kResponse:
      break;
  }
  if (state_ == State::kReadingHead || state_ == State::kReadingBody) {
    return 0;
  }
  if (progress_mark_ != writes_.written_bytes()) {
    NoteProgress(writes_.written_bytes());
  }
  return writes_.pending_bytes();
}

absl::Duration ServerConnection::StalledFor() const {
  return absl::FromChrono(Clock::now() - progressed_at_);
}

void ServerConnection::ReleasePlace() {
  if (state_ == State::kDelivering) {
    --server_.delivering_;
  }
  server_.NoteClosed(address_);
}

void ServerConnection::Shed(ShedKind kind) {
  if (state_ == State::kReadingHead || state_ == State::kReadingBody) {
    RefuseForMemory(ShedReason::kStalledRequest);
    return;
  }
  if (kind == ShedKind::kIdle) {
    server_.memory_->NoteShed(ShedReason::kIdleConnection);
    CloseOrDeliver();
    return;
  }
  server_.memory_->NoteShed(ShedReason::kUnreadResponse);
  const auto observer = observer_;
  Close();
  if (observer) {
    observer->OnClientGone();
  }
}

bool HttpServer::HoldsMost(ClientAddress address) const {
  const auto found = open_by_address_.find(address);
  return found != open_by_address_.end() && found->second > open_ / 2;
}

bool HttpServer::HasOnlySparePlaces(size_t taken) const {
  return taken >= max_connections_ - max_connections_ / kSpareFraction;
}

void HttpServer::FreePlaces(ClientAddress address) {
  ShedDemand demand;
  demand.address = address;
  demand.bytes = (1 + open_ / kReleasedFraction) * kConnectionBytes;
  Shed(ShedKind::kIdle, absl::ZeroDuration(), demand);
  demand.address_part = max_connections_ / 2 * kConnectionBytes;
  for (const ShedKind kind : {ShedKind::kHead, ShedKind::kUpload}) {
    // One newcomer must not end many requests, as each leaves its place later.
    if (HasOnlySparePlaces(open_ - delivering_)) {
      Shed(kind, kMinStalled, demand);
    }
  }
}

bool HttpServer::HasPlace(ClientAddress address) {
  if (HasOnlySparePlaces(open_)) {
    FreePlaces(address);
  }
  if (open_ >= max_connections_ ||
      (HasOnlySparePlaces(open_) && HoldsMost(address))) {
    return false;
  }
  return HasRoomFor(address, kConnectionBytes);
}

bool HttpServer::HasRoomFor(ClientAddress address, size_t bytes) {
  const size_t spare = memory_->part(MemoryUse::kConnections) / kSpareFraction;
  if (memory_->HasRoom(MemoryUse::kConnections, bytes + spare) ||
      memory_->MakeRoom({MemoryUse::kConnections, bytes + spare, address})) {
    return true;
  }
  return !HoldsMost(address) &&
         memory_->HasRoom(MemoryUse::kConnections, bytes);
}

void HttpServer::NoteOpened(ClientAddress address) {
  ++open_;
  ++open_by_address_[address];
}

void HttpServer::NoteClosed(ClientAddress address) {
  --open_;
  const auto found = open_by_address_.find(address);
  if (--found->second == 0) {
    open_by_address_.erase(found);
  }
}

void HttpServer::Reclaim(const MemoryDemand& demand) {
  const size_t part = memory_->part(demand.use);
  const ShedDemand shed = {demand.address,
                           std::max(demand.bytes, part / kReleasedFraction),
                           part / 2};
  switch (demand.use) {
    case MemoryUse::kConnections:
      Shed(ShedKind::kIdle, absl::ZeroDuration(), shed);
      for (const ShedKind kind : {ShedKind::kHead, ShedKind::kUpload}) {
        if (!memory_->HasRoom(demand.use, demand.bytes)) {
          Shed(kind, kMinStalled, shed);
        }
      }
      break;
    case MemoryUse::kBodies:
      Shed(ShedKind::kBody, kMinStalled, shed);
      break;
    case MemoryUse::kResponses:
      Shed(ShedKind::kResponse, kMinUnread, shed);
      break;
  }
}

void HttpServer::Shed(ShedKind kind,
                      absl::Duration min_stalled,
                      const ShedDemand& demand) {
  const auto now = Clock::now();
  auto& next_search = next_search_[static_cast<size_t>(kind)];
  if (now < next_search) {
    return;
  }
  std::vector<std::shared_ptr<ServerConnection>> connections;
  std::vector<ShedCandidate> candidates;
  for (ServerConnection* it : connections_) {
    const size_t bytes = it->SheddableBytes(kind);
    if (bytes > 0) {
      connections.push_back(it->shared_from_this());
      candidates.push_back({it->address_, bytes, it->StalledFor()});
    }
  }
  const std::vector<size_t> chosen =
      ChooseToShed(candidates, {demand, min_stalled});
  for (const size_t i : chosen) {
    connections[i]->Shed(kind);
  }
  if (chosen.empty()) {
    next_search = now + kSearchInterval;
  }
}

}  // namespace umbertrail::net
