#include "standins/engine_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "standins/answer_text.h"
#include "umbertrail/base.h"

namespace umbertrail::standin {
namespace {

constexpr int64_t kFirstPrefixMark = 1024;
constexpr size_t kMaxKeptEvents = 4096;
constexpr absl::Duration kSnapshotInterval = absl::Milliseconds(20);
// Decoding shares the accelerator with prefill.
constexpr double kDecodeSpeedBesidePrefill = 0.5;

int64_t ShareOf(int64_t tokens, int64_t group_size) {
  return (tokens + group_size - 1) / group_size;
}

int64_t MemoryOf(const GenerateRequest& request) {
  return ShareOf(request.prompt_tokens, request.group_size) +
         request.max_tokens;
}

bool IsActive(StreamPhase phase) {
  return phase == StreamPhase::kWaiting || phase == StreamPhase::kPrefill ||
         phase == StreamPhase::kDecoding;
}

bool HoldsMemory(StreamPhase phase) {
  return phase == StreamPhase::kPrefill || phase == StreamPhase::kDecoding;
}

// Marks of a prompt's prefixes; each hash goes on from the one before.
std::vector<PrefixMark> MarkPrefixes(const GenerateRequest& request) {
  const std::string_view text = request.prompt;
  std::vector<PrefixMark> marks;
  uint64_t hash = 0;
  size_t begin = 0;
  for (int64_t n = kFirstPrefixMark; n <= request.prompt_tokens; n *= 2) {
    const auto end = static_cast<size_t>(n * kBytesPerToken);
    if (end > text.size()) {
      break;
    }
    hash = StableHash(text.substr(begin, end - begin), hash);
    marks.push_back({hash, n});
    begin = end;
  }
  return marks;
}

}  // namespace

EngineModel::EngineModel(EngineSettings settings, uint64_t seed)
    : settings_(std::move(settings)), seed_(seed) {
  absl::MutexLock lock(&mutex_);
  model_ = settings_.model;
  version_ = settings_.version;
  adapters_ = settings_.adapters;
  Reset();
  cold_ = settings_.starts_cold;
  TakeSnapshot();
}

// -- Time ---------------------------------------------------------------------

void EngineModel::Step(absl::Duration elapsed) {
  absl::MutexLock lock(&mutex_);
  now_ += elapsed;
  const double speed = cold_ ? settings_.cold_speed : 1.0;
  const double seconds = absl::ToDoubleSeconds(elapsed) * speed;
  AdmitWaiting();
  const uint64_t boot = boots_;
  const bool prefill_ran = RunPrefill(settings_.prefill_per_second * seconds);
  if (boot == boots_) {
    const double decode_speed = prefill_ran ? kDecodeSpeedBesidePrefill : 1.0;
    RunDecode(settings_.decode_per_second * seconds * decode_speed);
  }
  if (snapshots_.empty() || now_ - snapshots_.back().at >= kSnapshotInterval) {
    TakeSnapshot();
  }
}

std::vector<EngineModel::Stream*> EngineModel::ByPriority(StreamPhase phase) {
  std::vector<Stream*> found;
  for (auto& it : streams_) {
    if (it.second.phase == phase) {
      found.push_back(&it.second);
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const Stream* a, const Stream* b) {
                     return a->request.priority > b->request.priority;
                   });
  return found;
}

void EngineModel::AdmitWaiting() {
  int64_t used = MemoryUsed();
  for (Stream* it : ByPriority(StreamPhase::kWaiting)) {
    if (used + it->memory > settings_.memory) {
      // A large one at the head is not overtaken for ever by small ones.
      return;
    }
    used += it->memory;
    it->phase = StreamPhase::kPrefill;
    const auto imported = imports_.find(it->request.request_id);
    if (imported != imports_.end()) {
      imports_.erase(imported);
      exports_.erase(it->request.request_id);
      it->prefill_left = 0;
      continue;
    }
    const int64_t whole = it->request.prompt_tokens + it->request.resume_from;
    it->prefill_left = static_cast<double>(
        ShareOf(whole - MatchedPrefix(*it), it->request.group_size));
  }
}

bool EngineModel::RunPrefill(double tokens) {
  bool ran = false;
  for (Stream* it : ByPriority(StreamPhase::kPrefill)) {
    const double part = std::min(tokens, it->prefill_left);
    it->prefill_left -= part;
    tokens -= part;
    ran = ran || part > 0;
    if (it->prefill_left > 0) {
      return ran;
    }
    if (it->poisoned) {
      ++counters_.poison_deaths;
      CrashLocked();
      return ran;
    }
    CachePrompt(*it);
    it->phase = StreamPhase::kDecoding;
    it->generated += 1;
  }
  return ran;
}

void EngineModel::RunDecode(double tokens) {
  int batch = 0;
  for (Stream* it : ByPriority(StreamPhase::kDecoding)) {
    if (batch++ == settings_.max_batch) {
      return;
    }
    it->generated += tokens;
    if (it->generated >= static_cast<double>(it->request.max_tokens)) {
      Finish(*it);
    }
  }
}

void EngineModel::Finish(Stream& stream) {
  stream.generated = static_cast<double>(stream.request.max_tokens);
  stream.phase = StreamPhase::kDone;
  ++counters_.finished;
  counters_.tokens += static_cast<uint64_t>(stream.request.max_tokens -
                                            stream.request.resume_from);
  finished_tokens_ += stream.memory;
  if (finished_tokens_ >= settings_.warm_after) {
    cold_ = false;
  }
}

// -- Requests -----------------------------------------------------------------

std::optional<Refusal> EngineModel::CheckLocked(
    const GenerateRequest& request) const {
  if (now_ < restarted_at_ + settings_.restart_time) {
    return Refusal{"restarting", true};
  }
  if (leaving_ || stopped_) {
    return Refusal{"leaving", false};
  }
  if (request.model != model_) {
    return Refusal{"other_model", false};
  }
  const bool adapter_known =
      request.adapter.empty() || std::find(adapters_.begin(), adapters_.end(),
                                           request.adapter) != adapters_.end();
  if (!adapter_known) {
    return Refusal{"other_adapter", false};
  }
  if (MemoryOf(request) > settings_.memory) {
    return Refusal{"over_memory", false};
  }
  return std::nullopt;
}

std::variant<EngineModel::StreamId, Refusal> EngineModel::Submit(
    GenerateRequest request) {
  absl::MutexLock lock(&mutex_);
  if (const auto refusal = CheckLocked(request)) {
    ++counters_.refused;
    return *refusal;
  }
  const StreamId id = next_stream_++;
  Stream stream;
  stream.id = id;
  stream.prompt_hash = PromptHash(request.prompt);
  stream.marks = MarkPrefixes(request);
  stream.memory = MemoryOf(request);
  stream.generated = static_cast<double>(request.resume_from);
  stream.poisoned =
      request.prompt.find(settings_.poison_marker) != std::string::npos;
  stream.request = std::move(request);
  streams_.emplace(id, std::move(stream));
  ++counters_.accepted;
  if (cold_ && TokensInFlight() > settings_.cold_budget) {
    ++counters_.cold_overloads;
    CrashLocked();
  }
  return id;
}

StreamView EngineModel::Await(StreamId id,
                              int64_t seen,
                              StreamPhase phase,
                              absl::Duration wait) const {
  absl::MutexLock lock(&mutex_);
  StreamView view;
  const auto news = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) {
      view = StreamView{};
      return true;
    }
    view.phase = it->second.phase;
    view.generated = static_cast<int64_t>(it->second.generated);
    view.prompt_hash = it->second.prompt_hash;
    view.muted = it->second.muted;
    return view.generated > seen || view.phase != phase;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&news), wait);
  return view;
}

void EngineModel::Release(StreamId id) {
  absl::MutexLock lock(&mutex_);
  const auto it = streams_.find(id);
  if (it != streams_.end() && !IsActive(it->second.phase)) {
    streams_.erase(it);
  }
}

void EngineModel::Cancel(const std::string& request_id, uint32_t attempt) {
  absl::MutexLock lock(&mutex_);
  for (auto it = streams_.begin(); it != streams_.end();) {
    const bool meant = it->second.request.request_id == request_id &&
                       it->second.request.attempt == attempt;
    if (!meant) {
      ++it;
      continue;
    }
    counters_.cancelled += IsActive(it->second.phase) ? 1 : 0;
    it = streams_.erase(it);
  }
}

int64_t EngineModel::Free(const std::string& holder,
                          const std::string& request_id) {
  absl::MutexLock lock(&mutex_);
  int64_t freed = 0;
  const auto meant = [&](const std::string& a, const std::string& b) {
    return a == holder && (request_id.empty() || b == request_id);
  };
  for (auto it = streams_.begin(); it != streams_.end();) {
    const Stream& stream = it->second;
    if (!meant(stream.request.holder, stream.request.request_id)) {
      ++it;
      continue;
    }
    freed += HoldsMemory(stream.phase) ? stream.memory : 0;
    it = streams_.erase(it);
  }
  for (auto it = exports_.begin(); it != exports_.end();) {
    if (!meant(it->second.holder, it->second.request_id)) {
      ++it;
      continue;
    }
    freed += it->second.tokens;
    imports_.erase(it->first);
    it = exports_.erase(it);
  }
  return freed;
}

std::optional<EngineModel::Exported> EngineModel::Export(
    const std::string& request_id,
    uint32_t attempt) {
  absl::MutexLock lock(&mutex_);
  for (auto& it : streams_) {
    Stream& stream = it.second;
    const bool meant = stream.request.request_id == request_id &&
                       stream.request.attempt == attempt;
    if (!meant || stream.phase != StreamPhase::kDecoding) {
      continue;
    }
    stream.phase = StreamPhase::kSuspended;
    exports_[request_id] =
        AllocationView{stream.request.holder, request_id, stream.memory};
    return Exported{request_id, stream.memory};
  }
  return std::nullopt;
}

std::optional<int64_t> EngineModel::Import(const std::string& handle,
                                           const std::string& holder,
                                           const std::string& request_id) {
  absl::MutexLock lock(&mutex_);
  const auto it = exports_.find(handle);
  if (it == exports_.end() || it->second.request_id != request_id) {
    return std::nullopt;
  }
  it->second.holder = holder;
  imports_[request_id] = it->second.tokens;
  return it->second.tokens;
}

// -- Orders -------------------------------------------------------------------

OrderResult EngineModel::TakeFence(uint64_t fence) {
  absl::MutexLock lock(&mutex_);
  if (fence < fence_) {
    ++counters_.old_fences;
    if (settings_.checks_fence) {
      return OrderResult::kOldFence;
    }
  }
  fence_ = fence;
  return OrderResult::kAccepted;
}

bool EngineModel::Serves(const std::string& model,
                         const std::string& version,
                         const std::vector<std::string>& adapters) const {
  absl::MutexLock lock(&mutex_);
  return model_ == model && version_ == version && adapters_ == adapters;
}

void EngineModel::Install(const std::string& model,
                          const std::string& version,
                          const std::vector<std::string>& adapters) {
  absl::MutexLock lock(&mutex_);
  const bool reloaded = model_ != model || version_ != version;
  model_ = model;
  version_ = version;
  adapters_ = adapters;
  if (reloaded) {
    cold_ = true;
    finished_tokens_ = 0;
  }
}

// -- Reports ------------------------------------------------------------------

EngineReport EngineModel::Report(uint64_t events_after) const {
  absl::MutexLock lock(&mutex_);
  const TimedReport* chosen = &snapshots_.front();
  for (const TimedReport& it : snapshots_) {
    if (now_ - it.at >= settings_.report_lag) {
      chosen = &it;
    }
  }
  EngineReport report = chosen->report;
  report.age = now_ - chosen->at;
  for (const TimedEvent& it : events_) {
    const bool published = now_ - it.at >= settings_.cache_event_lag;
    if (published && it.event.sequence > events_after) {
      report.cache_events.push_back(it.event);
    }
  }
  return report;
}

EngineReport EngineModel::MakeReport() const {
  EngineReport report;
  report.boot =
      absl::StrCat(settings_.name, "-", absl::Hex(seed_), "-", boots_);
  report.state = leaving_ ? "leaving" : (cold_ ? "cold" : "warm");
  for (const auto& it : streams_) {
    const Stream& stream = it.second;
    report.running += HoldsMemory(stream.phase) ? 1 : 0;
    if (IsActive(stream.phase)) {
      report.allocations.push_back(
          {stream.request.holder, stream.request.request_id, stream.memory});
    }
  }
  for (const auto& it : exports_) {
    report.allocations.push_back(it.second);
  }
  report.tokens_in_flight = TokensInFlight();
  report.memory_used = MemoryUsed();
  report.memory_total = settings_.memory;
  report.model = model_;
  report.version = version_;
  report.adapters = adapters_;
  report.fence = fence_;
  return report;
}

void EngineModel::TakeSnapshot() {
  snapshots_.push_back({now_, MakeReport()});
  while (snapshots_.size() > 1 &&
         now_ - snapshots_[1].at >= settings_.report_lag) {
    snapshots_.pop_front();
  }
}

EngineCounters EngineModel::counters() const {
  absl::MutexLock lock(&mutex_);
  return counters_;
}

int64_t EngineModel::MemoryUsed() const {
  int64_t used = 0;
  for (const auto& it : streams_) {
    used += HoldsMemory(it.second.phase) ? it.second.memory : 0;
  }
  for (const auto& it : exports_) {
    used += it.second.tokens;
  }
  return used;
}

int64_t EngineModel::TokensInFlight() const {
  int64_t tokens = 0;
  for (const auto& it : streams_) {
    tokens += IsActive(it.second.phase) ? it.second.memory : 0;
  }
  return tokens;
}

// -- Prefix cache -------------------------------------------------------------

int64_t EngineModel::MatchedPrefix(const Stream& stream) {
  int64_t matched = 0;
  for (const PrefixMark& mark : stream.marks) {
    const auto it = std::find_if(
        cache_.begin(), cache_.end(),
        [&mark](const CacheEntry& e) { return e.mark.hash == mark.hash; });
    if (it == cache_.end()) {
      break;
    }
    const CacheEntry used = *it;
    cache_.erase(it);
    cache_.push_back(used);
    matched = mark.length;
  }
  return matched;
}

void EngineModel::CachePrompt(const Stream& stream) {
  int64_t covered = MatchedPrefix(stream);
  for (const PrefixMark& mark : stream.marks) {
    if (mark.length <= covered) {
      continue;
    }
    const CacheEntry entry{mark, mark.length - covered};
    covered = mark.length;
    cache_.push_back(entry);
    Publish(true, entry);
  }
  EvictCache();
}

void EngineModel::EvictCache() {
  int64_t held = 0;
  for (const CacheEntry& it : cache_) {
    held += it.cost;
  }
  while (held > settings_.memory && !cache_.empty()) {
    const CacheEntry entry = cache_.front();
    cache_.pop_front();
    held -= entry.cost;
    Publish(false, entry);
  }
}

void EngineModel::Publish(bool added, const CacheEntry& entry) {
  ++cache_sequence_;
  const auto loss = static_cast<uint64_t>(settings_.cache_event_loss);
  if (loss > 0 && cache_sequence_ % loss == 0) {
    return;
  }
  events_.push_back(
      {now_, {cache_sequence_, added, entry.mark.length, entry.mark.hash}});
  if (events_.size() > kMaxKeptEvents) {
    events_.pop_front();
  }
}

// -- Faults -------------------------------------------------------------------

void EngineModel::Reset() {
  ++boots_;
  streams_.clear();
  exports_.clear();
  imports_.clear();
  cache_.clear();
  events_.clear();
  snapshots_.clear();
  cache_sequence_ = 0;
  finished_tokens_ = 0;
  fence_ = 0;
  cold_ = true;
}

void EngineModel::CrashLocked() {
  Reset();
  restarted_at_ = now_;
  TakeSnapshot();
}

void EngineModel::Crash() {
  absl::MutexLock lock(&mutex_);
  CrashLocked();
}

void EngineModel::SetLeaving(bool leaving) {
  absl::MutexLock lock(&mutex_);
  leaving_ = leaving;
}

void EngineModel::TurnCold() {
  absl::MutexLock lock(&mutex_);
  cold_ = true;
  finished_tokens_ = 0;
}

void EngineModel::MuteStreams() {
  absl::MutexLock lock(&mutex_);
  for (auto& it : streams_) {
    it.second.muted = true;
  }
}

void EngineModel::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  streams_.clear();
}

}  // namespace umbertrail::standin
