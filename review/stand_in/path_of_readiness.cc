// Case 4: a machine is partitioned from all runners and passes its requests on
// to others. A client's request with the path /readiness must reach a runner.

#include <algorithm>

#include "stand_in.h"

namespace review {
namespace {

constexpr int kRunners = 3;
constexpr double kBeforeS = 4;
constexpr double kCutS = 8;
constexpr double kWorkS = 0.015;
constexpr const char* kPaths[] = {"/readiness", "/book/crew"};

std::string Config() {
  return "{\"version\":1,\"routes\":[{\"name\":\"crew-book\","
         "\"host\":\"mill.example\",\"prefix\":\"/\","
         "\"service\":\"yard-app\",\"kind\":\"unsafe\",\"timeout_ms\":600,"
         "\"target_latency_ms\":100,\"max_attempts\":2,\"priority\":2}],"
         "\"services\":[{\"name\":\"yard-app\",\"max_conns\":51}],"
         "\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[\"key-a\"]}]}";
}

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  // The first machine sees the same store, where the runners have the addresses
  // of proxies: the links between it and the runners.
  Store store(net + "200");
  Store first_store(net + "201");
  std::mutex mutex;
  std::set<std::string> ran;
  const char* zones[] = {"couva", "penal", "siparia"};
  std::vector<std::unique_ptr<Server>> runners;
  std::vector<std::unique_ptr<Proxy>> links;
  for (int i = 0; i < kRunners; ++i) {
    const std::string id = "yard-" + std::to_string(i);
    const auto serve = [&, id](const Message& request, Connection& connection) {
      const std::string request_id = request.Header("X-Attempt-Id");
      const std::string expected = request.Header("X-Expect-Instance");
      if (!expected.empty() && expected != id) {
        return connection.Write(Response(421, {"At-Server: " + id}, ""));
      }
      if (request.Target() == "/report") {
        return connection.Write(
            Response(200, {"Content-Type: application/json"},
                     "{\"busy\":false,\"sequence\":1,\"born\":1700000000000}"));
      }
      {
        std::lock_guard<std::mutex> lock(mutex);
        ran.insert(request_id);
      }
      record.Line("runner %s runs %s", id.c_str(), request_id.c_str());
      SleepFor(kWorkS);
      return connection.Write(Response(
          200, {"X-Attempt-Id: " + request_id, "X-Response-Seal: s." + id},
          "booked"));
    };
    runners.push_back(
        std::make_unique<Server>(net + std::to_string(100 + i), serve));
    links.push_back(std::make_unique<Proxy>(net + std::to_string(150 + i),
                                            runners.back()->address()));
    const auto entry = [&](const std::string& address) {
      return RunnerEntry("yard-app", address, zones[i], 6, "ready",
                         1700000000000);
    };
    store.Put("servers/" + id, entry(runners.back()->address()));
    first_store.Put("servers/" + id, entry(links.back()->address()));
  }
  store.Put("op/config", Config());
  first_store.Put("op/config", Config());
  Fleet::Options options;
  options.first_store_address = first_store.address();
  Fleet fleet(options, net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> unsealed{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 2 * fleet.size(); ++n) {
    clients.emplace_back([&, n] {
      const int machine = n % fleet.size();
      const char* const target = kPaths[n / fleet.size()];
      for (int i = 0; !stop; ++i) {
        const double at = Now();
        const auto connection = Connection::To(fleet.front(machine));
        if (connection) {
          const std::string id =
              "c" + std::to_string(n) + "-" + std::to_string(i);
          connection->Write("POST " + std::string(target) +
                            " HTTP/1.1\r\nHost: mill.example\r\n"
                            "X-Attempt-Id: " +
                            id +
                            "\r\nX-Deadline-Ms: 600\r\n"
                            "Authorization: Token key-a\r\n"
                            "Content-Length: 4\r\n\r\ncrew");
          const Message answer = connection->Read(true, at + 1.5);
          const std::string seal = answer.Header("X-Response-Seal");
          const bool success = answer.complete && answer.Status() / 100 == 2;
          served += success && !seal.empty() ? 1 : 0;
          unsealed += success && seal.empty() ? 1 : 0;
          record.Line(
              "client of machine %d: %s %s: %d, seal '%s'%s", machine, target,
              id.c_str(), answer.Status(), seal.c_str(),
              success && seal.empty() ? ", a success of no runner" : "");
        }
        SleepUntil(at + 0.2);
      }
    });
  }
  SleepFor(kBeforeS);
  if (Trouble()) {
    record.Line("machine 0 is partitioned from all runners");
    for (const auto& link : links) {
      link->Cut();
    }
  }
  SleepFor(kCutS);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("served %d", served.load());
  record.Line("MIXED: %d successes without X-Response-Seal", unsealed.load());
  if (served < 200) {
    return 2;
  }
  return unsealed > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
