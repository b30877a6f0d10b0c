#include <unistd.h>

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "stand_in.h"

// Runners crash, one after the other, and start again under their ids, as the
// pages allow. Until its entry in the store has changed, such a runner is sent
// streams and answers them whole;
// its answers end with their connection. The route's streams may not be
// resumed.

namespace review {
namespace {

// One runner of six is within the site's largest dose of srv_crash, 0.17.
constexpr int kRunners = 6;
constexpr int kClients = 48;
// Between two requests of a client.
constexpr double kLongestPause = 0.2;
constexpr int kEvents = 8;
constexpr double kEventInterval = 0.05;
// heartbeat_ms of the settings is 1,200; a new lifetime's first heartbeat comes
// after half of that, the mean of a phase at random. The silence is shorter
// than the three heartbeats after which the entry would be removed.
constexpr double kFirstHeartbeat = 0.6;
constexpr double kDown = 2.0;
// One runner after the other, each once.
constexpr int kCrashes = 6;
constexpr double kBetweenCrashes = 1.5;
// More than so many connections closed without an answer break the rule.
constexpr int kAllowed = 3;

// Attempts that a runner answered to the last byte.
struct Answered {
  std::mutex mutex;
  std::map<std::string, double> at;
};

// One lifetime of a runner.
class Runner {
 public:
  Runner(std::string id,
         const std::string& ip,
         int port,
         int64_t born,
         Answered* answered)
      : id_(std::move(id)),
        born_(born),
        answered_(answered),
        server_(ip, port, [this](int fd, const Message& request) {
          return Handle(fd, request);
        }) {}

  int port() const { return server_.port(); }
  int64_t born() const { return born_; }
  void Kill() { server_.Kill(); }

 private:
  bool Handle(int fd, const Message& request) {
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
      return SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
                             id_ + "\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.start[1] == "/report") {
      const std::string body =
          "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
          "\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,"
          "\"running\":1,\"kv_used\":0,\"kv_total\":405000,\"handles\":0,"
          "\"born\":" +
          std::to_string(born_) + "}";
      return SendAll(fd,
                     "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    const std::string id = request.Header("x-attempt-id");
    bool sent = SendAll(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                                "\r\nX-Response-Seal: seal-" + id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Connection: close\r\n\r\n");
    for (int i = 1; i <= kEvents && sent; ++i) {
      SleepFor(kEventInterval);
      sent = SendAll(fd, "id: " + std::to_string(i) + "\ndata: " + id + "-" +
                             std::to_string(i) + "\n\n");
    }
    if (sent) {
      const std::lock_guard<std::mutex> lock(answered_->mutex);
      answered_->at[id] = Now();
    }
    return false;  // The answer ends with its connection.
  }

  const std::string id_;
  const int64_t born_;
  Answered* answered_;
  Server server_;
};

struct Outcome {
  std::string id;
  double at = 0;
  bool kept = false;
  bool complete = false;
  int status = 0;
  int events = 0;
  double sent_at = 0;
};

// One client: requests on a kept connection, one after another.
void Ask(const InstanceOptions& to,
         int number,
         const std::atomic<bool>& over,
         std::mutex* mutex,
         std::vector<Outcome>* outcomes) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  bool kept = false;
  std::mt19937 random(static_cast<unsigned>(number));
  std::uniform_real_distribution<double> pause(0, kLongestPause);
  for (int i = 0; !over; ++i) {
    SleepFor(pause(random));
    if (fd < 0) {
      fd = Connect(to.ip, to.front_port);
      if (fd < 0) {
        SleepFor(0.05);
        continue;
      }
      reader = std::make_unique<Reader>(fd);
      kept = false;
    }
    Outcome outcome;
    outcome.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    outcome.kept = kept;
    outcome.sent_at = Now();
    SendAll(fd,
            "POST /read/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
                outcome.id +
                "\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\n"
                "X-Token-Counts: 1000,80\r\nX-Prompt-Prefix: " +
                std::to_string(1000 + number) + std::to_string(i) +
                ":1000\r\nAuthorization: Token key-a\r\n"
                "Content-Length: " +
                std::to_string(outcome.id.size()) + "\r\n\r\n" + outcome.id);
    const Message answer = reader->Read(false, 12);
    outcome.at = Now();
    outcome.complete = answer.complete;
    outcome.status = answer.status();
    for (size_t at = 0;
         (at = answer.body.find("\n\n", at)) != std::string::npos; at += 2) {
      ++outcome.events;
    }
    kept = true;
    if (!answer.complete || answer.Header("connection") == "close") {
      close(fd);
      fd = -1;
    }
    const std::lock_guard<std::mutex> lock(*mutex);
    outcomes->push_back(outcome);
  }
  if (fd >= 0) {
    close(fd);
  }
}

int Run(const std::string& program, const std::string& case_folder) {
  Record record(case_folder + "/record.txt");
  const bool trouble = TroubleWanted();
  const std::string folder = TemporaryFolder();
  const std::string store_ip = CaseIp(0);
  Answered answered;
  Store store(store_ip);
  std::vector<std::unique_ptr<Runner>> runners;
  const auto entry = [&](int i) {
    return EntryJson(
        "llm",
        CaseIp(1 + i) + ":" +
            std::to_string(runners[static_cast<size_t>(i)]->port()),
        16, "ready", runners[static_cast<size_t>(i)]->born());
  };
  for (int i = 0; i < kRunners; ++i) {
    runners.push_back(std::make_unique<Runner>("i-" + std::to_string(i),
                                               CaseIp(1 + i), 0,
                                               UnixMs() - 60000, &answered));
  }
  RouteSpec route{"read", "/read/", "streaming", "llm"};
  store.Put("op/config", ConfigJson(5, {route}, {{"llm", 100, false}}));
  for (int i = 0; i < kRunners; ++i) {
    store.Put("servers/i-" + std::to_string(i), entry(i));
  }
  InstanceOptions options;
  options.program = program;
  options.folder = folder;
  options.ip = CaseIp(9);
  options.name = "front-1";
  options.front_port = FreePort(options.ip);
  options.ready_port = FreePort(options.ip);
  options.control_port = FreePort(options.ip);
  options.internal_port = 17340;
  options.seed_ip = options.ip;
  options.store = store_ip + ":" + std::to_string(store.port());
  Instance instance(options);
  instance.Start();
  if (!instance.AwaitReady(15)) {
    record.Line("the instance isn't ready");
    instance.Kill();
    RemoveFolder(folder);
    Exit(2);
  }
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { Ask(options, i, over, &mutex, &outcomes); });
  }
  SleepFor(5);
  if (trouble) {
    for (int i = 0; i < kCrashes; ++i) {
      std::unique_ptr<Runner>& crashed = runners[static_cast<size_t>(i)];
      const std::string id = "i-" + std::to_string(i);
      const int port = crashed->port();
      record.Line("runner " + id + " crashes");
      crashed->Kill();
      (void)crashed.release();  // Its threads may still end.
      SleepFor(kDown);
      crashed = std::make_unique<Runner>(id, CaseIp(1 + i), port, UnixMs(),
                                         &answered);
      record.Line("runner " + id + " is back under its id");
      SleepFor(kFirstHeartbeat);
      store.Put("servers/" + id, entry(i));
      record.Line("runner " + id + " writes its entry");
      SleepFor(kBetweenCrashes);
    }
  } else {
    SleepFor(kCrashes * (kDown + kFirstHeartbeat + kBetweenCrashes));
  }
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int complete = 0;
  int refused = 0;
  int cut = 0;
  int lost = 0;
  record.Line("each request; -1: no runner answered it whole");
  for (const Outcome& one : outcomes) {
    double run_whole_at = -1;
    {
      const std::lock_guard<std::mutex> lock(answered.mutex);
      const auto at = answered.at.find(one.id);
      run_whole_at = at == answered.at.end() ? -1 : at->second;
    }
    const bool is_whole = run_whole_at >= 0;
    const bool is_lost = !one.complete && one.kept && is_whole;
    lost += is_lost ? 1 : 0;
    ++(!one.complete ? cut : one.status == 200 ? complete : refused);
    char line[200];
    std::snprintf(line, sizeof line,
                  "%s sent %.3f on a %s connection; runner whole at %.3f; "
                  "status %d, %d of %d events, %s at %.3f%s",
                  one.id.c_str(), one.sent_at, one.kept ? "kept" : "new",
                  run_whole_at, one.status, one.events, kEvents,
                  one.complete ? "ended" : "closed without an end", one.at,
                  is_lost ? " LOST" : "");
    record.Line(line);
  }
  record.Line("requests " + std::to_string(outcomes.size()) + ", complete " +
              std::to_string(complete) + ", refused " +
              std::to_string(refused) + ", cut " + std::to_string(cut));
  record.Line("kept connections closed though the runner's answer was whole: " +
              std::to_string(lost));
  instance.Kill();
  RemoveFolder(folder);
  Exit(lost > kAllowed ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
