#include "umbertrail/front/memory_reservation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "platform/order_codec.h"

namespace umbertrail::front {
namespace {

// Expiry of a reservation that is not renewed: shorter than memory may stay
// reserved after its request has ended.
constexpr absl::Duration kLease = absl::Milliseconds(3500);
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1400);
// A live target answers an order within this.
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(250);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(250);
constexpr absl::Duration kAckTimeout = absl::Seconds(3);

}  // namespace

// A reserve or release order in flight to one target.
class MemoryReservation::Order : public net::ResponseListener,
                                 public std::enable_shared_from_this<Order> {
 public:
  Order(std::shared_ptr<MemoryReservation> owner, size_t share, bool release)
      : owner_(std::move(owner)),
        share_(share),
        release_(release),
        alarm_(owner_->state_.loop) {}

  void Send() {
    const Share& share = owner_->shares_[share_];
    const auto endpoint = net::ParseEndpoint(share.address);
    const adapter::OrderCall call =
        release_ ? adapter::ReleaseOrder(share.address, owner_->name_)
                 : adapter::ReserveOrder(share.address, owner_->name_,
                                         share.tokens, kLease);
    connection_ = owner_->state_.pool.Acquire(share.target, *endpoint);
    connection_->Call(*endpoint, kConnectTimeout, kAckTimeout,
                      net::WriteRequestHead(call.head, call.body.size()),
                      std::make_shared<std::string>(call.body),
                      /*response_has_no_body=*/false, weak_from_this());
    alarm_.Set(kOrderTimeout, shared_from_this(), &Order::OnTimeout);
  }

  void OnHead(const net::ResponseHead& head) override { status_ = head.status; }
  void OnBody(absl::string_view) override {}
  void OnEnd() override { End(adapter::IsSuccess(status_)); }
  void OnFailure(net::CallFailure) override { End(false); }

 private:
  void OnTimeout() { End(false); }
  void End(bool done) {
    if (ended_) {
      return;
    }
    ended_ = true;
    alarm_.Cancel();
    const auto self = shared_from_this();
    if (connection_->Reusable()) {
      owner_->state_.pool.Release(owner_->shares_[share_].target, connection_);
    } else {
      connection_->Close();
    }
    auto& orders = owner_->orders_;
    orders.erase(std::remove(orders.begin(), orders.end(), self), orders.end());
    owner_->OnOrderFinished(share_, release_, done);
  }

  // The owner and the order reference each other until the order finishes.
  std::shared_ptr<MemoryReservation> owner_;
  size_t share_;
  bool release_;
  int status_ = 0;
  bool ended_ = false;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Timer alarm_;
};

MemoryReservation::MemoryReservation(State& state, std::string name)
    : state_(state), name_(std::move(name)), alarm_(state.loop) {}

void MemoryReservation::Reserve(const std::vector<MemoryTicket>& tickets,
                                Callback done) {
  callback_ = std::move(done);
  for (const MemoryTicket& ticket : tickets) {
    Share share;
    share.target = ticket.target;
    share.address = state_.view.Find(ticket.target)->address;
    share.tokens = ticket.tokens;
    shares_.push_back(std::move(share));
  }
  for (size_t i = 0; i < shares_.size(); ++i) {
    Send(i, /*release=*/false);
  }
}

void MemoryReservation::Send(size_t share, bool release) {
  auto order = std::make_shared<Order>(shared_from_this(), share, release);
  orders_.push_back(order);
  order->Send();
}

void MemoryReservation::OnOrderFinished(size_t share, bool release, bool done) {
  if (release) {
    if (!done) {
      OnReleaseFailed(share);
    }
    return;
  }
  if (released_) {
    // The request ended meanwhile, or another target refused.
    Send(share, /*release=*/true);
    return;
  }
  if (done) {
    shares_[share].held = true;
  }
  if (!callback_) {
    return;  // A renewal; if it fails, the next one is sent before expiry.
  }
  if (!done) {
    const TargetId failed_target = shares_[share].target;
    const Callback callback = std::move(callback_);
    callback_ = nullptr;
    state_.log.Write(EventLog::Level::kImportant, "no_memory",
                     {{"reservation", absl::string_view(name_)},
                      {"target", failed_target.text()},
                      {"tokens", shares_[share].tokens.value()}},
                     BootNow());
    // The target may have reserved it although the order failed.
    shares_[share].held = true;
    Release();
    callback(&failed_target);
    return;
  }
  if (std::all_of(shares_.begin(), shares_.end(),
                  [](const Share& one) { return one.held; })) {
    const Callback callback = std::move(callback_);
    callback_ = nullptr;
    alarm_.Set(kRenewInterval, shared_from_this(), &MemoryReservation::Renew);
    callback(nullptr);
  }
}

void MemoryReservation::OnReleaseFailed(size_t share) {
  if (!shares_[share].release_repeated) {
    shares_[share].release_repeated = true;
    Send(share, /*release=*/true);
    return;
  }
  state_.log.Write(EventLog::Level::kImportant, "release_unanswered",
                   {{"reservation", absl::string_view(name_)},
                    {"target", shares_[share].target.text()}},
                   BootNow());
}

void MemoryReservation::Renew() {
  for (size_t i = 0; i < shares_.size(); ++i) {
    Send(i, /*release=*/false);
  }
  alarm_.Set(kRenewInterval, shared_from_this(), &MemoryReservation::Renew);
}

void MemoryReservation::Release() {
  if (released_) {
    return;
  }
  released_ = true;
  callback_ = nullptr;
  alarm_.Cancel();
  for (size_t i = 0; i < shares_.size(); ++i) {
    if (shares_[i].held) {
      Send(i, /*release=*/true);
    }
  }
}

}  // namespace umbertrail::front
