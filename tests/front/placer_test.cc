#include "umbertrail/front/placer.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "front/running_front.h"

namespace umbertrail::front {
namespace {

const ServiceId kService("llm");

struct Asked {
  InstanceId home;
  uint64_t id = 0;
  PlacementRequest query;
};

// One instance of a fleet that has `instances` members in two data centres, and
// `targets` targets in each. Its questions are kept, not sent.
class AskingInstance {
 public:
  AskingInstance(int instances, int targets)
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, testing::LoopbackSettings(store_), log_fd_),
        placer_(std::make_shared<Placer>(state_,
                                         [this](const InstanceId& home,
                                                uint64_t id,
                                                const PlacementRequest& query) {
                                           asked_.push_back({home, id, query});
                                         })) {
    dispatch::FleetConfig config;
    config.version = 1;
    dispatch::Service& service = config.services[kService];
    service.id = kService;
    service.engine = dispatch::EngineModel();
    service.engine->slots = 16;
    service.engine->memory = Tokens(405000);
    service.engine->step_ms = 1.31;
    service.engine->read_tokens_per_s = 154000;
    service.engine->pair_ms_per_million = 0.162;
    service.engine->chunk_tokens = 2048;
    service.engine->steps_per_pass = 34;
    service.engine->usual_answer_tokens = 1266;
    state_.view.Apply({1, dispatch::ConfigChange{config}}, BootNow());
    for (const char* data_centre : {"east", "west"}) {
      for (int i = 0; i < targets; ++i) {
        AddTarget(data_centre, data_centre + std::to_string(i));
      }
    }
    for (int i = 1; i < instances; ++i) {
      Hear(i);
    }
    state_.CountInstances(BootNow());
  }
  ~AskingInstance() { close(log_fd_); }

  void AddTarget(const std::string& data_centre, const std::string& id) {
    dispatch::TargetEntry entry;
    entry.id = TargetId(id);
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.data_centre = DataCentreId(data_centre);
    entry.slots = 16;
    state_.view.Apply({++revision_, dispatch::TargetChange{entry}}, BootNow());
  }
  void Hear(int number) {
    dispatch::Member member;
    member.id = InstanceId("10.0.0." + std::to_string(number));
    member.data_centre = DataCentreId(number % 2 == 0 ? "east" : "west");
    member.processor = 0.12;
    member.heard = BootNow();
    state_.members.Note(member);
  }
  // Looks for a place; the outcome is kept.
  void Place(int64_t prompt) {
    placer_->Place(QueryOf(prompt), [this](const PlacementReply& offer) {
      ++done_;
      found_ = offer;
    });
  }
  static PlacementRequest QueryOf(int64_t prompt) {
    PlacementRequest query;
    query.shard.service = kService;
    query.sender_data_centre = DataCentreId("east");
    query.shape.prompt = Tokens(prompt);
    query.shape.aim = absl::Milliseconds(prompt > 100000 ? 3000 : 300);
    query.shape.gap_aim = absl::Seconds(1);
    query.shape.left = absl::Seconds(10);
    query.use_engine_model = true;
    return query;
  }
  // Answers question `index` with that target at that cost.
  void Offer(size_t index, const std::string& target, double cost) {
    PlacementReply offer;
    offer.candidate_count = 10;
    offer.result.placed = dispatch::Placed();
    offer.result.placed->target = TargetId(target);
    offer.result.placed->cost = cost;
    placer_->HandleReply(asked_.at(index).home, asked_.at(index).id, offer);
  }
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      loop_.run_one();
    }
  }
  std::string found() const {
    return found_.result.placed ? found_.result.placed->target.text() : "";
  }

  const std::vector<Asked>& asked() const { return asked_; }
  int done() const { return done_; }
  const PlacementReply& offer() const { return found_; }
  State& state() { return state_; }
  Placer& placer() { return *placer_; }

 private:
  testing::StandInStore store_;
  int log_fd_;
  net::Loop loop_;
  State state_;
  std::vector<Asked> asked_;
  std::shared_ptr<Placer> placer_;
  uint64_t revision_ = 1;
  int done_ = 0;
  PlacementReply found_;
};

TEST_CASE("in a small fleet nobody is asked") {
  AskingInstance one(7, 20);
  one.Place(5000);
  CHECK(one.asked().empty());
  REQUIRE(one.done() == 1);
  CHECK(one.offer().candidate_count == 40);
  CHECK_FALSE(one.found().empty());
}

TEST_CASE("a short prompt asks a home near by and takes its place") {
  AskingInstance one(40, 20);
  one.Place(5000);
  REQUIRE(one.asked().size() == 1);
  CHECK(one.asked()[0].query.shard.data_centre.text() == "east");
  CHECK(one.done() == 0);
  one.Offer(0, "east3", 0.01);
  CHECK(one.done() == 1);
  CHECK(one.found() == "east3");
  CHECK(one.asked().size() == 1);
}

TEST_CASE("where the near shard has no good place others are asked") {
  AskingInstance one(40, 20);
  one.Place(5000);
  one.Offer(0, "east3", 0.9);
  CHECK(one.done() == 0);
  REQUIRE(one.asked().size() == 2);
  one.Offer(1, "west1", 0.2);
  CHECK(one.done() == 1);
  CHECK(one.found() == "west1");
}

TEST_CASE("a long prompt asks several shards at once") {
  AskingInstance one(40, 60);
  one.Place(250000);
  CHECK(one.asked().size() == 3);
  one.Offer(0, "east3", 5);
  one.Offer(2, "west3", 3);
  CHECK(one.done() == 0);
  one.Offer(1, "east4", 4);
  CHECK(one.done() == 1);
  CHECK(one.found() == "west3");
  CHECK(one.offer().candidate_count == 30);
}

TEST_CASE("a silent home is passed over, and no request waits for one") {
  AskingInstance one(40, 20);
  one.Place(5000);
  one.RunUntil([&] { return one.asked().size() == 2; });
  CHECK(one.asked()[1].home != one.asked()[0].home);
  // The next request doesn't ask the silent one at all.
  one.Place(5000);
  CHECK(one.asked()[2].home == one.asked()[1].home);
  // When no home answers, what is known here has to do.
  one.RunUntil([&] { return one.done() == 2; });
  CHECK_FALSE(one.found().empty());
}

TEST_CASE("an offer counts only from the home that was asked, and once") {
  AskingInstance one(40, 20);
  one.Place(5000);
  PlacementReply forged;
  forged.result.placed = dispatch::Placed();
  forged.result.placed->target = TargetId("west1");
  one.placer().HandleReply(InstanceId("10.9.9.9"), one.asked()[0].id, forged);
  one.placer().HandleReply(one.asked()[0].home, one.asked()[0].id + 7, forged);
  CHECK(one.done() == 0);
  one.Offer(0, "east1", 0.01);
  one.Offer(0, "east2", 0.01);
  CHECK(one.done() == 1);
  CHECK(one.found() == "east1");
}

TEST_CASE("an offered target that isn't known here isn't used") {
  AskingInstance one(40, 20);
  one.Place(5000);
  one.Offer(0, "just-started", 0.01);
  CHECK(one.done() == 1);
  CHECK(one.found().substr(0, 4) == "east");
}

TEST_CASE("a home holds the places that it offers") {
  AskingInstance home(40, 20);
  PlacementRequest query = AskingInstance::QueryOf(45000);
  query.shard = {kService, DataCentreId("east"), 1, 0};
  std::set<std::string> offered;
  constexpr int kAskers = 10;
  for (int i = 0; i < kAskers; ++i) {
    const PlacementReply offer = home.placer().HandleRequest(
        InstanceId("10.0.0." + std::to_string(i)), query);
    REQUIRE(offer.result.placed);
    offered.insert(offer.result.placed->target.text());
  }
  // Each is half a second's reading: no two are offered the same engine.
  CHECK(offered.size() == kAskers);
}

TEST_CASE("a home gives out no more of a cold target's rate than its part") {
  AskingInstance home(40, 1);
  dispatch::FleetConfig config = home.state().view.config();
  config.version = 2;
  config.services[kService].cold_requests_per_s = 4;
  home.state().view.Apply({100, dispatch::ConfigChange{config}}, BootNow());
  PlacementRequest query = AskingInstance::QueryOf(5000);
  query.shard = {kService, DataCentreId("east"), 1, 0};
  int given = 0;
  constexpr int kAskers = 30;
  for (int i = 0; i < kAskers; ++i) {
    given +=
        home.placer()
                .HandleRequest(InstanceId("10.0.0." + std::to_string(i)), query)
                .result.placed
            ? 1
            : 0;
  }
  // Two homes may think themselves in charge: together within 4 x 1.5 + 5.
  CHECK(given >= 1);
  CHECK(given * 2 <= 11);
}

}  // namespace
}  // namespace umbertrail::front
