// Case 5: a runner of an evacuated zone says in its answers that it leaves,
// while the store is down. When the zone is taken back it must get nothing.

#include <algorithm>

#include "stand_in.h"

namespace review {
namespace {

constexpr double kDrainS = 2;         // drain_ms
constexpr double kHeartbeatS = 1.2;   // heartbeat_ms
constexpr double kDownS = 4;          // how long the store is down
constexpr double kLeavingLag = 0.15;  // between the evacuation and the leaving
constexpr double kFirstEventS = 1.4;
constexpr double kGapS = 0.1;
constexpr int kEvents = 23;
constexpr double kLingerS = 0.5;
constexpr int kRunners = 6;
constexpr int kClients = 11;  // of each machine
// Requests that the leaver has in hand unanswered when the zone is closed: with
// this traffic it has five to six on average.
constexpr int kInHand = 5;
constexpr const char* kLeaver = "llm-0";

std::string Config() {
  return "{\"version\":1,\"routes\":[{\"name\":\"logbook-review\","
         "\"host\":\"mill.example\",\"prefix\":\"/review/\","
         "\"service\":\"umber-llm\",\"kind\":\"streaming\",\"sticky\":true,"
         "\"timeout_ms\":10000,\"target_latency_ms\":1500,"
         "\"gap_aim_ms\":600,\"max_attempts\":2,\"priority\":1}],"
         "\"services\":[{\"name\":\"umber-llm\",\"max_conns\":344,"
         "\"cold_per_s\":36,\"engine\":{\"slots\":16,\"kv_tokens\":405000,"
         "\"step_ms\":1.31,\"per_seq_ms\":0.000917,"
         "\"context_per_k\":0.00213,\"read_per_s\":154000,"
         "\"pairs_per_m\":0.162,\"chunk\":2048,\"stride\":34,"
         "\"usual\":{\"prompt\":20000,\"answer\":780}}}],"
         "\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[\"key-a\"]}]}";
}

struct Attempt {
  int machine = 0;
  double sent_at = 0;
  bool at_leaver = false;
  bool cut = false;
};

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  Store store(net + "200");
  std::mutex mutex;
  std::map<std::string, Attempt> attempts;
  // When each machine passed on the first answer that said so.
  std::vector<double> told(8, 1e9);
  const char* zones[] = {"couva", "penal", "siparia"};
  std::atomic<bool> stop{false};
  std::atomic<bool> leaving{false};
  std::atomic<int> in_hand{0};
  std::vector<std::unique_ptr<Server>> runners;
  for (int i = 0; i < kRunners; ++i) {
    const std::string id = "llm-" + std::to_string(i);
    const auto serve = [&, id](const Message& request, Connection& connection) {
      const std::string request_id = request.Header("X-Attempt-Id");
      const std::string expected = request.Header("X-Expect-Instance");
      // A runner that leaves says so in all its answers.
      const auto word = [&] {
        return id == kLeaver && leaving ? "\r\nServer-Leaving: 1" : "";
      };
      if (!expected.empty() && expected != id) {
        return connection.Write(Response(421, {"At-Server: " + id}, ""));
      }
      if (request.Target() == "/report") {
        return connection.Write(Response(
            200, {"Content-Type: application/json" + std::string(word())},
            "{\"stage\":\"both\",\"busy\":false,\"sequence\":1,\"queued\":0,"
            "\"running\":1,\"kv_used\":0,\"kv_total\":405000,\"handles\":0,"
            "\"born\":1700000000000}"));
      }
      if (request.Target() == "/order") {
        return connection.Write(Response(
            200, {"Content-Type: application/json" + std::string(word())},
            "{\"free\":300000}"));
      }
      {
        std::lock_guard<std::mutex> lock(mutex);
        Attempt& attempt = attempts[request_id];
        attempt.at_leaver = attempt.at_leaver || id == kLeaver;
      }
      record.Line("runner %s runs %s%s", id.c_str(), request_id.c_str(),
                  *word() != 0 ? " though it leaves" : "");
      in_hand += id == kLeaver ? 1 : 0;
      SleepFor(kFirstEventS);
      in_hand -= id == kLeaver ? 1 : 0;
      if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id +
                            "\r\nX-Response-Seal: s." + id + word() +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
      }
      for (int event = 1; event <= kEvents && !stop; ++event) {
        if (event > 1) {
          SleepFor(kGapS);
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
  }
  const auto entry = [&](int i, const char* state) {
    return RunnerEntry("umber-llm", runners[static_cast<size_t>(i)]->address(),
                       zones[i % 3], 16, state, 1700000000000);
  };
  for (int i = 0; i < kRunners; ++i) {
    store.Put("servers/llm-" + std::to_string(i), entry(i, "ready"));
  }
  store.Put("op/config", Config());
  Fleet fleet(Fleet::Options(), net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < fleet.size() * kClients; ++n) {
    clients.emplace_back([&, n] {
      const int machine = n % fleet.size();
      SleepFor(0.07 * n);
      for (int i = 0; !stop; ++i, SleepFor(0.1)) {
        const auto connection = Connection::To(fleet.front(machine));
        if (!connection) {
          continue;
        }
        const std::string id =
            "c" + std::to_string(n) + "-" + std::to_string(i);
        const double sent_at = Now();
        {
          std::lock_guard<std::mutex> lock(mutex);
          attempts[id].machine = machine;
          attempts[id].sent_at = sent_at;
        }
        connection->Write(
            "POST /review/r HTTP/1.1\r\nHost: mill.example\r\n"
            "X-Attempt-Id: " +
            id +
            "\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\n"
            "X-Token-Counts: 20040,780\r\nX-Prompt-Prefix: 5c1e07a2:40," +
            std::to_string(10000 + n) +
            ":20000\r\nAuthorization: Token key-a\r\n"
            "Content-Length: 6\r\n\r\nprompt");
        const Message head = connection->ReadHead(sent_at + 10);
        const bool says = head.Header("Server-Leaving") == "1";
        record.Line("client of machine %d: %s %d%s", machine, id.c_str(),
                    head.Status(), says ? ", Server-Leaving: 1" : "");
        if (says) {
          std::lock_guard<std::mutex> lock(mutex);
          double& at = told[static_cast<size_t>(machine)];
          at = std::min(at, Now());
        }
        const Message answer = connection->ReadBody(head, sent_at + 10);
        if (answer.complete && head.Status() == 200) {
          ++served;
        } else if (head.Status() == 200) {
          record.Line("client of machine %d: %s is cut", machine, id.c_str());
          std::lock_guard<std::mutex> lock(mutex);
          attempts[id].cut = true;
        }
      }
    });
  }
  SleepFor(12);
  for (const double until = Now() + 5; in_hand < kInHand && Now() < until;) {
    SleepFor(0.01);
  }
  if (Trouble()) {
    store.Put("op/evacuate/couva", "{}");
    record.Line("operator: couva is to be emptied, acknowledged");
    SleepFor(kLeavingLag);
    leaving = true;
    record.Line("runner %s begins to leave; the store is down", kLeaver);
    store.SetDown(true);
    SleepFor(kDownS);
    store.SetDown(false);
    record.Line("the store is back");
    store.Delete("op/evacuate/couva");
    record.Line("operator: couva is taken back, acknowledged");
    // The runner's next ping.
    SleepFor(kHeartbeatS);
    store.Put(std::string("servers/") + kLeaver, entry(0, "draining"));
    record.Line("runner %s reports draining, acknowledged", kLeaver);
    SleepFor(kDrainS + kLingerS);
    runners[0]->Stop();
    store.Delete(std::string("servers/") + kLeaver);
    record.Line("runner %s exits", kLeaver);
  } else {
    SleepFor(kLeavingLag + kDownS + kHeartbeatS + kDrainS + kLingerS);
  }
  SleepFor(6);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::lock_guard<std::mutex> lock(mutex);
  int late = 0;
  int lost = 0;
  for (const auto& [id, attempt] : attempts) {
    const double at = told[static_cast<size_t>(attempt.machine)];
    if (!attempt.at_leaver || attempt.sent_at <= at + kDrainS) {
      continue;
    }
    ++late;
    lost += attempt.cut ? 1 : 0;
    record.Line(
        "%s, sent %.3f s after machine %d had passed on that %s "
        "leaves, reached it%s",
        id.c_str(), attempt.sent_at - at, attempt.machine, kLeaver,
        attempt.cut ? " and was cut" : "");
  }
  const auto machines_told = std::count_if(told.begin(), told.end(),
                                           [](double at) { return at < 1e8; });
  record.Line("served %d, machines that passed on such an answer: %d",
              served.load(), static_cast<int>(machines_told));
  record.Line("DRAIN: %d reached the leaving runner too late, %d of them cut",
              late, lost);
  if (served < 50 || (Trouble() && machines_told == 0)) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
