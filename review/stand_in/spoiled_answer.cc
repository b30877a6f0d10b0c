// Case 5: a runner hands out wrong bytes in the head of a few answers. A
// client must not get a success without the runner's X-Response-Seal.

#include <algorithm>
#include <random>

#include "stand_in.h"

namespace review {
namespace {

constexpr int kRunners = 3;        // one of them is faulty: 0.33
constexpr double kSpoiled = 0.03;  // of its answers
constexpr size_t kWrongBytes = 4;  // one after the other, in its head
constexpr int kClients = 5;        // of each machine
constexpr double kPlayedS = 40;
constexpr double kWorkS = 0.015;
constexpr size_t kBody = 800;

std::string Config() {
  const auto route = [](const char* name, const char* prefix,
                        const char* kind) {
    return "{\"name\":\"" + std::string(name) +
           "\",\"host\":\"mill.example\",\"prefix\":\"" + prefix +
           "\",\"service\":\"yard-app\",\"kind\":\"" + kind +
           "\",\"timeout_ms\":600,\"target_latency_ms\":100,"
           "\"max_attempts\":2,\"priority\":2}";
  };
  return "{\"version\":1,\"routes\":[" +
         route("crew-book", "/book/", "unsafe") + "," +
         route("stock-look", "/look/", "safe") +
         "],\"services\":[{\"name\":\"yard-app\",\"max_conns\":51}],"
         "\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[\"key-a\"]}]}";
}

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  Store store(net + "200");
  std::mutex mutex;
  std::mt19937 random(1);
  std::map<std::string, std::string> spoiled;  // the head as it was sent
  std::atomic<int> ran{0};
  const char* zones[] = {"couva", "penal", "siparia"};
  std::vector<std::unique_ptr<Server>> runners;
  for (int i = 0; i < kRunners; ++i) {
    const std::string id = "yard-" + std::to_string(i);
    const bool faulty = Trouble() && i == 0;
    const auto serve = [&, id, faulty](const Message& request,
                                       Connection& connection) {
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
      ++ran;
      SleepFor(kWorkS);
      std::string answer = Response(
          200, {"X-Attempt-Id: " + request_id, "X-Response-Seal: s." + id},
          std::string(kBody, 'b'));
      std::lock_guard<std::mutex> lock(mutex);
      if (faulty && std::uniform_real_distribution<>(0, 1)(random) < kSpoiled) {
        const size_t at = std::uniform_int_distribution<size_t>(
            0, answer.find("\r\n\r\n") - kWrongBytes)(random);
        answer.replace(at, kWrongBytes, kWrongBytes, 'x');
        spoiled[request_id] = answer.substr(0, answer.find("\r\n\r\n"));
        record.Line("runner %s spoils bytes %zu to %zu of its answer to %s",
                    id.c_str(), at, at + kWrongBytes - 1, request_id.c_str());
      }
      return connection.Write(answer);
    };
    runners.push_back(
        std::make_unique<Server>(net + std::to_string(100 + i), serve));
    store.Put("servers/" + id,
              RunnerEntry("yard-app", runners.back()->address(), zones[i], 6,
                          "ready", 1700000000000));
  }
  store.Put("op/config", Config());
  Fleet fleet(Fleet::Options(), net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> unsealed{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < fleet.size() * kClients; ++n) {
    clients.emplace_back([&, n] {
      const int machine = n % fleet.size();
      std::unique_ptr<Connection> connection;
      for (int i = 0; !stop; ++i) {
        if (!connection) {
          connection = Connection::To(fleet.front(machine));
          if (!connection) {
            SleepFor(0.1);
            continue;
          }
        }
        const bool books = i % 2 == 0;
        const std::string id =
            "c" + std::to_string(n) + "-" + std::to_string(i);
        const double at = Now();
        connection->Write((books ? "POST /book/crew" : "GET /look/burr") +
                          std::string(" HTTP/1.1\r\nHost: mill.example\r\n"
                                      "X-Attempt-Id: ") +
                          id +
                          "\r\nX-Deadline-Ms: 600\r\n"
                          "Authorization: Token key-a\r\n" +
                          (books ? "Content-Length: 4\r\n\r\ncrew" : "\r\n"));
        const Message answer = connection->Read(true, at + 1.5);
        const bool success = answer.complete && answer.Status() / 100 == 2;
        served += success ? 1 : 0;
        if (success && answer.Header("X-Response-Seal").empty()) {
          ++unsealed;
          std::string head = answer.start;
          for (const auto& [name, value] : answer.headers) {
            head += " | " + name + ": " + value;
          }
          record.Line("client got a success without X-Response-Seal, %s %s: %s",
                      books ? "booking" : "lookup", id.c_str(), head.c_str());
        } else if (!success) {
          record.Line("client: %s %s: %d%s", books ? "booking" : "lookup",
                      id.c_str(), answer.Status(),
                      answer.complete ? "" : ", incomplete");
        }
        if (!answer.complete || answer.Header("Connection") == "close") {
          connection.reset();
        }
        SleepUntil(at + 0.2);
      }
    });
  }
  SleepFor(kPlayedS);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::lock_guard<std::mutex> lock(mutex);
  record.Line("ran %d, served %d, answers spoiled %zu", ran.load(),
              served.load(), spoiled.size());
  record.Line("MIXED: %d successes without X-Response-Seal", unsealed.load());
  if (served < 1000 || (Trouble() && spoiled.size() < 10)) {
    return 2;
  }
  return unsealed > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
