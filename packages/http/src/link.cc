#include "umbertrail/http/link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include <httplib.h>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace umbertrail::http {
namespace {

constexpr int kStatusOk = 200;
// RFC 9110, 15: a status outside this range is invalid. The library accepts any
// three digits.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// Timer granularity: a wait that ended this much before the limit timed out.
constexpr absl::Duration kTimerSlack = absl::Milliseconds(20);

// What the library's timers are asked for at most and at least.
constexpr absl::Duration kLongestLimit = absl::Hours(24);
constexpr absl::Duration kShortestLimit = absl::Milliseconds(1);

// A write to a closed connection must come back as an error.
void IgnoreBrokenPipeSignal() {
  static const bool ignored = [] {
    std::signal(SIGPIPE, SIG_IGN);
    return true;
  }();
  static_cast<void>(ignored);
}

std::string BaseUrl(const LinkSettings& settings) {
  const char* scheme = settings.ca_path.empty() ? "http://" : "https://";
  return scheme + settings.address;
}

// A second descriptor of a connection that another thread may shut down: the
// library can close its own at any moment, and the number may be reused.
class SharedSocket {
 public:
  ~SharedSocket() { Release(); }

  void Adopt(int socket) {
    absl::MutexLock lock(&mutex_);
    CloseLocked();
    socket_ = ::dup(socket);
  }

  void Release() {
    absl::MutexLock lock(&mutex_);
    CloseLocked();
  }

  void Shutdown() {
    absl::MutexLock lock(&mutex_);
    aborted_ = true;
    if (socket_ >= 0) {
      ::shutdown(socket_, SHUT_RDWR);
    }
  }

  bool aborted() const {
    absl::MutexLock lock(&mutex_);
    return aborted_;
  }

 private:
  void CloseLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (socket_ >= 0) {
      ::close(socket_);
    }
    socket_ = -1;
  }

  mutable absl::Mutex mutex_;
  int socket_ ABSL_GUARDED_BY(mutex_) = -1;
  bool aborted_ ABSL_GUARDED_BY(mutex_) = false;
};

// Collects one answer as it is read.
struct Reading {
  Answer answer;
  absl::Time last_progress;
  bool stopped = false;
  bool too_large = false;
  bool invalid_status = false;
};

bool SaysWhereItEnds(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         response.get_header_value("Transfer-Encoding") == "chunked";
}

bool TakeBytes(std::string_view bytes,
               size_t max_body,
               const Receiver& receiver,
               Reading& reading) {
  reading.last_progress = absl::Now();
  if (receiver && reading.answer.status == kStatusOk) {
    reading.stopped = !receiver(bytes);
    return !reading.stopped;
  }
  if (reading.answer.body.size() + bytes.size() > max_body) {
    reading.too_large = true;
    return false;
  }
  reading.answer.body.append(bytes);
  return true;
}

Fault FaultOfError(httplib::Error error, bool timed_out) {
  switch (error) {
    case httplib::Error::Success:
      return Fault::kNone;
    case httplib::Error::Connection:
      return Fault::kRefused;
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return Fault::kNotConnected;
    default:
      return timed_out ? Fault::kSilent : Fault::kBroken;
  }
}

httplib::Request MakeRequest(Call call) {
  httplib::Request request;
  request.method = std::move(call.method);
  request.path = std::move(call.path);
  request.body = std::move(call.body);
  for (const Header& header : call.headers) {
    request.headers.emplace(header.name, header.value);
  }
  if (!request.body.empty() && !request.has_header("Content-Type")) {
    request.headers.emplace("Content-Type", "application/json");
  }
  return request;
}

}  // namespace

class Link::Impl {
 public:
  explicit Impl(LinkSettings settings)
      : settings_(std::move(settings)), client_(BaseUrl(settings_)) {
    IgnoreBrokenPipeSignal();
    const auto limit = absl::ToChronoMicroseconds(
        std::clamp(settings_.progress_limit, kShortestLimit, kLongestLimit));
    client_.set_connection_timeout(
        absl::ToChronoMicroseconds(settings_.connect_timeout));
    client_.set_read_timeout(limit);
    client_.set_write_timeout(limit);
    client_.set_keep_alive(settings_.keep_alive);
    client_.set_tcp_nodelay(true);
    client_.set_socket_options([this](socket_t it) { socket_.Adopt(it); });
    if (!settings_.ca_path.empty()) {
      client_.set_ca_cert_path(settings_.ca_path);
    }
  }

  Answer Send(Call call, size_t max_body, const Receiver& receiver) {
    Reading reading;
    reading.last_progress = absl::Now();
    if (socket_.aborted()) {
      reading.answer.fault = Fault::kStopped;
      return std::move(reading.answer);
    }
    httplib::Request request = MakeRequest(std::move(call));
    request.response_handler = [&](const httplib::Response& response) {
      reading.last_progress = absl::Now();
      if (response.status < kMinStatus || response.status > kMaxStatus) {
        reading.invalid_status = true;
        return false;
      }
      reading.answer.status = response.status;
      reading.answer.delimited = SaysWhereItEnds(response);
      return !socket_.aborted();
    };
    request.content_receiver = [&](const char* data, size_t n, uint64_t,
                                   uint64_t) {
      const std::string_view bytes(data, n);
      return !socket_.aborted() &&
             TakeBytes(bytes, max_body, receiver, reading);
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client_.send(request, response, error) &&
        error == httplib::Error::Success) {
      error = httplib::Error::Unknown;
    }
    reading.answer.fault = FaultOf(error, reading);
    if (!settings_.keep_alive || reading.answer.fault != Fault::kNone) {
      socket_.Release();
    }
    return std::move(reading.answer);
  }

  void Abort() { socket_.Shutdown(); }

 private:
  Fault FaultOf(httplib::Error error, const Reading& reading) const {
    if (reading.too_large) {
      return Fault::kTooLarge;
    }
    if (reading.invalid_status) {
      return Fault::kBroken;
    }
    if (reading.stopped ||
        (error != httplib::Error::Success && socket_.aborted())) {
      return Fault::kStopped;
    }
    const absl::Duration quiet = absl::Now() - reading.last_progress;
    return FaultOfError(error, quiet + kTimerSlack >= settings_.progress_limit);
  }

  const LinkSettings settings_;
  SharedSocket socket_;
  httplib::Client client_;
};

Link::Link(LinkSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Link::~Link() = default;

Answer Link::Send(Call call, size_t max_body) {
  return impl_->Send(std::move(call), max_body, nullptr);
}

Answer Link::Send(Call call, size_t max_body, const Receiver& receiver) {
  return impl_->Send(std::move(call), max_body, receiver);
}

void Link::Abort() {
  impl_->Abort();
}

}  // namespace umbertrail::http
