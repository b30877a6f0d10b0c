// Case 1: the operator takes away every API key, one after the other. After
// `revoke_ms` no request with one of them may run.

#include "stand_in.h"

namespace review {
namespace {

constexpr double kRevokeS = 5;   // revoke_ms
constexpr double kSettleS = 2;   // before the first key is taken away
constexpr double kGapS = 1.5;    // between the two
constexpr double kWatchedS = 6;  // after the last bound
constexpr double kTimeLimitS = 0.6;
constexpr const char* kKeys[] = {"key-of-mill-a", "key-of-mill-b",
                                 "key-no-config-held"};
constexpr int kTenantKeys = 2;

std::string Config(int version, bool a, bool b) {
  const auto keys = [](bool held, const char* key) {
    return held ? "\"" + std::string(key) + "\"" : std::string();
  };
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"crew-book\",\"host\":\"mill.example\","
         "\"prefix\":\"/book/\",\"service\":\"yard-app\",\"kind\":\"unsafe\","
         "\"timeout_ms\":600,\"target_latency_ms\":100,\"max_attempts\":2,"
         "\"priority\":2}],\"services\":[{\"name\":\"yard-app\","
         "\"max_conns\":51}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"mill-a\","
         "\"priority\":1,\"api_keys\":[" +
         keys(a, kKeys[0]) +
         "]},{\"name\":\"mill-b\",\"priority\":1,\"api_keys\":[" +
         keys(b, kKeys[1]) + "]}]}";
}

struct Sent {
  int key = 0;
  double at = 0;
};

int Run(const std::string& path) {
  Record record(path);
  const std::string net = LoopbackNet();
  Store store(net + "200");
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  // What ran, by request, and the tenant that the runner was told.
  std::vector<std::pair<std::string, std::string>> ran;
  std::vector<std::unique_ptr<Server>> runners;
  const char* zones[] = {"couva", "penal", "siparia"};
  for (int i = 0; i < 3; ++i) {
    const std::string id = "yard-" + std::to_string(i);
    runners.push_back(std::make_unique<Server>(
        net + std::to_string(100 + i),
        [&, id](const Message& request, Connection& connection) {
          const std::string request_id = request.Header("X-Attempt-Id");
          const std::string expected = request.Header("X-Expect-Instance");
          if (!expected.empty() && expected != id) {
            return connection.Write(Response(421, {"At-Server: " + id}, ""));
          }
          const std::string tenant = request.Header("X-Tenant");
          {
            std::lock_guard<std::mutex> lock(mutex);
            ran.emplace_back(request_id, tenant);
          }
          record.Line("runner %s runs %s, X-Tenant '%s'", id.c_str(),
                      request_id.c_str(), tenant.c_str());
          SleepFor(0.015);
          return connection.Write(Response(
              200, {"X-Attempt-Id: " + request_id, "X-Response-Seal: s." + id},
              "booked"));
        }));
    store.Put("servers/" + id,
              RunnerEntry("yard-app", runners.back()->address(), zones[i], 6,
                          "ready", 1700000000000 + i));
  }
  store.Put("op/config", Config(1, true, true));
  Fleet fleet(Fleet::Options(), net, store.address(), &record);
  if (!fleet.AwaitReady(30)) {
    record.Line("the machines aren't ready");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int machine = 0; machine < fleet.size(); ++machine) {
    clients.emplace_back([&, machine] {
      std::unique_ptr<Connection> connection;
      for (int n = 0; !stop; ++n) {
        const int key = n % 3;
        const std::string id =
            "m" + std::to_string(machine) + "-" + std::to_string(n);
        if (!connection) {
          connection = Connection::To(fleet.front(machine));
          if (!connection) {
            record.Line("%s not connected", id.c_str());
            SleepFor(0.1);
            continue;
          }
        }
        const double at = Now();
        {
          std::lock_guard<std::mutex> lock(mutex);
          sent[id] = {key, at};
        }
        record.Line("client sends %s to %s with %s", id.c_str(),
                    fleet.front(machine).c_str(), kKeys[key]);
        connection->Write(
            "POST /book/crew HTTP/1.1\r\nHost: mill.example\r\n"
            "X-Attempt-Id: " +
            id + "\r\nX-Deadline-Ms: 600\r\n" + "Authorization: Token " +
            kKeys[key] + "\r\nContent-Length: 4\r\n\r\ncrew");
        const Message answer = connection->Read(true, at + kTimeLimitS + 0.5);
        record.Line("answer to %s: %d%s", id.c_str(), answer.Status(),
                    answer.complete ? "" : ", incomplete");
        if (!answer.complete || answer.Header("Connection") == "close") {
          connection.reset();
        }
        SleepUntil(at + 0.1);
      }
    });
  }
  SleepFor(kSettleS);
  // When each key's removal was acknowledged.
  double gone[kTenantKeys] = {1e9, 1e9};
  if (Trouble()) {
    gone[0] = store.Put("op/config", Config(4, false, true));
    record.Line("operator: version 4 without %s acknowledged", kKeys[0]);
  }
  SleepFor(kGapS);
  if (Trouble()) {
    gone[1] = store.Put("op/config", Config(9, false, false));
    record.Line("operator: version 9 without %s acknowledged", kKeys[1]);
  }
  SleepFor(kRevokeS + kWatchedS);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::lock_guard<std::mutex> lock(mutex);
  int legal = 0;
  int revoked = 0;
  int never_held = 0;
  for (const auto& [id, tenant] : ran) {
    const Sent& request = sent[id];
    if (request.key >= kTenantKeys) {
      ++never_held;
    } else if (request.at > gone[request.key] + kRevokeS) {
      ++revoked;
    } else {
      ++legal;
    }
  }
  record.Line("sent %zu, ran %zu: %d as allowed", sent.size(), ran.size(),
              legal);
  record.Line("CONFIG: %d ran with a key that was taken away over 5 s before",
              revoked);
  record.Line("ROUTE: %d ran with a key that no config ever held", never_held);
  if (legal < 20) {
    return 2;
  }
  return revoked > 0 || never_held > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
