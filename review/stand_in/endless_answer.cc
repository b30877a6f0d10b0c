// Case 3: some runners now and then hand out bytes that are no answer, without
// end, in the body of a stream. Other callers' requests must not be lost by it.

#include <algorithm>

#include "stand_in.h"

namespace review {
namespace {

constexpr int kRunnersPerZone = 6;
constexpr int kFaultyPerZone = 2;  // 6 of 18 runners
constexpr int kSpoiledOf = 34;     // one answer in so many of a faulty runner
constexpr int kClients = 14;       // of each machine, half of each kind
constexpr double kPlayedS = 75;
// 60 MB/s: two such streams fit into a machine's link of 1,000 Mbit/s.
constexpr size_t kPiece = 600000;
constexpr double kPieceS = 0.01;
constexpr double kBorn = 1700000000000;

// The sheet's quick question and long review.
struct Kind {
  const char* path;
  const char* counts;
  int events;
  double first_s;
  double gap_s;
  double patience_s;  // 2 s, 4 x the objective or 8 x the pause
};
constexpr Kind kKinds[] = {{"/ask/q", "5000,1300", 38, 0.1, 0.045, 2},
                           {"/review/r", "45040,780", 23, 1.2, 0.05, 6}};

std::string Config() {
  const std::string engine =
      "{\"slots\":16,\"kv_tokens\":405000,\"step_ms\":1.31,"
      "\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,"
      "\"read_per_s\":154000,\"pairs_per_m\":0.162,\"chunk\":2048,"
      "\"stride\":34,\"usual\":{\"prompt\":18000,\"answer\":1200}}";
  const auto route = [](const char* name, const char* prefix, int aim,
                        int gap) {
    return "{\"name\":\"" + std::string(name) +
           "\",\"host\":\"mill.example\",\"prefix\":\"" + prefix +
           "\",\"service\":\"umber-llm\",\"kind\":\"streaming\","
           "\"resumable\":true,\"sticky\":true,\"timeout_ms\":10000,"
           "\"target_latency_ms\":" +
           std::to_string(aim) + ",\"gap_aim_ms\":" + std::to_string(gap) +
           ",\"max_attempts\":2,\"priority\":1}";
  };
  return "{\"version\":1,\"routes\":[" +
         route("furrow-ask", "/ask/", 300, 250) + "," +
         route("logbook-review", "/review/", 1500, 600) +
         "],\"services\":[{\"name\":\"umber-llm\",\"max_conns\":344,"
         "\"cold_per_s\":36,\"engine\":" +
         engine +
         "}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[\"key-a\"]}]}";
}

struct Attempt {
  int machine = 0;
  bool kept = false;
  bool ran = false;
  bool sound = true;  // passed on to runners, all of them sound
  bool spoiled = false;
};

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  Store store(net + "200");
  std::mutex mutex;
  std::map<std::string, Attempt> attempts;
  const char* zones[] = {"couva", "penal", "siparia"};
  std::atomic<bool> stop{false};
  std::atomic<int> spoiled{0};
  std::vector<std::unique_ptr<std::atomic<int>>> answers;
  std::vector<std::unique_ptr<Server>> runners;
  for (int i = 0; i < 3 * kRunnersPerZone; ++i) {
    const std::string id = "llm-" + std::to_string(i);
    const bool faulty = Trouble() && i / 3 < kFaultyPerZone;
    answers.push_back(std::make_unique<std::atomic<int>>(0));
    std::atomic<int>* const count = answers.back().get();
    const auto serve = [&, id, faulty, count](const Message& request,
                                              Connection& connection) {
      const std::string request_id = request.Header("X-Attempt-Id");
      const std::string expected = request.Header("X-Expect-Instance");
      const std::string target = request.Target();
      if (!expected.empty() && expected != id) {
        return connection.Write(Response(421, {"At-Server: " + id}, ""));
      }
      if (target == "/report") {
        return connection.Write(Response(
            200, {"Content-Type: application/json"},
            "{\"stage\":\"both\",\"busy\":false,\"sequence\":1,\"queued\":0,"
            "\"running\":1,\"kv_used\":0,\"kv_total\":405000,\"handles\":0,"
            "\"born\":1700000000000}"));
      }
      if (target == "/order") {
        return connection.Write(Response(
            200, {"Content-Type: application/json"}, "{\"free\":300000}"));
      }
      const Kind& kind = kKinds[target == kKinds[0].path ? 0 : 1];
      const bool spoils = faulty && ++*count % kSpoiledOf == 0;
      {
        std::lock_guard<std::mutex> lock(mutex);
        Attempt& attempt = attempts[request_id];
        attempt.sound = attempt.sound && !faulty;
        attempt.ran = true;
        attempt.spoiled = attempt.spoiled || spoils;
      }
      record.Line("runner %s runs %s%s", id.c_str(), request_id.c_str(),
                  spoils ? ", its answer is no answer and has no end" : "");
      SleepFor(kind.first_s);
      if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id +
                            "\r\nX-Response-Seal: s." + id +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
      }
      if (spoils) {
        ++spoiled;
        const std::string zeros(kPiece, '\0');
        double next = Now();
        while (!stop && connection.Write(zeros)) {
          next += kPieceS;
          SleepUntil(next);
        }
        record.Line("runner %s: the caller closed %s", id.c_str(),
                    request_id.c_str());
        return false;
      }
      const std::string last_text = request.Header("Last-Event-Id");
      const int last = last_text.empty() ? 0 : std::stoi(last_text);
      for (int event = last + 1; event <= kind.events; ++event) {
        if (event > last + 1) {
          SleepFor(kind.gap_s);
        }
        if (!connection.Write(Chunk("id: " + std::to_string(event) +
                                    "\ndata: some words of an answer\n\n"))) {
          return false;
        }
      }
      return connection.Write("0\r\n\r\n");
    };
    runners.push_back(
        std::make_unique<Server>(net + std::to_string(100 + i), serve));
    store.Put("servers/" + id,
              RunnerEntry("umber-llm", runners.back()->address(), zones[i % 3],
                          16, "ready", static_cast<int64_t>(kBorn)));
  }
  store.Put("op/config", Config());
  Fleet fleet(Fleet::Options(), net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::vector<int> unanswered(static_cast<size_t>(fleet.size()));
  std::vector<int> cut(static_cast<size_t>(fleet.size()));
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < fleet.size() * kClients; ++n) {
    clients.emplace_back([&, n] {
      const int machine = n % fleet.size();
      const Kind& kind = kKinds[n / fleet.size() % 2];
      std::unique_ptr<Connection> connection;
      int on_connection = 0;
      SleepFor(0.02 * n);
      for (int i = 0; !stop; ++i, SleepFor(0.2)) {
        if (!connection) {
          connection = Connection::To(fleet.front(machine));
          on_connection = 0;
          if (!connection) {
            continue;
          }
        }
        const std::string id =
            "c" + std::to_string(n) + "-" + std::to_string(i);
        {
          std::lock_guard<std::mutex> lock(mutex);
          attempts[id].machine = machine;
          attempts[id].kept = on_connection > 0;
        }
        connection->Write(
            "POST " + std::string(kind.path) +
            " HTTP/1.1\r\nHost: mill.example\r\nX-Attempt-Id: " + id +
            "\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\nX-Token-Counts: " +
            kind.counts + "\r\nX-Prompt-Prefix: 5c1e07a2:40," +
            std::to_string(10000 + n) +
            ":4960\r\nAuthorization: Token key-a\r\n"
            "Content-Length: 6\r\n\r\nprompt");
        // The client leaves after a gap as long as its patience.
        const double sent_at = Now();
        Message answer = connection->Read(true, sent_at + kind.patience_s + 4);
        const bool left = Now() > sent_at + kind.patience_s;
        record.Line("client of machine %d: %s %d%s", machine, id.c_str(),
                    answer.Status(),
                    answer.complete    ? ""
                    : answer.head_read ? ", cut within its answer"
                    : left             ? ", the client left"
                                       : ", closed without an answer");
        if (answer.complete) {
          ++served;
          ++on_connection;
          if (answer.Header("Connection") == "close") {
            connection.reset();
          }
          continue;
        }
        connection.reset();
        std::lock_guard<std::mutex> lock(mutex);
        const Attempt& attempt = attempts[id];
        if (stop || left || !attempt.kept || !attempt.ran || !attempt.sound ||
            attempt.spoiled) {
          continue;
        }
        ++(answer.head_read ? cut : unanswered)[static_cast<size_t>(machine)];
      }
    });
  }
  SleepFor(kPlayedS);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::vector<int> kills = fleet.memory_kills();
  int worst = 0;
  for (size_t i = 0; i < kills.size(); ++i) {
    record.Line(
        "machine %zu: over memory_mb %d times; of requests from kept "
        "connections at sound runners %d closed without an answer, %d "
        "cut within it",
        i, kills[i], unanswered[i], cut[i]);
    worst = std::max(worst, unanswered[i]);
  }
  record.Line("served %d, spoiled %d", served.load(), spoiled.load());
  record.Line("LOST: at one machine %d (more than 3 break the rule)", worst);
  if (served < 200 || (Trouble() && spoiled == 0)) {
    return 2;
  }
  return worst > 3 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
