#include "stand_in.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kBegin = Clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t word = 0;
    for (size_t j = 0; j < 3; ++j) {
      word = word << 8 |
             (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                   : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() ? kDigits[word >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& path) {
  std::map<std::string, std::string> out;
  const size_t mark = path.find('?');
  if (mark == std::string::npos) {
    return out;
  }
  std::stringstream rest(path.substr(mark + 1));
  std::string pair;
  while (std::getline(rest, pair, '&')) {
    const size_t equal = pair.find('=');
    out[pair.substr(0, equal)] =
        equal == std::string::npos ? "" : Unescape(pair.substr(equal + 1));
  }
  return out;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Json(int status, uint64_t era, const std::string& body) {
  std::ostringstream out;
  out << "HTTP/1.1 " << status << (status == 200 ? " OK" : " Error")
      << "\r\nContent-Type: application/json\r\nStore-Era: " << era << "\r\n"
      << "Content-Length: " << body.size() << "\r\n\r\n"
      << body;
  return out.str();
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (file_ != nullptr) {
    std::fprintf(file_, "%8.3f %s\n", Now(), text.c_str());
    std::fflush(file_);
  }
}

int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 4096) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int PortOf(int listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int FreePort(const std::string& ip) {
  const int fd = Listen(ip, 0);
  const int port = PortOf(fd);
  close(fd);
  return port;
}

int Connect(const std::string& ip, int port, const std::string& from) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!from.empty()) {
    const sockaddr_in own = AddressOf(from, 0);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
      close(fd);
      return -1;
    }
  }
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

void ResetClose(int fd) {
  const linger now = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

int Message::status() const {
  return start.size() > 1 ? std::atoi(start[1].c_str()) : 0;
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

bool Reader::Fill(double until) {
  if (ended_) {
    return false;
  }
  pollfd wait = {fd_, POLLIN, 0};
  const double left = until - Now();
  if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
  if (n <= 0) {
    ended_ = true;
    reset_ = n < 0;
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(n));
  return true;
}

bool Reader::Line(std::string* line, double until) {
  size_t end;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Reader::Take(size_t count, std::string* out, double until) {
  while (buffer_.size() < count) {
    if (!Fill(until)) {
      out->append(buffer_);
      buffer_.clear();
      return false;
    }
  }
  out->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

Message Reader::Read(bool is_request, double seconds) {
  const double until = Now() + seconds;
  Message message;
  const auto finish = [&](bool complete) {
    message.complete = complete;
    message.reset = reset_;
    return message;
  };
  std::string line;
  if (!Line(&line, until)) {
    return finish(false);
  }
  std::istringstream words(line);
  std::string word;
  while (words >> word) {
    message.start.push_back(word);
  }
  while (true) {
    if (!Line(&line, until)) {
      return finish(false);
    }
    if (line.empty()) {
      break;
    }
    const size_t colon = line.find(':');
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      if (!Line(&line, until)) {
        return finish(false);
      }
      const size_t size =
          static_cast<size_t>(std::strtoul(line.c_str(), nullptr, 16));
      if (size > 0 && !Take(size, &message.body, until)) {
        return finish(false);
      }
      if (!Line(&line, until)) {
        return finish(false);
      }
      if (size == 0) {
        return finish(true);
      }
    }
  }
  const std::string length = message.Header("content-length");
  if (!length.empty()) {
    return finish(Take(static_cast<size_t>(std::atol(length.c_str())),
                       &message.body, until));
  }
  if (is_request || message.status() == 204 || message.status() == 304) {
    return finish(true);
  }
  while (Fill(until)) {
  }
  message.body.swap(buffer_);
  return finish(ended_ && !reset_);
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)),
      listener_(Listen(ip, port)),
      port_(listener_ < 0 ? 0 : PortOf(listener_)),
      thread_([this] { Serve(); }) {}

Server::~Server() {
  Kill();
}

void Server::Serve() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (stopped_) {
        return;
      }
      SleepFor(0.002);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_[fd] = true;
    }
    std::thread([this, fd] {
      Reader reader(fd);
      while (true) {
        const Message request = reader.Read(true, 1000);
        if (!request.complete || request.start.size() < 2 ||
            !handler_(fd, request)) {
          break;
        }
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      if (open_.erase(fd) > 0) {
        close(fd);
      }
    }).detach();
  }
}

void Server::Kill() {
  if (stopped_.exchange(true)) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [fd, is_open] : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  thread_.join();
}

int Server::open_connections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(open_.size());
}

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(ip,
                                       0,
                                       [this](int fd, const Message& request) {
                                         return Handle(fd, request);
                                       })) {}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  events_.push_back({revision_, key, false});
  changed_.notify_all();
}

void Store::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.erase(key) > 0) {
    events_.push_back({++revision_, key, true});
    changed_.notify_all();
  }
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copied_revision_ = revision_;
  copied_items_ = items_;
  copied_events_ = events_;
}

void Store::GoAway() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_away_ = true;
  changed_.notify_all();
}

void Store::ReturnFromCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  revision_ = copied_revision_;
  items_ = copied_items_;
  events_ = copied_events_;
  ++era_;
  is_away_ = false;
}

std::string Store::ItemJson(const std::string& key, const Item& item) const {
  std::ostringstream out;
  out << "{\"key\":\"" << key << "\",\"value\":\"" << Base64(item.value)
      << "\",\"revision\":" << item.revision
      << ",\"created_rev\":" << item.created << ",\"lease\":0}";
  return out.str();
}

bool Store::Handle(int fd, const Message& request) {
  const std::string& path = request.start[1];
  auto query = Query(path);
  std::unique_lock<std::mutex> lock(mutex_);
  if (is_away_) {
    return SendAll(fd, Json(503, era_, "{}"));
  }
  const uint64_t era = era_;
  std::ostringstream out;
  if (StartsWith(path, "/kv-range")) {
    bool first = true;
    out << "{\"items\":[";
    for (const auto& [key, item] : items_) {
      if (StartsWith(key, query["prefix"]) &&
          (query["after"].empty() || key > query["after"])) {
        out << (first ? "" : ",") << ItemJson(key, item);
        first = false;
      }
    }
    out << "],\"more_pages\":false,\"store_revision\":" << revision_ << "}";
  } else if (StartsWith(path, "/kv-watch")) {
    const uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
    const int wait_ms = std::atoi(query["wait_ms"].c_str());
    const std::string prefix = query["prefix"];
    if (after > revision_) {
      return SendAll(fd, Json(410, era, "{}"));
    }
    const auto has_news = [&] {
      return is_away_ ||
             std::any_of(events_.begin(), events_.end(), [&](const Event& it) {
               return it.revision > after && StartsWith(it.key, prefix);
             });
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), has_news);
    if (is_away_ || era_ != era) {
      return false;  // A watch that is waiting may be cut.
    }
    std::map<std::string, Event> newest;
    for (const Event& event : events_) {
      if (event.revision > after && StartsWith(event.key, prefix)) {
        newest[event.key] = event;
      }
    }
    bool first = true;
    out << "{\"events\":[";
    for (const auto& [key, event] : newest) {
      out << (first ? "" : ",");
      first = false;
      if (event.deleted) {
        out << "{\"key\":\"" << key << "\",\"revision\":" << event.revision
            << ",\"deleted\":true}";
      } else {
        out << ItemJson(key, items_[key]);
      }
    }
    out << "],\"store_revision\":" << revision_ << "}";
  } else {
    return SendAll(fd, Json(404, era, "{}"));
  }
  lock.unlock();
  return SendAll(fd, Json(200, era, out.str()));
}

std::string ConfigJson(int version,
                       const std::vector<RouteSpec>& routes,
                       const std::vector<ServiceSpec>& services,
                       const std::vector<std::string>& keys) {
  std::ostringstream out;
  out << "{\"version\":" << version << ",\"routes\":[";
  bool first = true;
  for (const RouteSpec& it : routes) {
    out << (first ? "" : ",") << "{\"name\":\"" << it.name
        << "\",\"host\":\"case.example\",\"prefix\":\"" << it.prefix
        << "\",\"kind\":\"" << it.kind << "\",\"timeout_ms\":" << it.timeout_ms
        << ",\"target_latency_ms\":" << it.target_latency_ms
        << ",\"priority\":1,\"service\":\"" << it.service
        << "\",\"max_attempts\":" << it.max_attempts
        << ",\"public\":false,\"sticky\":"
        << (it.kind == "streaming" ? "true" : "false")
        << ",\"resumable\":" << (it.resumable ? "true" : "false");
    if (it.kind == "streaming") {
      out << ",\"gap_aim_ms\":600";
    }
    out << "}";
    first = false;
  }
  out << "],\"services\":[";
  first = true;
  for (const ServiceSpec& it : services) {
    out << (first ? "" : ",") << "{\"name\":\"" << it.name
        << "\",\"health_path\":\"/health\",\"max_conns\":" << it.max_conns
        << ",\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
           "\"cold_per_s\":0.0";
    if (it.engine) {
      out << ",\"engine\":{\"slots\":16,\"kv_tokens\":405000,\"kv_bytes\":"
             "163840,\"link_mbps\":400000.0,\"stride\":34,\"models\":[{"
             "\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,"
             "\"context_per_k\":0.00213,\"read_per_s\":154000.0,"
             "\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,"
             "\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],"
             "\"usual\":{\"prompt\":11316,\"answer\":1266},\"hop_ms\":0.1}";
    }
    out << "}";
    first = false;
  }
  out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[";
  first = true;
  for (const std::string& key : keys) {
    out << (first ? "" : ",") << "\"" << key << "\"";
    first = false;
  }
  out << "],\"priority\":1}]}";
  return out.str();
}

std::string EntryJson(const std::string& service,
                      const std::string& address,
                      int slots,
                      const std::string& state,
                      int64_t born) {
  std::ostringstream out;
  out << "{\"service\":\"" << service << "\",\"address\":\"" << address
      << "\",\"zone\":\"couva\",\"version\":\"v1\",\"slots\":" << slots
      << ",\"state\":\"" << state
      << "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":"
         "\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,\"born\":"
      << born << "}";
  return out.str();
}

std::string RunnerAnswer(const Message& request,
                         int status,
                         const std::string& more_headers,
                         const std::string& body) {
  std::ostringstream out;
  out << "HTTP/1.1 " << status << (status == 200 ? " OK" : " Error")
      << "\r\nX-Attempt-Id: " << request.Header("x-attempt-id")
      << "\r\nX-Response-Seal: seal-" << request.Header("x-attempt-id")
      << "\r\n"
      << more_headers << "Content-Length: " << body.size() << "\r\n\r\n"
      << body;
  return out.str();
}

Instance::Instance(InstanceOptions options) : options_(std::move(options)) {}

Instance::~Instance() {
  Kill();
}

void Instance::Kill() {
  std::string how;
  if (pid_ > 0 && !Ended(&how)) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    ended_ = true;
    how_ = "killed by the case";
  }
}

std::string Instance::log_path() const {
  return options_.folder + "/" + options_.name + ".log";
}

void Instance::Start() {
  const InstanceOptions& o = options_;
  const std::string settings = o.folder + "/" + o.name + ".yaml";
  std::ofstream out(settings);
  out << "node_name: \"" << o.name << "\"\nrole: \"front\"\n"
      << "machine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n"
      << "ip: \"" << o.ip << "\"\nzone: \"couva\"\nregion: \"tt-south\"\n"
      << "zones:\n  couva: \"tt-south\"\nlisten:\n  front: \"" << o.ip << ":"
      << o.front_port << "\"\n  ready: \"" << o.ip << ":" << o.ready_port
      << "\"\n  control: \"" << o.ip << ":" << o.control_port
      << "\"\ninternal_ports:\n  - " << o.internal_port << "\n  - "
      << o.internal_port + 15 << "\nseeds:\n  - \"" << o.seed_ip << ":"
      << o.control_port << "\"\nbootstrap: " << (o.bootstrap ? "true" : "false")
      << "\ncounts_as_loss: false\n"
      << "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: " << o.memory_mb
      << "\n  max_fds: " << o.max_fds << "\n  link_mbps: 1000.0\n  disk_mb: 0\n"
      << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
      << "heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n"
      << "  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n"
      << "  drain_ms: 2000\n  grace_s: " << o.grace_s
      << "\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
      << "  rollback_slack_ms: 250\n  revoke_strict: true\n"
      << "  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n"
      << "  budget_window_s: 10\n  budget_slack: 104\n  cold_overage: 1.5\n"
      << "  cold_slack: 5\n  evacuate_ms: 5000\n  recover_s: 12\n"
      << "platform:\n  address: \"" << o.store << "\"\n  form: \"read\"\n"
      << "  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n";
  out.close();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case.
    const int log = open(log_path().c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("UMBERTRAIL_NODE_FILE", settings.c_str(), 1);
    signal(SIGPIPE, SIG_DFL);
    execl(o.program.c_str(), o.program.c_str(), "front", nullptr);
    _exit(127);
  }
}

void Instance::Restart() {
  ended_ = false;
  options_.bootstrap = false;
  Start();
}

void Instance::Signal(int signal) {
  kill(pid_, signal);
}

bool Instance::Ended(std::string* how) {
  int status = 0;
  if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = true;
    how_ = WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status)) + " (" +
                     strsignal(WTERMSIG(status)) + ")"
               : "status " + std::to_string(WEXITSTATUS(status));
  }
  if (ended_) {
    *how = how_;
  }
  return ended_;
}

bool Instance::AwaitReady(double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) {
    const int fd = Connect(options_.ip, options_.ready_port);
    if (fd >= 0) {
      SendAll(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
      const Message answer = Reader(fd).Read(false, 1);
      close(fd);
      if (answer.status() == 200) {
        return true;
      }
    }
    SleepFor(0.05);
  }
  return false;
}

std::string CaseIp(int index) {
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(20 + pid % 200) + "." +
         std::to_string(1 + pid / 200 % 250) + "." + std::to_string(1 + index);
}

std::string TemporaryFolder() {
  char path[] = "/tmp/review-XXXXXX";
  return mkdtemp(path) == nullptr ? "" : path;
}

void RemoveFolder(const std::string& folder) {
  if (std::getenv("KEEP_FOLDER") != nullptr) {
    return;
  }
  if (folder.rfind("/tmp/review-", 0) == 0) {
    const std::string command = "rm -rf " + folder;
    if (std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "can't remove %s\n", folder.c_str());
    }
  }
}

bool TroubleWanted() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void Exit(int status) {
  std::fflush(nullptr);
  _exit(status);
}

}  // namespace review
