#include "control_links.h"

#include <utility>

#include "absl/time/clock.h"

namespace umbertrail::target::detail {

ControlLinks::ControlLinks(const TargetClientSettings& settings)
    : settings_(settings) {}

http::Answer ControlLinks::Read(const std::string& address,
                                const http::Call& call) {
  std::shared_ptr<http::Link> link = Take(address);
  if (link != nullptr) {
    http::Answer answer = Send(link, call);
    if (answer.fault == http::Fault::kNone) {
      Keep(address, std::move(link));
      return answer;
    }
    absl::MutexLock lock(&mutex_);
    ++replaced_;
  }
  link = MakeLink(address, /*keep=*/true);
  http::Answer answer = Send(link, call);
  if (answer.fault == http::Fault::kNone) {
    Keep(address, std::move(link));
  }
  return answer;
}

http::Answer ControlLinks::SendOnce(const std::string& address,
                                    const http::Call& call) {
  return Send(MakeLink(address, /*keep=*/false), call);
}

void ControlLinks::Abort() {
  absl::MutexLock lock(&mutex_);
  aborted_ = true;
  for (const auto& it : in_use_) {
    it->Abort();
  }
}

uint64_t ControlLinks::replaced() const {
  absl::MutexLock lock(&mutex_);
  return replaced_;
}

std::shared_ptr<http::Link> ControlLinks::MakeLink(const std::string& address,
                                                   bool keep) {
  http::LinkSettings link;
  link.address = address;
  link.connect_timeout = settings_.connect_timeout;
  link.progress_limit = settings_.control_timeout;
  link.keep_alive = keep;
  link.ca_path = settings_.ca_path;
  return std::make_shared<http::Link>(std::move(link));
}

std::shared_ptr<http::Link> ControlLinks::Take(const std::string& address) {
  absl::MutexLock lock(&mutex_);
  const auto it = kept_.find(address);
  if (it == kept_.end()) {
    return nullptr;
  }
  Kept kept = std::move(it->second);
  kept_.erase(it);
  if (absl::Now() - kept.last_used > settings_.max_idle) {
    ++replaced_;
    return nullptr;
  }
  return std::move(kept.link);
}

void ControlLinks::Keep(const std::string& address,
                        std::shared_ptr<http::Link> link) {
  const absl::Time now = absl::Now();
  absl::MutexLock lock(&mutex_);
  // Links to targets that are polled no more must not pile up.
  for (auto it = kept_.begin(); it != kept_.end();) {
    const bool stale = now - it->second.last_used > settings_.max_idle;
    if (stale) {
      kept_.erase(it++);
    } else {
      ++it;
    }
  }
  kept_.insert_or_assign(address, Kept{std::move(link), now});
}

http::Answer ControlLinks::Send(const std::shared_ptr<http::Link>& link,
                                const http::Call& call) {
  {
    absl::MutexLock lock(&mutex_);
    in_use_.insert(link);
    if (aborted_) {
      link->Abort();
    }
  }
  http::Answer answer = link->Send(call, settings_.max_answer_bytes);
  absl::MutexLock lock(&mutex_);
  in_use_.erase(link);
  return answer;
}

}  // namespace umbertrail::target::detail
