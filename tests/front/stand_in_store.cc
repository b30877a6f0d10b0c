#include "front/stand_in_store.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace umbertrail::testing {
namespace {

using nlohmann::json;

// Time a watch waits for a change; shorter than the real store's.
constexpr absl::Duration kWatchWait = absl::Milliseconds(100);

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::string rest = target.substr(at + name.size() + 1);
  return rest.substr(0, rest.find_first_of("& "));
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += absl::HexStringToBytes(text.substr(i + 1, 2));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace

StandInStore::StandInStore()
    : server_(std::make_unique<FakeServer>(
          [this](FakeConnection& connection) { Serve(connection); })) {}

StandInStore::~StandInStore() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  server_.reset();
}

void StandInStore::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&mutex_);
  items_[key] = {value, ++revision_, false};
}

void StandInStore::Delete(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  items_[key] = {"", ++revision_, true};
}

void StandInStore::SetUnresponsive(bool unresponsive) {
  absl::MutexLock lock(&mutex_);
  unresponsive_ = unresponsive;
}

void StandInStore::DropHistory() {
  absl::MutexLock lock(&mutex_);
  oldest_watchable_ = ++revision_;
}

void StandInStore::SaveSnapshot() {
  absl::MutexLock lock(&mutex_);
  snapshot_ = items_;
  snapshot_revision_ = revision_;
  era_ = std::max<uint64_t>(era_, 1);
}

void StandInStore::RestoreSnapshot() {
  absl::MutexLock lock(&mutex_);
  items_ = snapshot_;
  revision_ = snapshot_revision_;
  ++era_;
}

std::string StandInStore::Response(int status, const std::string& body) const {
  const std::string answer = HttpAnswer(status, body);
  if (era_ == 0) {
    return answer;
  }
  const size_t line = answer.find("\r\n") + 2;
  return absl::StrCat(answer.substr(0, line), "Store-Era: ", era_, "\r\n",
                      answer.substr(line));
}

void StandInStore::SetPageSize(size_t items) {
  absl::MutexLock lock(&mutex_);
  page_size_ = items;
}

void StandInStore::Serve(FakeConnection& connection) {
  ServeRequests(connection, [&](const std::string& request) {
    bool unresponsive = false;
    {
      absl::MutexLock lock(&mutex_);
      unresponsive = unresponsive_;
    }
    if (unresponsive) {
      connection.AwaitClose();
      return false;
    }
    const std::string answer = Answer(request.substr(0, request.find('\r')));
    if (request.find("/kv-watch") == std::string::npos) {
      connection.Write(answer);
    } else {
      WriteSlowly(connection, answer);
    }
    return true;
  });
}

void StandInStore::WriteSlowly(FakeConnection& connection,
                               const std::string& answer) {
  size_t pieces = 1;
  absl::Duration pause;
  {
    absl::MutexLock lock(&mutex_);
    ++watches_;
    pieces = static_cast<size_t>(pieces_);
    pause = pause_;
  }
  const size_t piece = answer.size() / pieces + 1;
  for (size_t at = 0; at < answer.size(); at += piece) {
    connection.Write(answer.substr(at, piece));
    absl::SleepFor(pause);
  }
}

void StandInStore::SetThrottled(int pieces, absl::Duration pause) {
  absl::MutexLock lock(&mutex_);
  pieces_ = pieces;
  pause_ = pause;
}

int StandInStore::watches() const {
  absl::MutexLock lock(&mutex_);
  return watches_;
}

std::string StandInStore::Answer(const std::string& target) {
  absl::MutexLock lock(&mutex_);
  if (target.find("/kv-range") != std::string::npos) {
    return Response(200, Page(Unescape(QueryValue(target, "after"))));
  }
  uint64_t after = 0;
  if (!absl::SimpleAtoi(QueryValue(target, "after"), &after)) {
    return Response(400, "");
  }
  if (after < oldest_watchable_ || after > revision_) {
    return Response(410, "");
  }
  const uint64_t era = era_;
  const auto changed = [&] {
    mutex_.AssertHeld();
    return revision_ > after || era_ != era || stopping_ || unresponsive_;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&changed), kWatchWait);
  if (after > revision_) {
    return Response(410, "");
  }
  return Response(200, Events(after));
}

std::string StandInStore::Page(const std::string& after) const {
  json items = json::array();
  bool more = false;
  for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
    if (it->second.deleted) {
      continue;
    }
    if (items.size() == page_size_) {
      more = true;
      break;
    }
    items.push_back({{"key", it->first},
                     {"value", absl::Base64Escape(it->second.value)},
                     {"revision", it->second.revision}});
  }
  const json page = {
      {"items", items}, {"more_pages", more}, {"store_revision", revision_}};
  return page.dump();
}

std::string StandInStore::Events(uint64_t after) const {
  json events = json::array();
  for (const auto& [key, item] : items_) {
    if (item.revision <= after) {
      continue;
    }
    if (item.deleted) {
      events.push_back(
          {{"key", key}, {"revision", item.revision}, {"deleted", true}});
    } else {
      events.push_back({{"key", key},
                        {"value", absl::Base64Escape(item.value)},
                        {"revision", item.revision}});
    }
  }
  return json({{"events", events}, {"store_revision", revision_}}).dump();
}

}  // namespace umbertrail::testing
