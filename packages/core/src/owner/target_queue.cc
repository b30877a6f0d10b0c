#include "umbertrail/core/owner/target_queue.h"

#include <algorithm>
#include <utility>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

constexpr LengthClass kLongestFirst[] = {LengthClass::kLong,
                                         LengthClass::kMedium};
constexpr LengthClass kShortestFirst[] = {
    LengthClass::kShort, LengthClass::kMedium, LengthClass::kLong};

// A short prompt this near to its latest start is pressed.
constexpr absl::Duration kPressedMargin = absl::Milliseconds(500);
// Smallest weight of an account; a zero one would never get its turn.
constexpr double kLeastWeight = 0.001;

size_t IndexOf(LengthClass length) {
  return static_cast<size_t>(length);
}

Tokens Part(Tokens whole, double part) {
  return Tokens(
      static_cast<int64_t>(static_cast<double>(whole.value()) * part));
}

}  // namespace

TargetQueue::TargetQueue(const OwnerConfig* config) : config_(config) {}

void TargetQueue::Push(QueuedWork work) {
  UMBERTRAIL_INVARIANT(!Full());
  ClassQueue& queue = classes_[IndexOf(work.length)];
  AccountQueue& account = queue.accounts[work.request.account];
  if (account.by_deadline.empty()) {
    account.used = std::max(account.used, queue.virtual_time);
  }
  ++queue.count;
  ++size_;
  queue.charge += work.charge;
  queue.prefill += work.prefill;
  const absl::Time deadline = work.deadline;
  account.by_deadline.emplace(deadline, std::move(work));
}

const QueuedWork* TargetQueue::Next(const TargetRoom& room) const {
  const QueuedWork* aged = AgedHead(room.now);
  if (aged != nullptr && Fits(*aged, room)) {
    return aged;
  }
  // Only memory is worth gathering: a prefill in front ends by itself. What is
  // over the whole budget waits for the target to warm up.
  const bool gathers = aged != nullptr && PrefillFits(*aged, room) &&
                       aged->charge <= room.allowed;
  for (const LengthClass length : kShortestFirst) {
    const QueuedWork* head = Head(classes_[IndexOf(length)]);
    if (head == nullptr || !Fits(*head, room)) {
      continue;
    }
    if (!gathers || FitsBeside(*head, *aged, room)) {
      return head;
    }
  }
  return nullptr;
}

QueuedWork TargetQueue::Take(const AttemptKey& key) {
  std::optional<QueuedWork> work = Remove(key);
  UMBERTRAIL_INVARIANT(work.has_value());
  ClassQueue& queue = classes_[IndexOf(work->length)];
  AccountQueue& account = queue.accounts[work->request.account];
  queue.virtual_time = std::max(queue.virtual_time, account.used);
  account.used += static_cast<double>(work->charge.value()) /
                  std::max(work->request.weight, kLeastWeight);
  return *std::move(work);
}

const QueuedWork* TargetQueue::Find(const AttemptKey& key) const {
  for (const ClassQueue& queue : classes_) {
    for (const auto& [id, account] : queue.accounts) {
      for (const auto& [deadline, work] : account.by_deadline) {
        if (work.key() == key) {
          return &work;
        }
      }
    }
  }
  return nullptr;
}

std::optional<QueuedWork> TargetQueue::Remove(const AttemptKey& key) {
  std::vector<QueuedWork> removed =
      RemoveIf([&](const QueuedWork& work) { return work.key() == key; });
  if (removed.empty()) {
    return std::nullopt;
  }
  return std::move(removed.front());
}

std::vector<QueuedWork> TargetQueue::RemoveExpired(absl::Time now) {
  return RemoveIf(
      [now](const QueuedWork& work) { return work.latest_start <= now; });
}

std::vector<QueuedWork> TargetQueue::RemoveHolder(const InstanceRef& holder) {
  return RemoveIf(
      [&](const QueuedWork& work) { return work.holder == holder; });
}

std::vector<QueuedWork> TargetQueue::RemoveAll() {
  return RemoveIf([](const QueuedWork&) { return true; });
}

bool TargetQueue::HoldsSuspect() const {
  for (const ClassQueue& queue : classes_) {
    for (const auto& [id, account] : queue.accounts) {
      for (const auto& [deadline, work] : account.by_deadline) {
        if (work.request.suspect) {
          return true;
        }
      }
    }
  }
  return false;
}

absl::Time TargetQueue::NextExpiry() const {
  absl::Time next = absl::InfiniteFuture();
  for (const ClassQueue& queue : classes_) {
    for (const auto& [id, account] : queue.accounts) {
      for (const auto& [deadline, work] : account.by_deadline) {
        next = std::min(next, work.latest_start);
      }
    }
  }
  return next;
}

const QueuedWork* TargetQueue::PressedShort(const TargetRoom& room) const {
  const QueuedWork* head = Head(classes_[IndexOf(LengthClass::kShort)]);
  if (head == nullptr || MemoryFits(*head, room)) {
    return nullptr;
  }
  const bool waited = room.now - head->arrived >= config_->short_wait_limit;
  const bool late = head->latest_start - room.now <= kPressedMargin;
  return waited || late ? head : nullptr;
}

Tokens TargetQueue::WaitingCharge(LengthClass length) const {
  Tokens sum;
  for (size_t i = 0; i <= IndexOf(length); ++i) {
    sum += classes_[i].charge;
  }
  return sum;
}

Tokens TargetQueue::WaitingPrefill(LengthClass length) const {
  Tokens sum;
  for (size_t i = 0; i <= IndexOf(length); ++i) {
    sum += classes_[i].prefill;
  }
  return sum;
}

int TargetQueue::count(LengthClass length) const {
  return classes_[IndexOf(length)].count;
}

const QueuedWork* TargetQueue::Head(const ClassQueue& queue) {
  const AccountQueue* best = nullptr;
  for (const auto& [id, account] : queue.accounts) {
    if (account.by_deadline.empty()) {
      continue;
    }
    if (best == nullptr || account.used < best->used) {
      best = &account;
    }
  }
  return best == nullptr ? nullptr : &best->by_deadline.begin()->second;
}

const QueuedWork* TargetQueue::AgedHead(absl::Time now) const {
  for (const LengthClass length : kLongestFirst) {
    const QueuedWork* head = Head(classes_[IndexOf(length)]);
    if (head == nullptr) {
      continue;
    }
    const absl::Duration slack = head->latest_start - head->arrived;
    if (now - head->arrived >= slack * config_->ageing_share) {
      return head;
    }
  }
  return nullptr;
}

bool TargetQueue::Fits(const QueuedWork& work, const TargetRoom& room) const {
  return MemoryFits(work, room) && PrefillFits(work, room);
}

bool TargetQueue::MemoryFits(const QueuedWork& work,
                             const TargetRoom& room) const {
  if (room.charged + work.charge > room.allowed) {
    return false;
  }
  if (work.length == LengthClass::kShort) {
    return true;
  }
  const Tokens others = room.charged_by_class[IndexOf(LengthClass::kMedium)] +
                        room.charged_by_class[IndexOf(LengthClass::kLong)];
  const Tokens shared = Part(room.allowed, 1.0 - config_->short_share);
  return others == Tokens(0) || others + work.charge <= shared;
}

bool TargetQueue::PrefillFits(const QueuedWork& work,
                              const TargetRoom& room) const {
  if (room.running >= config_->max_running) {
    return false;
  }
  switch (work.length) {
    case LengthClass::kShort:
      return room.short_backlog <= config_->max_short_backlog;
    case LengthClass::kMedium:
      return room.prefilling[IndexOf(work.length)] <
             config_->max_medium_prefills;
    case LengthClass::kLong:
      break;
  }
  return room.prefilling[IndexOf(work.length)] < config_->max_long_prefills;
}

bool TargetQueue::FitsBeside(const QueuedWork& work,
                             const QueuedWork& aged,
                             const TargetRoom& room) const {
  if (work.length != LengthClass::kShort) {
    return false;
  }
  const Tokens left = std::max(room.allowed - aged.charge, Tokens(0));
  const Tokens share = std::min(Part(room.allowed, config_->short_share), left);
  const Tokens shorts = room.charged_by_class[IndexOf(LengthClass::kShort)];
  return shorts + work.charge <= share;
}

template <typename Predicate>
std::vector<QueuedWork> TargetQueue::RemoveIf(Predicate predicate) {
  std::vector<QueuedWork> removed;
  for (ClassQueue& queue : classes_) {
    for (auto& [id, account] : queue.accounts) {
      for (auto it = account.by_deadline.begin();
           it != account.by_deadline.end();) {
        if (!predicate(it->second)) {
          ++it;
          continue;
        }
        Forget(&queue, it->second);
        removed.push_back(std::move(it->second));
        it = account.by_deadline.erase(it);
      }
    }
  }
  return removed;
}

void TargetQueue::Forget(ClassQueue* queue, const QueuedWork& work) {
  --queue->count;
  --size_;
  queue->charge -= work.charge;
  queue->prefill -= work.prefill;
}

}  // namespace umbertrail::core
