#include "umbertrail/front/process_watch.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "platform/report_codec.h"

namespace umbertrail::front {
namespace {

// How often a held connection is checked, and replaced if it was closed.
constexpr absl::Duration kHoldInterval = absl::Seconds(1);
// Bytes of an answer that are read; a report is far shorter.
constexpr size_t kMaxAnswer = 65536;

}  // namespace

ProcessWatch::ProcessWatch(net::Loop& loop,
                           TargetPool& pool,
                           TargetProcess process)
    : loop_(loop), pool_(pool), process_(std::move(process)), timer_(loop) {}

void ProcessWatch::Start() {
  Hold();
}

void ProcessWatch::Hold() {
  if (connection_ == nullptr || connection_->closed()) {
    connection_ = pool_.Acquire(process_.id, process_.endpoint);
    if (!connection_->Reusable()) {
      connection_->Open(process_.endpoint, TargetPool::kConnectTimeout,
                        TargetPool::kAckTimeout, [](bool) {});
    }
  }
  timer_.Set(kHoldInterval, shared_from_this(), &ProcessWatch::Hold);
}

void ProcessWatch::Ask(Callback done) {
  done_ = std::move(done);
  timer_.Set(kAnswerTimeout, shared_from_this(), &ProcessWatch::OnTimeout);
  if (connection_ != nullptr && connection_->Reusable()) {
    SendQuestion();
    return;
  }
  held_connection_ended_ =
      connection_ != nullptr && connection_->closed_by_peer();
  AskOnNewConnection();
}

void ProcessWatch::AskOnNewConnection() {
  if (connection_ != nullptr) {
    connection_->Close();
  }
  on_new_connection_ = true;
  connection_ = std::make_shared<net::ClientConnection>(loop_);
  SendQuestion();
}

void ProcessWatch::SendQuestion() {
  answer_.clear();
  const std::string address = absl::StrCat(
      process_.endpoint.address().to_string(), ":", process_.endpoint.port());
  connection_->Call(process_.endpoint, TargetPool::kConnectTimeout,
                    TargetPool::kAckTimeout,
                    net::WriteRequestHead(
                        adapter::WriteReportRequest(address, process_.id), 0),
                    nullptr, false, weak_from_this());
}

void ProcessWatch::OnHead(const net::ResponseHead& head) {
  is_other_process_ = adapter::IsMisdirected(head);
}

void ProcessWatch::OnBody(absl::string_view bytes) {
  if (answer_.size() + bytes.size() > kMaxAnswer) {
    FinishUnanswered(Result::kSilent);
    return;
  }
  answer_.append(bytes.data(), bytes.size());
}

void ProcessWatch::OnEnd() {
  const std::optional<int64_t> born_ms = adapter::ReadReportedBirth(answer_);
  answer_stated_birth_ = born_ms.has_value();
  const bool states_birth = answer_stated_birth_ && process_.born_ms != 0;
  if (is_other_process_ || (states_birth && *born_ms != process_.born_ms) ||
      (held_connection_ended_ && !states_birth)) {
    Finish(Result::kEnded);
    return;
  }
  Finish(Result::kAlive);
}

void ProcessWatch::OnFailure(net::CallFailure failure) {
  if (!on_new_connection_ && failure != net::CallFailure::kUnreadable) {
    // The target may have closed it for being idle.
    held_connection_ended_ = true;
    AskOnNewConnection();
    return;
  }
  FinishUnanswered(failure == net::CallFailure::kNotConnected
                       ? Result::kUnreachable
                       : Result::kSilent);
}

void ProcessWatch::OnTimeout() {
  FinishUnanswered(Result::kSilent);
}

void ProcessWatch::FinishUnanswered(Result result) {
  Finish(held_connection_ended_ ? Result::kEnded : result);
}

void ProcessWatch::Finish(Result result) {
  const Callback done = std::exchange(done_, nullptr);
  Stop();
  if (done) {
    done(result);
  }
}

void ProcessWatch::Stop() {
  timer_.Cancel();
  done_ = nullptr;
  if (connection_ != nullptr) {
    pool_.Release(process_.id, connection_);
    if (!connection_->Reusable()) {
      connection_->Close();
    }
    connection_.reset();
  }
}

}  // namespace umbertrail::front
