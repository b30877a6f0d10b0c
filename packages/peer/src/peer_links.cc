#include "umbertrail/peer/peer_links.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "link_probe.h"
#include "link_protocol.h"
#include "socket.h"

namespace umbertrail::peer {
namespace {

using detail::LinkProbe;
using detail::LinkProtocol;
using detail::ScopedFd;

// epoll tags; links are numbered from kFirstLinkNumber.
constexpr uint64_t kListenerTag = 0;
constexpr uint64_t kWakeTag = 1;
constexpr uint64_t kFirstLinkNumber = 2;

constexpr int kEventsPerWait = 64;
constexpr size_t kReadChunkBytes = size_t{64} * 1024;
// Sealed bytes kept ready for a socket; the rest waits unsealed in its queue.
constexpr size_t kOutputBytes = size_t{64} * 1024;
// Doublings of the back-off that can matter.
constexpr int kMaxBackoffSteps = 16;

// How often times are checked while any link exists. Coarse: it is the error of
// every link time.
constexpr int kSweepMillis = 50;

// One TCP connection and its state.
struct Link {
  Link(ScopedFd socket, LinkProtocol link_protocol, const LinkLimits& limits)
      : fd(std::move(socket)),
        protocol(std::move(link_protocol)),
        probe(limits.probe_interval, limits.silence_limit) {}

  uint64_t number = 0;
  ScopedFd fd;
  bool dialled = false;
  bool connecting = false;
  InstanceId peer;  // dialled or authenticated
  LinkProtocol protocol;
  LinkProbe probe;
  absl::Time opened;
  absl::Time last_used;
  bool watches_writable = false;
};

// What waits for one peer, and the link that will carry it.
struct Outbox {
  std::deque<std::string> messages;
  uint64_t link = 0;  // 0: none
  int failures = 0;
  absl::Time retry_at = absl::InfinitePast();
};

}  // namespace

class PeerLinks::Impl {
 public:
  Impl(Config config,
       Listener listener,
       const Clock* clock,
       RandomSource* random,
       EventSink sink,
       LinkObserver* observer);
  ~Impl();

  void Send(const InstanceId& to, const core::PeerEnvelope& envelope);
  void SetKeys(std::vector<PeerKey> keys);
  bool Drain(absl::Duration limit);
  LinkTotals Totals() const;

 private:
  struct Submission {
    InstanceId to;
    std::string message;
    // Why it is refused, when it is.
    std::optional<LinkChange> refused;
  };

  // -- Any thread.
  void Submit(Submission submission);
  void Wake();

  // -- The links' thread.
  void Run();
  bool stopping() const;
  void WaitForEvents();
  void OnSocketEvent(uint64_t number, uint32_t events);
  void TakeSubmissions();
  void Enqueue(Submission submission);
  void RefuseMessage(const InstanceId& to, LinkChange why);
  void Dial(const InstanceId& to, Outbox* outbox);
  void AcceptAll();
  void MakeRoomForHalfOpen();
  void AddLink(std::unique_ptr<Link> link);
  void Watch(Link* link);
  bool OnConnected(Link* link);
  void ReadFrom(Link* link);
  bool Take(Link* link, std::string_view bytes);
  void OnMessage(const Link& link,
                 std::string_view bytes,
                 std::optional<LinkChange>* fault);
  void OnReady(Link* link);
  void Pump(Link* link);
  void FillOutput(Link* link);
  bool WriteTo(Link* link);
  void Sweep();
  std::optional<LinkChange> Overdue(const Link& link, absl::Time now) const;
  void ForgetQuietPeers(absl::Time now);
  void Close(uint64_t number, LinkChange why);
  void FailOutbox(const InstanceId& peer);
  void BackOff(Outbox* outbox);
  void ReleaseQueued(const InstanceId& peer, size_t bytes);
  void Tell(LinkChange change, const InstanceId& peer);
  void UpdateIdle();

  const Config config_;
  const Listener listener_;
  const Clock* const clock_;
  RandomSource* const random_;
  const EventSink sink_;
  LinkObserver* const observer_;
  const ScopedFd epoll_;
  const ScopedFd wake_;

  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool draining_ ABSL_GUARDED_BY(mutex_) = false;
  bool idle_ ABSL_GUARDED_BY(mutex_) = true;
  std::vector<PeerKey> keys_ ABSL_GUARDED_BY(mutex_);
  std::vector<Submission> submissions_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<InstanceId, size_t> queued_bytes_ ABSL_GUARDED_BY(mutex_);
  LinkTotals totals_ ABSL_GUARDED_BY(mutex_);

  // Of the links' thread alone.
  absl::flat_hash_map<uint64_t, std::unique_ptr<Link>> links_;
  absl::flat_hash_map<InstanceId, Outbox> outboxes_;
  uint64_t next_number_ = kFirstLinkNumber;

  std::thread thread_;
};

PeerLinks::Impl::Impl(Config config,
                      Listener listener,
                      const Clock* clock,
                      RandomSource* random,
                      EventSink sink,
                      LinkObserver* observer)
    : config_(std::move(config)),
      listener_(std::move(listener)),
      clock_(clock),
      random_(random),
      sink_(std::move(sink)),
      observer_(observer),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      keys_(config_.keys) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kListenerTag;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, listener_.fd(), &event);
  event.data.u64 = kWakeTag;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_.get(), &event);
  thread_ = std::thread([this] { Run(); });
}

PeerLinks::Impl::~Impl() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  Wake();
  thread_.join();
}

// -- Any thread ---------------------------------------------------------------

void PeerLinks::Impl::Send(const InstanceId& to,
                           const core::PeerEnvelope& envelope) {
  Submission submission;
  submission.to = to;
  Result<std::string> encoded = EncodeEnvelope(envelope);
  if (IsOk(encoded)) {
    submission.message = ValueOf(std::move(encoded));
  } else {
    submission.refused = LinkChange::kTooLarge;
  }
  Submit(std::move(submission));
}

void PeerLinks::Impl::Submit(Submission submission) {
  {
    absl::MutexLock lock(&mutex_);
    size_t& queued = queued_bytes_[submission.to];
    const size_t n = submission.message.size();
    if (queued + n > config_.limits.queue_bytes) {
      submission.message.clear();
      submission.refused = LinkChange::kQueueFull;
    }
    queued += submission.message.size();
    submissions_.push_back(std::move(submission));
    idle_ = false;
  }
  Wake();
}

void PeerLinks::Impl::SetKeys(std::vector<PeerKey> keys) {
  absl::MutexLock lock(&mutex_);
  keys_ = std::move(keys);
}

bool PeerLinks::Impl::Drain(absl::Duration limit) {
  {
    absl::MutexLock lock(&mutex_);
    draining_ = true;
  }
  Wake();
  absl::MutexLock lock(&mutex_);
  const bool drained = mutex_.AwaitWithTimeout(absl::Condition(&idle_), limit);
  draining_ = false;
  return drained;
}

LinkTotals PeerLinks::Impl::Totals() const {
  absl::MutexLock lock(&mutex_);
  return totals_;
}

void PeerLinks::Impl::Wake() {
  const uint64_t one = 1;
  // A full counter wakes as well, so a failed write needs no care.
  [[maybe_unused]] const ssize_t n = write(wake_.get(), &one, sizeof(one));
}

// -- The links' thread --------------------------------------------------------

void PeerLinks::Impl::Run() {
  while (!stopping()) {
    WaitForEvents();
    TakeSubmissions();
    Sweep();
    UpdateIdle();
  }
}

bool PeerLinks::Impl::stopping() const {
  absl::MutexLock lock(&mutex_);
  return stopping_;
}

void PeerLinks::Impl::WaitForEvents() {
  std::array<epoll_event, kEventsPerWait> events{};
  const int wait = links_.empty() ? -1 : kSweepMillis;
  const int n = epoll_wait(epoll_.get(), events.data(), kEventsPerWait, wait);
  for (int i = 0; i < n; ++i) {
    OnSocketEvent(events[static_cast<size_t>(i)].data.u64,
                  events[static_cast<size_t>(i)].events);
  }
}

void PeerLinks::Impl::OnSocketEvent(uint64_t number, uint32_t events) {
  if (number == kListenerTag) {
    AcceptAll();
    return;
  }
  if (number == kWakeTag) {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t n = read(wake_.get(), &count, sizeof(count));
    return;
  }
  // An event of a link closed by an earlier event finds nothing.
  const auto it = links_.find(number);
  if (it == links_.end()) {
    return;
  }
  Link* link = it->second.get();
  if (link->connecting && !OnConnected(link)) {
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    Pump(link);
  }
  if ((events & ~static_cast<uint32_t>(EPOLLOUT)) != 0 &&
      links_.contains(number)) {
    ReadFrom(link);
  }
}

void PeerLinks::Impl::TakeSubmissions() {
  std::vector<Submission> submissions;
  {
    absl::MutexLock lock(&mutex_);
    submissions.swap(submissions_);
  }
  for (Submission& submission : submissions) {
    Enqueue(std::move(submission));
  }
}

void PeerLinks::Impl::Enqueue(Submission submission) {
  if (submission.refused.has_value()) {
    RefuseMessage(submission.to, *submission.refused);
    return;
  }
  Outbox& outbox = outboxes_[submission.to];
  if (outbox.link == 0 && clock_->Now() < outbox.retry_at) {
    ReleaseQueued(submission.to, submission.message.size());
    RefuseMessage(submission.to, LinkChange::kConnectFailed);
    return;
  }
  outbox.messages.push_back(std::move(submission.message));
  if (outbox.link == 0) {
    Dial(submission.to, &outbox);
    return;
  }
  Pump(links_.at(outbox.link).get());
}

void PeerLinks::Impl::RefuseMessage(const InstanceId& to, LinkChange why) {
  Tell(why, to);
  sink_(core::PeerUnreachable{to});
}

void PeerLinks::Impl::Dial(const InstanceId& to, Outbox* outbox) {
  const auto address = detail::ParseAddress(to.text());
  ScopedFd fd;
  if (address.has_value()) {
    fd = detail::BeginConnect(*address);
  }
  if (!fd.valid()) {
    Tell(LinkChange::kConnectFailed, to);
    FailOutbox(to);
    return;
  }
  std::vector<PeerKey> keys;
  {
    absl::MutexLock lock(&mutex_);
    keys = keys_;
  }
  auto link = std::make_unique<Link>(
      std::move(fd),
      LinkProtocol::Opener(config_.self, to, keys, config_.limits, random_),
      config_.limits);
  link->dialled = true;
  link->connecting = true;
  link->peer = to;
  outbox->link = next_number_;
  AddLink(std::move(link));
}

void PeerLinks::Impl::AcceptAll() {
  while (true) {
    ScopedFd fd(accept4(listener_.fd(), nullptr, nullptr,
                        SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid()) {
      return;
    }
    const auto accepted =
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& it) { return !it.second->dialled; });
    if (static_cast<size_t>(accepted) >= config_.limits.accepted_links) {
      Tell(LinkChange::kFlooded, InstanceId());
      continue;
    }
    MakeRoomForHalfOpen();
    detail::PrepareLinkSocket(fd.get());
    std::vector<PeerKey> keys;
    {
      absl::MutexLock lock(&mutex_);
      keys = keys_;
    }
    AddLink(std::make_unique<Link>(
        std::move(fd),
        LinkProtocol::Acceptor(config_.self, keys, config_.limits, random_),
        config_.limits));
  }
}

void PeerLinks::Impl::MakeRoomForHalfOpen() {
  size_t half_open = 0;
  uint64_t oldest = next_number_;
  for (const auto& [number, link] : links_) {
    if (!link->dialled && !link->protocol.ready()) {
      ++half_open;
      oldest = std::min(oldest, number);
    }
  }
  if (half_open >= config_.limits.half_open_links) {
    Close(oldest, LinkChange::kFlooded);
  }
}

void PeerLinks::Impl::AddLink(std::unique_ptr<Link> link) {
  link->number = next_number_++;
  link->opened = clock_->Now();
  link->last_used = link->opened;
  link->watches_writable = link->connecting;
  epoll_event event{};
  event.events = EPOLLIN | (link->connecting ? EPOLLOUT : 0u);
  event.data.u64 = link->number;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, link->fd.get(), &event);
  links_.emplace(link->number, std::move(link));
  absl::MutexLock lock(&mutex_);
  totals_.links = links_.size();
}

void PeerLinks::Impl::Watch(Link* link) {
  const bool writable = !link->protocol.output().empty();
  if (writable == link->watches_writable) {
    return;
  }
  link->watches_writable = writable;
  epoll_event event{};
  event.events = EPOLLIN | (writable ? EPOLLOUT : 0u);
  event.data.u64 = link->number;
  epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, link->fd.get(), &event);
}

bool PeerLinks::Impl::OnConnected(Link* link) {
  if (detail::PendingError(link->fd.get()) != 0) {
    Close(link->number, LinkChange::kConnectFailed);
    return false;
  }
  link->connecting = false;
  return true;
}

void PeerLinks::Impl::ReadFrom(Link* link) {
  std::array<char, kReadChunkBytes> buf;
  const ssize_t n = recv(link->fd.get(), buf.data(), buf.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (n <= 0) {
    Close(link->number, LinkChange::kClosed);
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    totals_.bytes_received += static_cast<uint64_t>(n);
  }
  if (Take(link, std::string_view(buf.data(), static_cast<size_t>(n)))) {
    Pump(link);
  }
}

// Hands bytes to the protocol; false when the link was closed for them.
bool PeerLinks::Impl::Take(Link* link, std::string_view bytes) {
  const bool was_ready = link->protocol.ready();
  std::optional<LinkChange> bad_message;
  const auto fault =
      link->protocol.Receive(bytes, [&](std::string_view message) {
        OnMessage(*link, message, &bad_message);
      });
  if (fault.has_value() || bad_message.has_value()) {
    Close(link->number, fault.has_value() ? *fault : *bad_message);
    return false;
  }
  link->probe.OnAnswered(link->protocol.answered_ping(), clock_->Now());
  if (!was_ready && link->protocol.ready()) {
    OnReady(link);
  }
  if (!link->dialled) {
    link->last_used = clock_->Now();
  }
  return true;
}

void PeerLinks::Impl::OnMessage(const Link& link,
                                std::string_view bytes,
                                std::optional<LinkChange>* fault) {
  if (fault->has_value()) {
    return;
  }
  Result<core::PeerEnvelope> envelope = DecodeEnvelope(bytes);
  if (!IsOk(envelope) || ValueOf(envelope).from != link.protocol.peer()) {
    *fault = LinkChange::kMalformedFrame;
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    ++totals_.messages_received;
  }
  sink_(core::PeerReceived{ValueOf(std::move(envelope))});
}

void PeerLinks::Impl::OnReady(Link* link) {
  link->peer = link->protocol.peer().id;
  Tell(link->dialled ? LinkChange::kOpened : LinkChange::kAccepted, link->peer);
  if (link->dialled) {
    outboxes_[link->peer].failures = 0;
  }
}

// Moves what waits for the link's peer towards its socket.
void PeerLinks::Impl::Pump(Link* link) {
  do {
    FillOutput(link);
    if (!WriteTo(link)) {
      return;
    }
  } while (link->protocol.output().empty() && link->dialled &&
           link->protocol.ready() && !outboxes_[link->peer].messages.empty());
  Watch(link);
}

void PeerLinks::Impl::FillOutput(Link* link) {
  if (!link->dialled || !link->protocol.ready()) {
    return;
  }
  Outbox& outbox = outboxes_[link->peer];
  while (!outbox.messages.empty() &&
         link->protocol.output().size() < kOutputBytes) {
    const std::string message = std::move(outbox.messages.front());
    outbox.messages.pop_front();
    link->protocol.SendMessage(message);
    link->last_used = clock_->Now();
    link->probe.OnSent(link->last_used);
    ReleaseQueued(link->peer, message.size());
    absl::MutexLock lock(&mutex_);
    ++totals_.messages_sent;
  }
}

// Writes what the socket takes; false when the link was closed.
bool PeerLinks::Impl::WriteTo(Link* link) {
  std::string& output = link->protocol.output();
  if (output.empty() || link->connecting) {
    return true;
  }
  const ssize_t n =
      send(link->fd.get(), output.data(), output.size(), MSG_NOSIGNAL);
  if (n < 0) {
    if (errno == EAGAIN || errno == EINTR) {
      return true;
    }
    Close(link->number, LinkChange::kClosed);
    return false;
  }
  output.erase(0, static_cast<size_t>(n));
  // Only pongs go out on an accepted link: who doesn't read them is at fault.
  if (!link->dialled && output.size() > kOutputBytes) {
    Close(link->number, LinkChange::kSilent);
    return false;
  }
  absl::MutexLock lock(&mutex_);
  totals_.bytes_sent += static_cast<uint64_t>(n);
  return true;
}

// Closes what is overdue and sends the pings that are due. Runs after the
// sockets were read, so that a process that was paused counts the answers that
// came meanwhile.
void PeerLinks::Impl::Sweep() {
  bool draining = false;
  {
    absl::MutexLock lock(&mutex_);
    draining = draining_;
  }
  const absl::Time now = clock_->Now();
  std::vector<std::pair<uint64_t, LinkChange>> overdue;
  std::vector<Link*> due;
  for (const auto& [number, link] : links_) {
    if (const auto why = Overdue(*link, now)) {
      overdue.emplace_back(number, *why);
    } else if (link->protocol.ready() &&
               (link->probe.PingDue(now) ||
                (draining && link->probe.PingUseful()))) {
      due.push_back(link.get());
    }
  }
  for (Link* link : due) {
    link->protocol.SendPing(link->probe.StartPing(now));
    Pump(link);
  }
  for (const auto& [number, why] : overdue) {
    Close(number, why);
  }
  ForgetQuietPeers(now);
}

// Instances come and go; what is kept of one that isn't sent to any more goes
// once its back-off is over.
void PeerLinks::Impl::ForgetQuietPeers(absl::Time now) {
  const absl::Duration keep = config_.limits.backoff_last;
  absl::erase_if(outboxes_, [&](const auto& it) {
    const Outbox& outbox = it.second;
    return outbox.link == 0 && outbox.messages.empty() &&
           now > outbox.retry_at + keep;
  });
}

std::optional<LinkChange> PeerLinks::Impl::Overdue(const Link& link,
                                                   absl::Time now) const {
  const LinkLimits& limits = config_.limits;
  if (!link.protocol.ready()) {
    return now - link.opened > limits.open_timeout
               ? std::optional(LinkChange::kConnectFailed)
               : std::nullopt;
  }
  if (link.probe.Silent(now)) {
    return LinkChange::kSilent;
  }
  const absl::Duration idle_limit =
      link.dialled ? limits.idle_close : limits.accepted_idle_close;
  if (link.probe.confirmed() && now - link.last_used > idle_limit) {
    return LinkChange::kIdle;
  }
  return std::nullopt;
}

void PeerLinks::Impl::Close(uint64_t number, LinkChange why) {
  const auto it = links_.find(number);
  if (it == links_.end()) {
    return;
  }
  const std::unique_ptr<Link> link = std::move(it->second);
  links_.erase(it);
  {
    absl::MutexLock lock(&mutex_);
    totals_.links = links_.size();
  }
  Tell(why, link->peer);
  if (!link->dialled) {
    return;
  }
  Outbox& outbox = outboxes_[link->peer];
  outbox.link = 0;
  const bool lost = !link->probe.confirmed() || !outbox.messages.empty();
  const bool failed = why != LinkChange::kIdle && why != LinkChange::kClosed;
  if (lost || failed) {
    FailOutbox(link->peer);
  }
}

// Gives up what waits for a peer, and backs off.
void PeerLinks::Impl::FailOutbox(const InstanceId& peer) {
  Outbox& outbox = outboxes_[peer];
  size_t n = 0;
  for (const std::string& message : outbox.messages) {
    n += message.size();
  }
  outbox.messages.clear();
  ReleaseQueued(peer, n);
  BackOff(&outbox);
  sink_(core::PeerUnreachable{peer});
}

void PeerLinks::Impl::BackOff(Outbox* outbox) {
  const LinkLimits& limits = config_.limits;
  const int steps = std::min(outbox->failures++, kMaxBackoffSteps);
  const absl::Duration span =
      std::min(limits.backoff_last, limits.backoff_first * (1 << steps));
  outbox->retry_at = clock_->Now() + span * random_->Fraction();
}

void PeerLinks::Impl::ReleaseQueued(const InstanceId& peer, size_t bytes) {
  absl::MutexLock lock(&mutex_);
  const auto it = queued_bytes_.find(peer);
  if (it == queued_bytes_.end()) {
    return;
  }
  it->second -= std::min(bytes, it->second);
  if (it->second == 0) {
    queued_bytes_.erase(it);
  }
}

void PeerLinks::Impl::Tell(LinkChange change, const InstanceId& peer) {
  if (observer_ != nullptr) {
    observer_->OnLinkChange(change, peer);
  }
}

void PeerLinks::Impl::UpdateIdle() {
  const bool unconfirmed =
      std::any_of(links_.begin(), links_.end(),
                  [](const auto& it) { return !it.second->probe.confirmed(); });
  const bool waiting =
      std::any_of(outboxes_.begin(), outboxes_.end(),
                  [](const auto& it) { return !it.second.messages.empty(); });
  absl::MutexLock lock(&mutex_);
  idle_ = !unconfirmed && !waiting && submissions_.empty();
}

// -----------------------------------------------------------------------------

PeerLinks::PeerLinks(Config config,
                     Listener listener,
                     const Clock* clock,
                     RandomSource* random,
                     EventSink sink,
                     LinkObserver* observer)
    : impl_(std::make_unique<Impl>(std::move(config),
                                   std::move(listener),
                                   clock,
                                   random,
                                   std::move(sink),
                                   observer)) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::Send(const InstanceId& to, const core::PeerEnvelope& envelope) {
  impl_->Send(to, envelope);
}

void PeerLinks::SetKeys(std::vector<PeerKey> keys) {
  impl_->SetKeys(std::move(keys));
}

bool PeerLinks::Drain(absl::Duration limit) {
  return impl_->Drain(limit);
}

LinkTotals PeerLinks::Totals() const {
  return impl_->Totals();
}

}  // namespace umbertrail::peer
