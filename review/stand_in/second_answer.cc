// Case 2: a runner sends a few of its answers a second time, late, with wrong
// bytes in the head. Such bytes belong to no request: a booking that waits on
// the connection must not be taken for one that has not run.

#include <algorithm>
#include <random>

#include "stand_in.h"

namespace review {
namespace {

constexpr int kRunners = 3;        // one of them is faulty: 0.33
constexpr int kDoubledOf = 34;     // one answer in so many of the faulty runner
constexpr size_t kWrongBytes = 4;  // one after the other, in the copy's head
constexpr int kSlots = 6;
constexpr int kQueue = 4;
constexpr int kClients = 5;  // of each machine
constexpr double kPlayedS = 60;
constexpr double kMinWorkS = 0.015;
constexpr double kMaxWorkS = 0.06;

std::string Config() {
  return "{\"version\":1,\"routes\":[{\"name\":\"crew-book\","
         "\"host\":\"mill.example\",\"prefix\":\"/book/\","
         "\"service\":\"yard-app\",\"kind\":\"unsafe\",\"timeout_ms\":600,"
         "\"target_latency_ms\":100,\"max_attempts\":2,\"priority\":2}],"
         "\"services\":[{\"name\":\"yard-app\",\"max_conns\":51}],"
         "\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[\"key-a\"]}]}";
}

// One runner: it works on `kSlots` requests at once, lets a few more wait and
// refuses the others.
struct Runner {
  std::mutex mutex;
  std::condition_variable freed;
  int working = 0;
  int waiting = 0;
  int answers = 0;
  std::mt19937 random{1};
  // The second answer that is due on a connection.
  std::map<const Connection*, std::string> due;
};

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  Store store(net + "200");
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> ran;  // by request
  std::map<std::string, int> statuses;
  std::atomic<int> refused{0};
  std::atomic<int> doubled{0};
  std::atomic<int> doubled_refusals{0};
  const char* zones[] = {"couva", "penal", "siparia"};
  std::vector<std::unique_ptr<Runner>> states;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kRunners; ++i) {
    const std::string id = "yard-" + std::to_string(i);
    const bool faulty = Trouble() && i == 0;
    states.push_back(std::make_unique<Runner>());
    Runner* const runner = states.back().get();
    const auto serve = [&, id, faulty, runner](const Message& request,
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
      std::string late;
      bool is_full = false;
      double work = 0;
      {
        std::lock_guard<std::mutex> lock(runner->mutex);
        late.swap(runner->due[&connection]);
        is_full = runner->working + runner->waiting >= kSlots + kQueue;
        runner->waiting += is_full ? 0 : 1;
        work = std::uniform_real_distribution<>(kMinWorkS,
                                                kMaxWorkS)(runner->random);
      }
      if (!late.empty()) {
        std::string head = late.substr(0, late.find("\r\n\r\n"));
        std::replace(head.begin(), head.end(), '\r', ' ');
        std::replace(head.begin(), head.end(), '\n', '|');
        record.Line(
            "runner %s: a spoilt second answer comes when %s is due: %s",
            id.c_str(), request_id.c_str(), head.c_str());
        connection.Write(late);
      }
      std::string answer = Response(
          503, {"X-Attempt-Id: " + request_id, "X-Not-Executed: 1"}, "");
      if (is_full) {
        ++refused;
      } else {
        {
          std::unique_lock<std::mutex> lock(runner->mutex);
          runner->freed.wait(lock, [&] { return runner->working < kSlots; });
          --runner->waiting;
          ++runner->working;
        }
        {
          std::lock_guard<std::mutex> lock(mutex);
          ran[request_id].push_back(id);
        }
        record.Line("runner %s runs %s", id.c_str(), request_id.c_str());
        SleepFor(work);
        {
          std::lock_guard<std::mutex> lock(runner->mutex);
          --runner->working;
        }
        runner->freed.notify_one();
        answer = Response(
            200, {"X-Attempt-Id: " + request_id, "X-Response-Seal: s." + id},
            "booked");
      }
      if (faulty) {
        std::lock_guard<std::mutex> lock(runner->mutex);
        if (++runner->answers % kDoubledOf == 0) {
          std::string copy = answer;
          copy.replace(
              std::uniform_int_distribution<size_t>(
                  0, copy.find("\r\n\r\n") - kWrongBytes)(runner->random),
              kWrongBytes, kWrongBytes, 'x');
          runner->due[&connection] = copy;
          ++doubled;
          doubled_refusals += is_full ? 1 : 0;
        }
      }
      return connection.Write(answer);
    };
    servers.push_back(
        std::make_unique<Server>(net + std::to_string(100 + i), serve));
    store.Put("servers/" + id,
              RunnerEntry("yard-app", servers.back()->address(), zones[i],
                          kSlots, "ready", 1700000000000));
  }
  store.Put("op/config", Config());
  Fleet fleet(Fleet::Options(), net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < fleet.size() * kClients; ++n) {
    clients.emplace_back([&, n] {
      const int machine = n % fleet.size();
      std::unique_ptr<Connection> connection;
      for (int i = 0; !stop; ++i, SleepFor(0.02)) {
        if (!connection) {
          connection = Connection::To(fleet.front(machine));
          if (!connection) {
            continue;
          }
        }
        const std::string id =
            "c" + std::to_string(n) + "-" + std::to_string(i);
        connection->Write(
            "POST /book/crew HTTP/1.1\r\nHost: mill.example\r\n"
            "X-Attempt-Id: " +
            id +
            "\r\nX-Deadline-Ms: 600\r\nAuthorization: Token key-a\r\n"
            "Content-Length: 4\r\n\r\ncrew");
        const Message answer = connection->Read(true, Now() + 1.5);
        served += answer.complete && answer.Status() == 200 ? 1 : 0;
        record.Line("client: %s %d%s", id.c_str(), answer.Status(),
                    answer.complete ? "" : ", incomplete");
        if (answer.complete) {
          std::lock_guard<std::mutex> lock(mutex);
          statuses[id] = answer.Status();
        }
        if (!answer.complete || answer.Header("Connection") == "close") {
          connection.reset();
        }
      }
    });
  }
  SleepFor(kPlayedS);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepFor(1);
  std::lock_guard<std::mutex> lock(mutex);
  int twice = 0;
  int false_promises = 0;
  for (const auto& [id, where] : ran) {
    const int status = statuses[id];
    if (where.size() > 1) {
      ++twice;
      record.Line("%s ran %zu times, at %s and %s; its client got %d",
                  id.c_str(), where.size(), where[0].c_str(), where[1].c_str(),
                  status);
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++false_promises;
      record.Line("%s ran; its client got %d", id.c_str(), status);
    }
  }
  record.Line(
      "served %d, refused by runners %d, answers sent twice %d, %d of "
      "them refusals",
      served.load(), refused.load(), doubled.load(), doubled_refusals.load());
  record.Line("TWICE: %d bookings ran more than once", twice);
  record.Line("REFUSED: %d bookings ran and were answered 503", false_promises);
  if (served < 1000 || (Trouble() && doubled_refusals == 0)) {
    return 2;
  }
  return twice > 0 || false_promises > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
