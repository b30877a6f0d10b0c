#include "load_runner.h"

#include <algorithm>
#include <deque>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace umbertrail::cli {
namespace {

constexpr absl::Duration kProgressInterval = absl::Seconds(1);

PromptCall CallOf(const LoadCommand& command,
                  const std::vector<std::string>& secrets,
                  const Arrival& arrival,
                  uint64_t serial) {
  PromptCall out;
  out.address = command.addresses[arrival.address];
  out.account = command.accounts[arrival.account].account;
  out.secret = secrets[arrival.account];
  out.model = command.model;
  out.prompt = MakePromptText(arrival.prompt, serial);
  out.prompt_tokens = arrival.prompt.value();
  out.max_tokens = command.max_tokens;
  out.time_limit = command.time_limit;
  out.ca_file = command.ca_file;
  return out;
}

Tokens ShortestPrompt(const LoadCommand& command) {
  Tokens out = command.mix.front().prompt;
  for (const MixEntry& it : command.mix) {
    out = std::min(out, it.prompt);
  }
  return out;
}

std::vector<absl::Duration> RunAlone(const LoadCommand& command,
                                     const std::vector<std::string>& secrets,
                                     const Caller& caller) {
  // Serials of the load itself start at 0.
  constexpr uint64_t kFirstSerial = uint64_t{1} << 63;
  std::vector<absl::Duration> out;
  Arrival arrival;
  arrival.prompt = ShortestPrompt(command);
  for (int i = 0; i < command.alone; ++i) {
    const auto serial = kFirstSerial + static_cast<uint64_t>(i);
    const CallResult result = caller.Prompt(
        CallOf(command, secrets, arrival, serial), [](std::string_view) {});
    if (result.end == CallEnd::kWhole) {
      out.push_back(result.first_token);
    }
  }
  return out;
}

// Hands planned requests to threads at their times.
class Runner {
 public:
  Runner(const LoadCommand& command,
         const std::vector<std::string>& secrets,
         const std::vector<Arrival>& plan,
         const Caller& caller)
      : command_(command), secrets_(secrets), caller_(caller) {
    samples_.resize(plan.size());
    for (size_t i = 0; i < plan.size(); ++i) {
      samples_[i].arrival = plan[i];
    }
  }

  std::vector<LoadSample> Run(const Progress& progress) {
    start_ = absl::Now();
    std::vector<std::thread> threads;
    for (int i = 0; i < command_.max_open; ++i) {
      threads.emplace_back([this] { Work(); });
    }
    Offer(progress);
    Close();
    for (std::thread& it : threads) {
      it.join();
    }
    progress(samples_.size(), samples_.size());
    return std::move(samples_);
  }

 private:
  void Offer(const Progress& progress) {
    absl::Time shown = start_;
    for (size_t i = 0; i < samples_.size(); ++i) {
      absl::SleepFor(start_ + samples_[i].arrival.at - absl::Now());
      OfferOne(i);
      if (absl::Now() - shown >= kProgressInterval) {
        shown = absl::Now();
        progress(ended(), samples_.size());
      }
    }
  }

  void OfferOne(size_t i) {
    const absl::MutexLock lock(&mutex_);
    if (open_ >= command_.max_open) {
      ++ended_;
      return;
    }
    ++open_;
    samples_[i].offered = true;
    waiting_.push_back(i);
  }

  void Close() {
    const absl::MutexLock lock(&mutex_);
    closed_ = true;
  }

  size_t ended() {
    const absl::MutexLock lock(&mutex_);
    return ended_;
  }

  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return closed_ || !waiting_.empty();
  }

  // Takes the next request; false when there are no more.
  bool Take(size_t* i) {
    const absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(this, &Runner::HasWork));
    if (waiting_.empty()) {
      return false;
    }
    *i = waiting_.front();
    waiting_.pop_front();
    return true;
  }

  void Work() {
    size_t i = 0;
    while (Take(&i)) {
      SendOne(i, samples_[i]);
      const absl::MutexLock lock(&mutex_);
      --open_;
      ++ended_;
    }
  }

  void SendOne(size_t i, LoadSample& sample) {
    const PromptCall call = CallOf(command_, secrets_, sample.arrival, i);
    const absl::Time planned = start_ + sample.arrival.at;
    const absl::Duration late = absl::Now() - planned;
    sample.result = caller_.Prompt(call, [](std::string_view) {});
    sample.first_token = late + sample.result.first_token;
    sample.total = late + sample.result.total;
  }

  const LoadCommand& command_;
  const std::vector<std::string>& secrets_;
  const Caller& caller_;
  absl::Time start_;
  // Each element belongs to one thread at a time.
  std::vector<LoadSample> samples_;
  absl::Mutex mutex_;
  std::deque<size_t> waiting_ ABSL_GUARDED_BY(mutex_);
  int open_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t ended_ ABSL_GUARDED_BY(mutex_) = 0;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace

LoadResult RunLoad(const LoadCommand& command,
                   const std::vector<std::string>& secrets,
                   const std::vector<Arrival>& plan,
                   const Caller& caller,
                   const Progress& progress) {
  LoadResult out;
  out.alone = RunAlone(command, secrets, caller);
  out.samples = Runner(command, secrets, plan, caller).Run(progress);
  return out;
}

}  // namespace umbertrail::cli
