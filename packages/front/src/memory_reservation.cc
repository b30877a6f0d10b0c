#include "umbertrail/front/memory_reservation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "platform/order_codec.h"

namespace umbertrail::front {
namespace {

// What nobody prolongs lapses after this: sooner than memory may stay set aside
// after its request has ended.
constexpr absl::Duration kHold = absl::Milliseconds(3500);
constexpr absl::Duration kProlongAfter = absl::Milliseconds(1400);
// A living target answers an order within this.
constexpr absl::Duration kOrderLimit = absl::Milliseconds(250);
constexpr absl::Duration kConnectLimit = absl::Milliseconds(250);
constexpr absl::Duration kSilence = absl::Seconds(3);

}  // namespace

// One order on its way to one target.
class JointMemory::Order : public net::AnswerListener,
                           public std::enable_shared_from_this<Order> {
 public:
  Order(std::shared_ptr<JointMemory> owner, size_t share, bool release)
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
                                         owner_->each_, kHold);
    connection_ = owner_->state_.pool.Take(share.target, *endpoint);
    connection_->Call(*endpoint, kConnectLimit, kSilence,
                      net::WriteRequestHead(call.head, call.body.size()),
                      std::make_shared<std::string>(call.body),
                      /*answer_has_no_body=*/false, weak_from_this());
    alarm_.Set(kOrderLimit, shared_from_this(), &Order::OnTimeLimit);
  }

  void OnHead(const net::ResponseHead& head) override { status_ = head.status; }
  void OnBody(absl::string_view) override {}
  void OnEnd() override { End(adapter::IsDone(status_)); }
  void OnFailure(net::CallFailure) override { End(false); }

 private:
  void OnTimeLimit() { End(false); }
  void End(bool done) {
    if (ended_) {
      return;
    }
    ended_ = true;
    alarm_.Cancel();
    const auto self = shared_from_this();
    if (connection_->Reusable()) {
      owner_->state_.pool.Give(owner_->shares_[share_].target, connection_);
    } else {
      connection_->Close();
    }
    auto& orders = owner_->orders_;
    orders.erase(std::remove(orders.begin(), orders.end(), self), orders.end());
    owner_->OnOrderEnd(share_, release_, done);
  }

  // Held until the order ends; the owner holds the order meanwhile.
  std::shared_ptr<JointMemory> owner_;
  size_t share_;
  bool release_;
  int status_ = 0;
  bool ended_ = false;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Alarm alarm_;
};

JointMemory::JointMemory(State& state, std::string name, Tokens each)
    : state_(state), name_(std::move(name)), each_(each), alarm_(state.loop) {}

void JointMemory::Reserve(const std::vector<TargetId>& targets, Done done) {
  done_ = std::move(done);
  for (const TargetId& target : targets) {
    const dispatch::TargetEntry* entry = state_.view.Find(target);
    shares_.push_back({target, entry == nullptr ? "" : entry->address, false});
  }
  for (size_t i = 0; i < shares_.size(); ++i) {
    Send(i, /*release=*/false);
  }
}

void JointMemory::Send(size_t share, bool release) {
  auto order = std::make_shared<Order>(shared_from_this(), share, release);
  orders_.push_back(order);
  order->Send();
}

void JointMemory::OnOrderEnd(size_t share, bool release, bool done) {
  if (release) {
    if (!done) {
      state_.log.Write(EventLog::Level::kImportant, "release_unanswered",
                       {{"reservation", absl::string_view(name_)},
                        {"target", shares_[share].target.text()}},
                       BootNow());
    }
    return;
  }
  if (released_) {
    // Its request has ended meanwhile, or another target had no memory.
    Send(share, /*release=*/true);
    return;
  }
  if (done) {
    shares_[share].held = true;
  }
  if (!done_) {
    return;  // A prolongation; one that fails is tried again in time.
  }
  if (!done) {
    const TargetId without = shares_[share].target;
    const Done tell = std::move(done_);
    done_ = nullptr;
    state_.log.Write(
        EventLog::Level::kImportant, "no_memory",
        {{"reservation", absl::string_view(name_)}, {"target", without.text()}},
        BootNow());
    shares_[share].held = true;  // It may have been taken all the same.
    Release();
    tell(&without);
    return;
  }
  if (std::all_of(shares_.begin(), shares_.end(),
                  [](const Share& one) { return one.held; })) {
    const Done tell = std::move(done_);
    done_ = nullptr;
    alarm_.Set(kProlongAfter, shared_from_this(), &JointMemory::Prolong);
    tell(nullptr);
  }
}

void JointMemory::Prolong() {
  for (size_t i = 0; i < shares_.size(); ++i) {
    Send(i, /*release=*/false);
  }
  alarm_.Set(kProlongAfter, shared_from_this(), &JointMemory::Prolong);
}

void JointMemory::Release() {
  if (released_) {
    return;
  }
  released_ = true;
  done_ = nullptr;
  alarm_.Cancel();
  for (size_t i = 0; i < shares_.size(); ++i) {
    if (shares_[i].held) {
      Send(i, /*release=*/true);
    }
  }
}

}  // namespace umbertrail::front
