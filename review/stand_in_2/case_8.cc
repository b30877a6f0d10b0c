#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_in.h"

// A key is taken away. Then the store has a drill, and comes back from a copy
// that still has the key; one instance is killed meanwhile and starts again.
// The operator writes the config again two seconds after the store's return.
// The other instances know all the while that the key is gone.

namespace review {
namespace {

// The site has eight; one of them is within its largest dose of node_kill,
// 0.16.
constexpr int kInstances = 8;
constexpr double kRevoke = 5.0;  // revoke_ms of the settings.
// After the acknowledgement of the config without the key:
constexpr double kCopyAge = 2.0;  // The copy is that much older than it.
constexpr double kAway = 3.0;
constexpr double kRestart = 3.5;
constexpr double kReturn = 4.0;
constexpr double kWrittenAgain = 6.0;
constexpr double kEnd = 9.0;
constexpr double kAskInterval = 0.05;

struct Runs {
  std::mutex mutex;
  std::map<std::string, int> count;
};

struct Asked {
  std::string id;
  double at = 0;  // After the acknowledgement.
  int status = 0;
};

int Ask(const InstanceOptions& to, const std::string& id, const char* key) {
  const int fd = Connect(to.ip, to.front_port);
  if (fd < 0) {
    return 0;
  }
  SendAll(fd, "POST /book/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
                  id + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token " +
                  key + "\r\nContent-Length: " + std::to_string(id.size()) +
                  "\r\n\r\n" + id);
  const Message answer = Reader(fd).Read(false, 2);
  close(fd);
  return answer.status();
}

int Run(const std::string& program, const std::string& case_folder) {
  Record record(case_folder + "/record.txt");
  const bool trouble = TroubleWanted();
  const std::string folder = TemporaryFolder();
  const std::string store_ip = CaseIp(0);
  Runs runs;
  Store store(store_ip);
  Server runner(CaseIp(1), 0, [&runs](int fd, const Message& request) {
    {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      ++runs.count[request.Header("x-attempt-id")];
    }
    return SendAll(fd, RunnerAnswer(request, 200, "", "booked"));
  });
  const std::vector<RouteSpec> routes = {{"book", "/book/", "unsafe", "desk"}};
  const std::vector<ServiceSpec> services = {{"desk", 100, false}};
  store.Put("op/config", ConfigJson(5, routes, services, {"key-a", "key-b"}));
  store.Put("servers/i-1",
            EntryJson("desk", CaseIp(1) + ":" + std::to_string(runner.port()),
                      16, "ready", UnixMs()));
  std::vector<std::unique_ptr<Instance>> instances;
  InstanceOptions options;
  options.program = program;
  options.folder = folder;
  options.front_port = FreePort(CaseIp(2));
  options.ready_port = FreePort(CaseIp(2));
  options.control_port = FreePort(CaseIp(2));
  options.internal_port = 17340;
  options.seed_ip = CaseIp(2);
  options.store = store_ip + ":" + std::to_string(store.port());
  for (int i = 0; i < kInstances; ++i) {
    options.ip = CaseIp(2 + i);
    options.name = "front-" + std::to_string(i + 1);
    instances.push_back(std::make_unique<Instance>(options));
    instances.back()->Start();
  }
  for (const auto& instance : instances) {
    if (!instance->AwaitReady(15)) {
      record.Line("an instance isn't ready");
      for (const auto& one : instances) {
        one->Kill();
      }
      RemoveFolder(folder);
      Exit(2);
    }
  }
  SleepFor(4);
  store.TakeCopy();
  SleepFor(kCopyAge);
  store.Put("op/config", ConfigJson(9, routes, services, {"key-a"}));
  const double revoked = Now();
  record.Line("version 9, without key-b, is acknowledged");
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<Asked> asked;
  std::vector<std::thread> clients;
  for (int i = 0; i < kInstances; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !over; ++n) {
        Asked one;
        one.id = "front-" + std::to_string(i + 1) + "-" + std::to_string(n);
        one.at = Now() - revoked;
        one.status =
            Ask(instances[static_cast<size_t>(i)]->options(), one.id, "key-b");
        {
          const std::lock_guard<std::mutex> lock(mutex);
          asked.push_back(one);
        }
        SleepFor(kAskInterval);
      }
    });
  }
  const auto until = [&](double after) { SleepFor(revoked + after - Now()); };
  // KILL=0 leaves the kill out.
  const char* kill_wanted = std::getenv("KILL");
  const bool kills = kill_wanted == nullptr || std::string(kill_wanted) != "0";
  if (trouble) {
    until(kAway);
    store.GoAway();
    record.Line("the store is away");
    if (kills) {
      instances.back()->Kill();
      record.Line(options.name + " is killed");
      until(kRestart);
      instances.back()->Restart();
      record.Line(options.name + " starts again");
    }
    until(kReturn);
    store.ReturnFromCopy();
    record.Line("the store is back, from a copy with version 5");
    until(kWrittenAgain);
    store.Put("op/config", ConfigJson(9, routes, services, {"key-a"}));
    record.Line("version 9 is written again");
  }
  until(kEnd);
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int late = 0;
  int broken = 0;
  for (const Asked& one : asked) {
    const std::lock_guard<std::mutex> lock(runs.mutex);
    const bool ran = runs.count.count(one.id) > 0;
    const bool is_late = one.at > kRevoke;
    late += is_late ? 1 : 0;
    broken += is_late && ran ? 1 : 0;
    record.Line(one.id + " sent " + std::to_string(one.at) +
                " s after the acknowledgement, with key-b: answered " +
                std::to_string(one.status) + (ran ? ", run" : ", not run") +
                (is_late && ran ? ", TOO LATE" : ""));
  }
  record.Line("requests with key-b sent over 5 s after the acknowledgement: " +
              std::to_string(late) + ", run: " + std::to_string(broken));
  for (const auto& one : instances) {
    one->Kill();
  }
  RemoveFolder(folder);
  Exit(broken > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
