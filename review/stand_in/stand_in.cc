#include "stand_in.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstring>
#include <fstream>
#include <sstream>

namespace review {
namespace {

constexpr double kConnectLimit = 1;
constexpr double kRestartDelay = 0.5;
constexpr double kOverseeInterval = 0.02;
constexpr size_t kPageItems = 500;

double Raw() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof address;
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

std::string Base64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    const size_t count = std::min<size_t>(3, text.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 | (j < count ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += j <= count ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      return Unescape(part.substr(name.size() + 1));
    }
    at = end;
  }
  return "";
}

}  // namespace

double Now() {
  static const double start = Raw();
  return Raw() - start;
}

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

void SleepUntil(double time) {
  SleepFor(time - Now());
}

bool Trouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Record::Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    perror(path.c_str());
    _exit(2);
  }
}

Record::~Record() {
  fclose(file_);
}

void Record::Line(const char* format, ...) {
  std::lock_guard<std::mutex> lock(mutex_);
  fprintf(file_, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  vfprintf(file_, format, arguments);
  va_end(arguments);
  fputc('\n', file_);
  fflush(file_);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

int Message::Status() const {
  return start.size() > 9 ? atoi(start.c_str() + 9) : 0;
}

std::string Message::Method() const {
  return start.substr(0, start.find(' '));
}

std::string Message::Target() const {
  const size_t begin = start.find(' ');
  const size_t end = start.find(' ', begin + 1);
  return begin == std::string::npos ? ""
                                    : start.substr(begin + 1, end - begin - 1);
}

Connection::~Connection() {
  close(fd_);
}

std::unique_ptr<Connection> Connection::To(const std::string& address) {
  const size_t colon = address.find(':');
  const sockaddr_in to =
      AddressOf(address.substr(0, colon), atoi(address.c_str() + colon + 1));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    if (errno != EINPROGRESS) {
      return nullptr;
    }
    pollfd wait{fd, POLLOUT, 0};
    if (poll(&wait, 1, static_cast<int>(kConnectLimit * 1000)) != 1) {
      return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

bool Connection::Write(const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<size_t>(n);
  }
  return true;
}

bool Connection::Fill(double deadline) {
  pollfd wait{fd_, POLLIN, 0};
  const double left = deadline - Now();
  if (left <= 0 ||
      poll(&wait, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1) !=
          1) {
    return false;
  }
  char bytes[16384];
  const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(n));
  return true;
}

Message Connection::Read(bool is_response, double deadline) {
  Message message = ReadHead(deadline);
  if (message.head_read) {
    message.complete = ReadRest(is_response, deadline, &message);
  }
  return message;
}

Message Connection::ReadBody(const Message& head, double deadline) {
  Message message = head;
  if (message.head_read) {
    message.complete = ReadRest(true, deadline, &message);
  }
  return message;
}

Message Connection::ReadHead(double deadline) {
  Message message;
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline)) {
      return message;
    }
  }
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::getline(head, message.start);
  message.start.erase(message.start.find_last_not_of('\r') + 1);
  for (std::string line; std::getline(head, line);) {
    line.erase(line.find_last_not_of('\r') + 1);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  message.head_read = true;
  return message;
}

bool Connection::ReadRest(bool is_response, double deadline, Message* message) {
  if (strcasecmp(message->Header("Transfer-Encoding").c_str(), "chunked") ==
      0) {
    while (true) {
      size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(deadline)) {
          return false;
        }
      }
      const size_t size = strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(deadline)) {
          return false;
        }
      }
      message->body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = message->Header("Content-Length");
  if (length.empty() && is_response) {
    while (Fill(deadline)) {
    }
    message->body.swap(buffer_);
    return Now() < deadline;
  }
  const size_t size = length.empty() ? 0 : strtoul(length.c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    if (!Fill(deadline)) {
      return false;
    }
  }
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Connection::IsOpen() {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void Connection::Reset() {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  connect(fd_, &none, sizeof none);
}

void Connection::Shut() {
  shutdown(fd_, SHUT_RDWR);
}

void Connection::Pump(Connection& a, Connection& b) {
  const auto pass = [](Connection& from, Connection& to) {
    char bytes[16384];
    while (true) {
      const ssize_t n = recv(from.fd_, bytes, sizeof bytes, 0);
      if (n <= 0 || !to.Write(std::string(bytes, static_cast<size_t>(n)))) {
        break;
      }
    }
    from.Shut();
    to.Shut();
  };
  std::thread back([&] { pass(b, a); });
  pass(a, b);
  back.join();
}

Server::Server(const std::string& ip, Handler handler)
    : Server(ip, RawHandler(), false) {
  handler_ = std::move(handler);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::Server(const std::string& ip, RawHandler handler, bool raw)
    : raw_handler_(std::move(handler)),
      fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof address;
  if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd_, 1024) != 0) {
    perror("listen");
    _exit(2);
  }
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
  if (raw) {
    acceptor_ = std::thread([this] { Accept(); });
  }
}

Server::~Server() {
  Stop();
}

void Server::Stop(bool reset) {
  if (stopping_.exchange(true)) {
    return;
  }
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  close(fd_);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& connection : connections_) {
      reset ? connection->Reset() : connection->Shut();
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void Server::Accept() {
  while (!stopping_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (stopping_) {
        return;
      }
      SleepFor(0.001);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto connection = std::make_shared<Connection>(fd);
    std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(connection);
    threads_.emplace_back([this, connection] { Serve(connection); });
  }
}

void Server::Serve(const std::shared_ptr<Connection>& connection) {
  if (raw_handler_) {
    raw_handler_(*connection);
  }
  while (!raw_handler_ && !stopping_) {
    const Message request = connection->Read(false, Now() + 3600);
    if (!request.complete || stopping_ || !handler_(request, *connection)) {
      break;
    }
  }
  connection->Shut();
  std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
}

Store::Store(const std::string& ip) {
  server_ = std::make_unique<Server>(
      ip, [this](const Message& request, Connection& connection) {
        return Serve(request, connection);
      });
}

Store::~Store() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

double Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(mutex_);
  Item& item = items_[key];
  ++revision_;
  if (item.created == 0 || item.deleted) {
    item.created = revision_;
  }
  item.value = value;
  item.revision = revision_;
  item.deleted = false;
  changed_.notify_all();
  return Now();
}

double Store::Delete(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  Item& item = items_[key];
  item.revision = ++revision_;
  item.deleted = true;
  changed_.notify_all();
  return Now();
}

void Store::SetDown(bool down) {
  std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

bool Store::Serve(const Message& request, Connection& connection) {
  const std::string target = request.Target();
  std::string body;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (down_) {
      return connection.Write(Response(503, {}, ""));
    }
  }
  if (target.compare(0, 9, "/kv-range") == 0) {
    std::lock_guard<std::mutex> lock(mutex_);
    body = Page(QueryValue(target, "after"));
  } else if (target.compare(0, 9, "/kv-watch") == 0) {
    const uint64_t after =
        strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    const long wait_ms = atol(QueryValue(target, "wait_ms").c_str());
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                      [&] { return stopping_ || down_ || revision_ > after; });
    if (down_) {
      return false;
    }
    body = Events(after);
  } else {
    return connection.Write(Response(404, {}, ""));
  }
  return connection.Write(
      Response(200, {"Content-Type: application/json"}, body));
}

std::string Store::ItemJson(const std::string& key, const Item& item) const {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"created_rev\":" + std::to_string(item.created) + ",\"lease\":0}";
}

std::string Store::Page(const std::string& after) {
  std::string items;
  size_t count = 0;
  bool more = false;
  for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
    if (it->second.deleted) {
      continue;
    }
    if (count++ == kPageItems) {
      more = true;
      break;
    }
    items += (items.empty() ? "" : ",") + ItemJson(it->first, it->second);
  }
  return "{\"items\":[" + items +
         "],\"more_pages\":" + (more ? "true" : "false") +
         ",\"store_revision\":" + std::to_string(revision_) + "}";
}

std::string Store::Events(uint64_t after) {
  std::map<uint64_t, std::string> events;
  for (const auto& [key, item] : items_) {
    if (item.revision <= after) {
      continue;
    }
    events[item.revision] =
        item.deleted ? "{\"key\":\"" + key +
                           "\",\"revision\":" + std::to_string(item.revision) +
                           ",\"deleted\":true}"
                     : ItemJson(key, item);
  }
  std::string list;
  for (const auto& [revision, event] : events) {
    list += (list.empty() ? "" : ",") + event;
  }
  return "{\"events\":[" + list +
         "],\"store_revision\":" + std::to_string(revision_) + "}";
}

std::string RunnerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots,
                        const std::string& state,
                        int64_t born_ms) {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address +
         "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" +
         std::to_string(born_ms) + "}";
}

std::string Response(int status,
                     const std::vector<std::string>& headers,
                     const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const std::string& header : headers) {
    out += header + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

Proxy::Proxy(const std::string& ip, std::string to) : to_(std::move(to)) {
  server_ = std::make_unique<Server>(
      ip, [this](Connection& from) { Pass(from); }, true);
}

void Proxy::Pass(Connection& from) {
  if (const auto to = Connection::To(to_)) {
    Connection::Pump(from, *to);
  }
}

Fleet::Fleet(const Options& options,
             const std::string& net,
             const std::string& store_address,
             Record* record)
    : options_(options), record_(record), store_address_(store_address) {
  char folder[] = "/tmp/umbertrail-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    perror("mkdtemp");
    _exit(2);
  }
  folder_ = folder;
  const std::string first = net + "1";
  front_port_ = FreePort(first);
  ready_port_ = FreePort(first);
  control_port_ = FreePort(first);
  internal_port_ = FreePort(first);
  machines_.resize(static_cast<size_t>(options.machines));
  for (size_t i = 0; i < machines_.size(); ++i) {
    machines_[i].ip = net + std::to_string(i + 1);
    machines_[i].zone = options.zones[i % options.zones.size()];
    machines_[i].settings = folder_ + "/node-" + std::to_string(i) + ".yaml";
  }
  for (Machine& machine : machines_) {
    Start(&machine, true);
  }
  overseer_ = std::thread([this] { Oversee(); });
}

Fleet::~Fleet() {
  stopping_ = true;
  overseer_.join();
  for (Machine& machine : machines_) {
    if (machine.pid > 0) {
      kill(machine.pid, SIGKILL);
      waitpid(machine.pid, nullptr, 0);
    }
    record_->Line("machine %s: peak of memory %ld MB, killed for memory %d",
                  machine.ip.c_str(), machine.peak_mb, machine.memory_kills);
    unlink(machine.settings.c_str());
    unlink((machine.settings + ".log").c_str());
  }
  rmdir(folder_.c_str());
}

std::string Fleet::front(int machine) const {
  return machines_[static_cast<size_t>(machine)].ip + ":" +
         std::to_string(front_port_);
}

const std::string& Fleet::zone(int machine) const {
  return machines_[static_cast<size_t>(machine)].zone;
}

void Fleet::Start(Machine* machine, bool first) {
  const auto port = [](const std::string& ip, int number) {
    return "\"" + ip + ":" + std::to_string(number) + "\"\n";
  };
  std::ofstream out(machine->settings);
  out << "node_name: \"front-" << machine->ip << "\"\nrole: \"front\"\n"
      << "machine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n"
      << "ip: \"" << machine->ip << "\"\nzone: \"" << machine->zone
      << "\"\nregion: \"tt-south\"\nzones:\n";
  for (const std::string& zone : options_.zones) {
    out << "  " << zone << ": \"tt-south\"\n";
  }
  out << "listen:\n  front: " << port(machine->ip, front_port_)
      << "  ready: " << port(machine->ip, ready_port_)
      << "  control: " << port(machine->ip, control_port_)
      << "internal_ports:\n  - " << internal_port_ << "\n  - "
      << internal_port_ + 15 << "\nseeds:\n";
  for (size_t i = 0; i < machines_.size() && i < 3; ++i) {
    out << "  - " << port(machines_[i].ip, control_port_);
  }
  out << "bootstrap: " << (first ? "true" : "false")
      << "\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: "
      << options_.memory_mb
      << "\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
         "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
         "heartbeat_ms: 1200\n"
         "fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n"
         "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n"
         "  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n"
         "  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
         "  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n"
         "  revoke_strict: true\n  revoke_ms: 5000\n"
         "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
         "  budget_slack: 104\n  cold_overage: 1.5\n  cold_slack: 5\n"
         "  evacuate_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n"
         "  retry_after_s: 0\n  stall_ms: 1500\n  hold_max_ms: 20000\n"
         "  free_ms: 4000\n  idle_max_ms: 9000\n"
         "platform:\n  address: \""
      << (machine == &machines_.front() && !options_.first_store_address.empty()
              ? options_.first_store_address
              : store_address_)
      << "\"\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n"
         "  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n";
  out.close();
  const std::string log = machine->settings + ".log";
  const std::string variable = "UMBERTRAIL_NODE_FILE=" + machine->settings;
  machine->pid = fork();
  if (machine->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    char* arguments[] = {const_cast<char*>("target/bin/umbertraild"),
                         const_cast<char*>("front"), nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    execve(arguments[0], arguments, environment);
    _exit(127);
  }
  record_->Line("machine %s in %s: process started", machine->ip.c_str(),
                machine->zone.c_str());
}

void Fleet::Oversee() {
  while (!stopping_) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (Machine& machine : machines_) {
        if (machine.pid < 0) {
          if (Now() >= machine.start_at) {
            Start(&machine, false);
          }
          continue;
        }
        int status = 0;
        if (waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
          record_->Line("machine %s: process ended by itself, status %d",
                        machine.ip.c_str(), status);
          machine.pid = -1;
          machine.start_at = Now() + kRestartDelay;
          continue;
        }
        std::ifstream statm("/proc/" + std::to_string(machine.pid) + "/statm");
        long total = 0;
        long resident = 0;
        statm >> total >> resident;
        const long mb = resident * (sysconf(_SC_PAGESIZE) / 1024) / 1024;
        machine.peak_mb = std::max(machine.peak_mb, mb);
        if (mb > options_.memory_mb) {
          kill(machine.pid, SIGKILL);
          waitpid(machine.pid, nullptr, 0);
          record_->Line("machine %s: %ld MB, over memory_mb: killed",
                        machine.ip.c_str(), mb);
          ++machine.memory_kills;
          machine.pid = -1;
          machine.start_at = Now() + kRestartDelay;
        }
      }
    }
    SleepFor(kOverseeInterval);
  }
}

std::vector<int> Fleet::memory_kills() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<int> kills;
  for (const Machine& machine : machines_) {
    kills.push_back(machine.memory_kills);
  }
  return kills;
}

bool Fleet::AwaitReady(double limit_s) {
  const double until = Now() + limit_s;
  for (const Machine& machine : machines_) {
    const std::string address = machine.ip + ":" + std::to_string(ready_port_);
    while (true) {
      const auto connection = Connection::To(address);
      if (connection && connection->Write("GET /readiness HTTP/1.1\r\n"
                                          "Host: platform\r\n\r\n")) {
        const Message answer = connection->Read(true, Now() + 1);
        if (answer.Status() == 200) {
          break;
        }
      }
      if (Now() > until) {
        return false;
      }
      SleepFor(0.05);
    }
  }
  return true;
}

std::string LoopbackNet() {
  constexpr int kNets = 250;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid % kNets) + "." +
         std::to_string(pid / kNets % kNets) + ".";
}

}  // namespace review
