#include "fleet.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <utility>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/server.h"
#include "umbertrail/manifest/keys.h"
#include "umbertrail/manifest/schema.h"
#include "umbertrail/manifest/split.h"
#include "umbertrail/peer/peer_links.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kPatience = absl::Seconds(60);
constexpr absl::Duration kStep = absl::Milliseconds(20);
constexpr char kDataCentre[] = "south";

// An address that was free a moment ago.
std::string FreeAddress() {
  Result<peer::Listener> listener = peer::Listener::Bind("127.0.0.1:0");
  REQUIRE(IsOk(listener));
  return std::get<peer::Listener>(listener).address();
}

manifest::Manifest TestManifest() {
  manifest::Manifest manifest;
  manifest.revision = ManifestRevision(1);
  manifest.regions = {RegionId("region")};
  manifest.data_centres = {
      {DataCentreId(kDataCentre), RegionId("region"), true}};
  manifest::Model model;
  model.id = ModelId("small");
  model.version = "1";
  model.context_limit = Tokens(1000000);
  manifest.models = {model};
  manifest.deployments = {{model.id, DataCentreId(kDataCentre), 2}};
  manifest::ClientAccount account;
  account.id = ClientAccountId("club");
  account.key_salt = "salt";
  account.key_hash = manifest::HashKey("salt", "secret");
  account.requests_per_second = 1000;
  account.tokens_in_flight = Tokens(10000000);
  account.models = {model.id};
  account.services = {ServiceId("desk")};
  manifest.accounts = {account};
  manifest.services = {{ServiceId("desk"), {{"file", false}}}};
  manifest::EngineClass engine_class;
  engine_class.name = "large";
  engine_class.checks_fencing = true;
  engine_class.memory = Tokens(500000);
  engine_class.cold_budget = Tokens(20000);
  manifest.engine_classes = {engine_class};
  return manifest;
}

Json EngineEntry(const std::string& id, const std::string& address) {
  return {{"id", id},
          {"kind", "engine"},
          {"address", address},
          {"data_centre", kDataCentre},
          {"engine_class", "large"},
          {"leaving", false}};
}

uint64_t Param(const httplib::Request& req, const char* name) {
  return req.has_param(name) ? std::stoull(req.get_param_value(name)) : 0;
}

}  // namespace

TestServer::~TestServer() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TestServer::Start() {
  standin::Configure(server_);
  const int port = server_.bind_to_any_port("127.0.0.1");
  address_ = absl::StrCat("127.0.0.1:", port);
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  while (!server_.is_running()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
}

// -- Targets

TestEngine::TestEngine(const std::string& name)
    : engine_([&] {
        standin::EngineServerSettings settings;
        settings.engine.name = name;
        return settings;
      }()) {
  engine_.Mount(http_.server());
  http_.Start();
}

TestEngine::~TestEngine() {
  engine_.Stop();
}

TestService::TestService() {
  http_.server().Post("/v1/call/file", [this](const httplib::Request& req,
                                              httplib::Response& res) {
    absl::MutexLock lock(&mutex_);
    ++runs_[req.body];
    res.set_content("filed " + req.body, "text/plain");
  });
  http_.server().Get(
      "/v1/report", [](const httplib::Request&, httplib::Response& res) {
        const Json report = {
            {"boot", "b1"}, {"state", "warm"}, {"age_ms", 0}, {"running", 0}};
        res.set_content(report.dump(), "application/json");
      });
  http_.Start();
}

int TestService::RunsOf(const std::string& body) {
  absl::MutexLock lock(&mutex_);
  return runs_[body];
}

// -- Platform

TestPlatform::TestPlatform() {
  http_.server().Get("/v1/watch", [this](const httplib::Request& req,
                                         httplib::Response& res) {
    standin::ConfigState::Query query;
    query.after = Param(req, "after");
    query.wait =
        absl::Milliseconds(static_cast<int64_t>(Param(req, "wait_ms")));
    query.instances = Param(req, "instances");
    query.targets = Param(req, "targets");
    const auto answer = state_.Watch(query);
    res.set_content(answer.value_or(Json::object()).dump(), "application/json");
  });
  http_.server().Get(
      R"(/v1/parts/([0-9a-f]+))",
      [this](const httplib::Request& req, httplib::Response& res) {
        const auto part = state_.Part(req.matches[1]);
        res.status = part.has_value() ? 200 : 404;
        res.set_content(part.value_or(""), "application/yaml");
      });
  http_.Start();
  stepper_ = std::thread([this] {
    while (!ending_) {
      state_.Advance(absl::Now());
      absl::SleepFor(kStep);
    }
  });
}

TestPlatform::~TestPlatform() {
  state_.Stop();
  ending_ = true;
  stepper_.join();
}

void TestPlatform::Publish(standin::PublishedState state) {
  state_.Publish(std::move(state), absl::Now());
}

// -- Fleet

Fleet::Fleet() {
  std::string path = "/tmp/umbertrail-fleet-XXXXXX";
  REQUIRE(mkdtemp(path.data()) != nullptr);
  directory_ = path;
  const std::string key_file = directory_ + "/peer.keys";
  std::ofstream(key_file) << "k1 " << std::string(64, 'a') << "\n";
  chmod(key_file.c_str(), S_IRUSR | S_IWUSR);
  ids_ = {FreeAddress(), FreeAddress()};
  platform_.Publish(State());
  for (const std::string& id : ids_) {
    const std::string yaml = absl::StrCat(
        "instance: {id: \"", id, "\", data_centre: ", kDataCentre,
        "}\nlisten: {callers: \"127.0.0.1:0\", admin: \"127.0.0.2:0\"}\n",
        "platform: {address: \"", platform_.address(),
        "\"}\npeer: {key_file: ", key_file, "}\nlog: {level: error}\n");
    auto settings = ParseSettings(yaml, "fleet");
    REQUIRE(std::holds_alternative<Settings>(settings));
    REQUIRE(CheckFiles(std::get<Settings>(settings), "fleet").empty());
    daemons_.push_back(
        std::make_unique<Daemon>(std::get<Settings>(std::move(settings))));
    REQUIRE(IsOk(daemons_.back()->Start()));
  }
}

Fleet::~Fleet() {
  daemons_.clear();
  unlink((directory_ + "/peer.keys").c_str());
  rmdir(directory_.c_str());
}

standin::PublishedState Fleet::State() const {
  const manifest::PublishedManifest published =
      manifest::SplitManifest(TestManifest());
  standin::PublishedState state;
  Json parts = Json::array();
  for (const manifest::PartRef& part : published.head.parts) {
    parts.push_back({{"name", part.name}, {"hash", part.hash}});
  }
  state.head = {{"revision", published.head.revision.value()},
                {"parts", parts}};
  for (const manifest::Part& part : published.parts) {
    state.parts[manifest::ContentHash(part.bytes)] = part.bytes;
  }
  for (const std::string& id : ids_) {
    state.instances.push_back(
        {{"id", id}, {"data_centre", kDataCentre}, {"leaving", false}});
  }
  state.targets = {EngineEntry("engine-0", first_engine_.address()),
                   EngineEntry("engine-1", second_engine_.address()),
                   {{"id", "desk-0"},
                    {"kind", "service"},
                    {"address", service_.address()},
                    {"data_centre", kDataCentre},
                    {"service", "desk"},
                    {"leaving", false}}};
  return state;
}

httplib::Client Fleet::Caller(size_t n) {
  httplib::Client client("http://" + daemon(n).callers_address());
  client.set_read_timeout(60, 0);
  client.set_default_headers({{"Authorization", "Bearer club:secret"}});
  return client;
}

httplib::Client Fleet::Admin(size_t n) {
  return httplib::Client("http://" + daemon(n).admin_address());
}

bool Fleet::AwaitReady(size_t n) {
  httplib::Client admin = Admin(n);
  const absl::Time deadline = absl::Now() + kPatience;
  while (absl::Now() < deadline) {
    const auto answer = admin.Get("/readyz");
    if (answer && answer->status == 200) {
      return true;
    }
    absl::SleepFor(kStep);
  }
  return false;
}

}  // namespace umbertrail::daemon
