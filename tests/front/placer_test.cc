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
// Before this a capacity report has most of its weight.
constexpr absl::Duration kReportIsFresh = absl::Milliseconds(500);

struct SentRequest {
  InstanceId home;
  uint64_t id = 0;
  PlacementRequest request;
};

// One instance of a fleet that has `instances` members in two data centres, and
// `targets` targets in each. Placement requests are recorded, not sent.
class PlacerFixture {
 public:
  PlacerFixture(int instances, int targets, double cpu_cores = 0.12)
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, testing::LoopbackSettings(store_), log_fd_),
        placer_(
            std::make_shared<Placer>(state_,
                                     [this](const InstanceId& home,
                                            uint64_t id,
                                            const PlacementRequest& request) {
                                       sent_.push_back({home, id, request});
                                     })) {
    // Off by default.
    state_.features.ordered_search = true;
    dispatch::FleetConfig config;
    config.version = 1;
    dispatch::Service& service = config.services[kService];
    service.id = kService;
    service.engine = dispatch::EngineModel();
    service.engine->slots = 16;
    service.engine->kv_capacity = Tokens(405000);
    service.engine->step_ms = 1.31;
    service.engine->prefill_tokens_per_s = 154000;
    service.engine->attention_ms_per_million_pairs = 0.162;
    service.engine->chunk_tokens = 2048;
    service.engine->steps_per_pass = 34;
    service.engine->mean_output_tokens = 1266;
    state_.view.Apply({1, dispatch::ConfigChange{config}}, BootNow());
    for (const char* data_centre : {"east", "west"}) {
      for (int i = 0; i < targets; ++i) {
        AddTarget(data_centre, data_centre + std::to_string(i));
      }
    }
    for (int i = 1; i < instances; ++i) {
      AddInstance(i, cpu_cores);
    }
    state_.CountInstances(BootNow());
  }
  ~PlacerFixture() { close(log_fd_); }

  void AddTarget(const std::string& data_centre, const std::string& id) {
    dispatch::TargetEntry entry;
    entry.id = TargetId(id);
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.data_centre = DataCentreId(data_centre);
    entry.slots = 16;
    state_.view.Apply({++revision_, dispatch::TargetChange{entry}}, BootNow());
  }
  void AddInstance(int number, double cpu_cores) {
    dispatch::Member member;
    member.id = InstanceId("10.0.0." + std::to_string(number));
    member.data_centre = DataCentreId(number % 2 == 0 ? "east" : "west");
    member.cpu_cores = cpu_cores;
    member.last_heard = BootNow();
    state_.members.Merge(member);
  }
  // Places a request and records the reply.
  void Place(int64_t prompt) {
    placer_->Place(RequestFor(prompt), [this](const PlacementReply& reply) {
      ++completed_;
      found_ = reply;
    });
  }
  static PlacementRequest RequestFor(int64_t prompt) {
    PlacementRequest request;
    request.shard.service = kService;
    request.sender_data_centre = DataCentreId("east");
    request.profile.prompt = Tokens(prompt);
    request.profile.aim = absl::Milliseconds(prompt > 100000 ? 3000 : 300);
    request.profile.max_event_gap = absl::Seconds(1);
    request.profile.time_remaining = absl::Seconds(10);
    request.use_engine_model = true;
    return request;
  }
  // Replies to request `index` with that target at that cost.
  void Reply(size_t index, const std::string& target, double cost) {
    PlacementReply reply;
    reply.candidate_count = 10;
    reply.result.decision = dispatch::PlacementDecision();
    reply.result.decision->target = TargetId(target);
    reply.result.decision->cost = cost;
    placer_->HandleReply(sent_.at(index).home, sent_.at(index).id, reply);
  }
  // Replies to request `index` that it is to be asked again, or refused if
  // `ask_again` is zero.
  void ReplyToWait(size_t index, absl::Duration ask_again) {
    PlacementReply reply;
    reply.candidate_count = 10;
    reply.ask_again = ask_again;
    placer_->HandleReply(sent_.at(index).home, sent_.at(index).id, reply);
  }
  // Gives every target in `data_centre` so much to prefill.
  void Occupy(const std::string& data_centre, absl::Duration prefill_time) {
    dispatch::WorkItem item;
    item.sent_at = BootNow();
    item.prefill_time = prefill_time;
    item.prefilling = true;
    for (const auto& [id, entry] : state_.view.targets()) {
      if (entry.data_centre.text() == data_centre) {
        state_.board.SetPeerLoad(InstanceId("10.0.0.9"), id, {item});
      }
    }
  }
  // Replies as the homes of shards that are all busy, but for the one that
  // holds `idle`, until the search has ended.
  void ReplyAllBusyBut(const std::string& idle) {
    const dispatch::TargetEntry* entry = state_.view.Find(TargetId(idle));
    for (; replied_ < sent_.size(); ++replied_) {
      const SentRequest sent = sent_[replied_];
      PlacementReply reply;
      reply.candidate_count = 10;
      reply.shard_capacity = 0;
      if (entry != nullptr && sent.request.shard.Holds(*entry)) {
        reply.shard_capacity = 1;
        reply.result.decision = dispatch::PlacementDecision();
        reply.result.decision->target = TargetId(idle);
        reply.result.decision->cost = 0.01;
      }
      placer_->HandleReply(sent.home, sent.id, reply);
    }
  }
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      loop_.run_one();
    }
  }
  std::string found() const {
    return found_.result.decision ? found_.result.decision->target.text() : "";
  }

  const std::vector<SentRequest>& sent() const { return sent_; }
  int completed() const { return completed_; }
  const PlacementReply& reply() const { return found_; }
  State& state() { return state_; }
  Placer& placer() { return *placer_; }

 private:
  testing::StandInStore store_;
  int log_fd_;
  net::Loop loop_;
  State state_;
  std::vector<SentRequest> sent_;
  std::shared_ptr<Placer> placer_;
  uint64_t revision_ = 1;
  int completed_ = 0;
  size_t replied_ = 0;
  PlacementReply found_;
};

TEST_CASE("in a small fleet no home is asked") {
  PlacerFixture one(7, 20);
  one.Place(5000);
  CHECK(one.sent().empty());
  REQUIRE(one.completed() == 1);
  CHECK(one.reply().candidate_count == 40);
  CHECK_FALSE(one.found().empty());
}

TEST_CASE("a short prompt takes the placement offered by a nearby home") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  REQUIRE(one.sent().size() == 1);
  CHECK(one.sent()[0].request.shard.data_centre.text() == "east");
  CHECK(one.completed() == 0);
  one.Reply(0, "east3", 0.01);
  CHECK(one.completed() == 1);
  CHECK(one.found() == "east3");
  CHECK(one.sent().size() == 1);
}

TEST_CASE("other shards are asked if the nearest has no good placement") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.Reply(0, "east3", 0.9);
  CHECK(one.completed() == 0);
  REQUIRE(one.sent().size() == 2);
  one.Reply(1, "west1", 0.2);
  CHECK(one.completed() == 1);
  CHECK(one.found() == "west1");
}

// A search asked one shard of its own data centre and two others at random, and
// gave up: requests were rejected while targets of other shards were idle.
TEST_CASE("a search finds the idle target of any shard") {
  // Eight shards of which this instance's data centre has four.
  const std::string idle = GENERATE("east0", "east1", "west0", "west1", "west2",
                                    "west3", "west4", "west5");
  CAPTURE(idle);
  for (int i = 0; i < 10; ++i) {
    PlacerFixture one(40, 100);
    one.Place(5000);
    one.ReplyAllBusyBut(idle);
    REQUIRE(one.completed() == 1);
    CHECK(one.found() == idle);
    one.Place(5000);
    one.ReplyAllBusyBut(idle);
    REQUIRE(one.completed() == 2);
    CHECK(one.found() == idle);
  }
}

TEST_CASE("the one shard that reported capacity is asked first") {
  const std::string idle = GENERATE("east0", "west0", "west5");
  CAPTURE(idle);
  PlacerFixture one(40, 100);
  const dispatch::TargetEntry* entry = one.state().view.Find(TargetId(idle));
  const absl::Time start = BootNow();
  one.Place(5000);
  for (size_t i = 0; i < one.sent().size(); ++i) {
    const SentRequest sent = one.sent()[i];
    PlacementReply late;
    late.shard_capacity = sent.request.shard.Holds(*entry) ? 1 : 0;
    one.placer().HandleReply(sent.home, sent.id, late);
  }
  constexpr size_t kShards = 8;
  REQUIRE(one.sent().size() == kShards);
  one.Place(5000);
  if (BootNow() - start < kReportIsFresh) {
    REQUIRE(one.sent().size() == kShards + 1);
    CHECK(one.sent().back().request.shard.Holds(*entry));
  }
}

TEST_CASE("a search asks a bounded number of shards, and each at some time") {
  constexpr size_t kShards = 32;
  constexpr size_t kMaxAsked = 9;
  // The others are so much faster that this instance is home of no shard.
  PlacerFixture one(40, 500, 1000);
  std::set<std::string> asked;
  int searches = 0;
  while (asked.size() < kShards) {
    const size_t before = one.sent().size();
    one.Place(5000);
    one.ReplyAllBusyBut("none of these");
    REQUIRE(one.completed() == ++searches);
    CHECK(one.found().empty());
    REQUIRE(one.sent().size() <= before + kMaxAsked);
    for (size_t i = before; i < one.sent().size(); ++i) {
      asked.insert(one.sent()[i].request.shard.Name());
    }
    // Unknown shards come before those that are known to be busy.
    REQUIRE(searches < 100);
  }
}

TEST_CASE("where all shards are known to be busy three are asked") {
  PlacerFixture one(40, 100);
  const absl::Time start = BootNow();
  one.Place(5000);
  one.ReplyAllBusyBut("none of these");
  const size_t before = one.sent().size();
  CHECK(before == 8);
  one.Place(5000);
  one.ReplyAllBusyBut("none of these");
  if (BootNow() - start < kReportIsFresh) {
    CHECK(one.sent().size() == before + 3);
  }
}

TEST_CASE("the own data centre is preferred while it has capacity on time") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.ReplyAllBusyBut("east3");
  for (int i = 0; i < 20; ++i) {
    one.Place(5000);
    CHECK(one.sent().back().request.shard.data_centre.text() == "east");
    one.ReplyAllBusyBut("east3");
    CHECK(one.found() == "east3");
  }
}

TEST_CASE("a placement that is late makes a search go on") {
  PlacerFixture one(40, 100);
  one.Place(5000);
  for (size_t i = 0; i < one.sent().size(); ++i) {
    PlacementReply late;
    late.shard_capacity = 2;
    late.result.decision = dispatch::PlacementDecision();
    late.result.decision->target = TargetId("east1");
    late.result.decision->time_to_first_event = absl::Seconds(1);
    late.result.decision->cost = 1;
    one.placer().HandleReply(one.sent()[i].home, one.sent()[i].id, late);
  }
  CHECK(one.completed() == 1);
  CHECK(one.sent().size() == 8);
  CHECK(one.found() == "east1");
}

TEST_CASE("homes that state no capacity are searched") {
  PlacerFixture one(40, 100);
  one.Place(5000);
  for (size_t i = 0; i + 1 < 8; ++i) {
    REQUIRE(one.completed() == 0);
    one.placer().HandleReply(one.sent()[i].home, one.sent()[i].id,
                             PlacementReply());
  }
  one.Reply(7, "west1", 0.01);
  CHECK(one.found() == "west1");
}

TEST_CASE("without the ordered search three shards are asked at most") {
  PlacerFixture one(40, 100);
  one.state().features.ordered_search = false;
  for (int i = 0; i < 5; ++i) {
    const size_t before = one.sent().size();
    one.Place(5000);
    CHECK(one.sent().back().request.shard.data_centre.text() == "east");
    one.ReplyAllBusyBut("west0");
    CHECK(one.sent().size() == before + 3);
    // The own data centre has four shards, so that others aren't reached.
    CHECK(one.found().empty());
  }
}

TEST_CASE("a home states its shard's capacity") {
  PlacerFixture home(40, 20);
  PlacementRequest request = PlacerFixture::RequestFor(5000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  const InstanceId requester("10.0.0.1");
  const PlacementReply first = home.placer().HandleRequest(requester, request);
  REQUIRE(first.shard_capacity);
  CHECK(*first.shard_capacity == Approx(20));
  const PlacementReply second = home.placer().HandleRequest(requester, request);
  CHECK(*second.shard_capacity < *first.shard_capacity);
}

TEST_CASE("a long prompt asks several shards at once") {
  PlacerFixture one(40, 60);
  one.Place(250000);
  CHECK(one.sent().size() == 3);
  one.Reply(0, "east3", 5);
  one.Reply(2, "west3", 3);
  CHECK(one.completed() == 0);
  one.Reply(1, "east4", 4);
  CHECK(one.completed() == 1);
  CHECK(one.found() == "west3");
  CHECK(one.reply().candidate_count == 30);
}

TEST_CASE("a home that does not reply is skipped") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.RunUntil([&] { return one.sent().size() == 2; });
  CHECK(one.sent()[1].home != one.sent()[0].home);
  // The next request does not ask the unresponsive home at all.
  one.Place(5000);
  CHECK(one.sent()[2].home == one.sent()[1].home);
  // If no home replies, placement falls back to local state.
  one.RunUntil([&] { return one.completed() == 2; });
  CHECK_FALSE(one.found().empty());
}

TEST_CASE("a reply counts only from the home that was asked, and once") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  PlacementReply forged;
  forged.result.decision = dispatch::PlacementDecision();
  forged.result.decision->target = TargetId("west1");
  one.placer().HandleReply(InstanceId("10.9.9.9"), one.sent()[0].id, forged);
  one.placer().HandleReply(one.sent()[0].home, one.sent()[0].id + 7, forged);
  CHECK(one.completed() == 0);
  one.Reply(0, "east1", 0.01);
  one.Reply(0, "east2", 0.01);
  CHECK(one.completed() == 1);
  CHECK(one.found() == "east1");
}

// Guards against a request that is refused because one of several homes has no
// room, and against one that waits although another home has a place.
TEST_CASE("a request waits if a home says so and no other has a place") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.ReplyToWait(0, absl::Milliseconds(100));
  REQUIRE(one.sent().size() == 2);
  one.ReplyToWait(1, absl::ZeroDuration());
  CHECK(one.completed() == 1);
  CHECK_FALSE(one.reply().result.decision);
  CHECK(one.reply().ask_again == absl::Milliseconds(100));
  one.Place(5000);
  one.ReplyToWait(2, absl::Milliseconds(100));
  one.Reply(3, "west3", 0.9);
  CHECK(one.completed() == 2);
  CHECK(one.found() == "west3");
}

// Guards against a home that is lost while it keeps a request waiting: another
// one, or the own view, decides when the requester asks again.
TEST_CASE("a request that waits isn't lost with the home that kept it") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.ReplyToWait(0, absl::Milliseconds(100));
  one.ReplyToWait(1, absl::Milliseconds(100));
  REQUIRE(one.completed() == 1);
  const InstanceId lost = one.sent()[0].home;
  one.Place(5000);
  one.RunUntil([&] { return one.completed() == 2; });
  CHECK(one.sent().size() > 3);
  CHECK(one.sent()[3].home != lost);
  CHECK_FALSE(one.found().empty());
}

TEST_CASE(
    "a home refuses what its queue makes late, but places what was sent") {
  PlacerFixture home(40, 20);
  home.state().features.waiting_line = true;
  home.state().features.fair_shares = true;
  home.Occupy("east", absl::Milliseconds(800));
  PlacementRequest request = PlacerFixture::RequestFor(5000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  const InstanceId requester("10.0.0.1");
  const auto refused = home.placer().HandleRequest(requester, request);
  CHECK_FALSE(refused.result.decision);
  CHECK(refused.ask_again == absl::ZeroDuration());
  CHECK(refused.result.retry_after > absl::ZeroDuration());
  request.profile.is_retry = true;
  CHECK(home.placer().HandleRequest(requester, request).result.decision);
}

TEST_CASE("a home without the features places as they come") {
  PlacerFixture home(40, 20);
  home.state().features.waiting_line = false;
  home.state().features.fair_shares = false;
  home.Occupy("east", absl::Milliseconds(800));
  PlacementRequest request = PlacerFixture::RequestFor(5000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  CHECK(home.placer()
            .HandleRequest(InstanceId("10.0.0.1"), request)
            .result.decision);
}

TEST_CASE("a home tells who needs several busy targets to ask again") {
  PlacerFixture home(40, 20);
  home.state().features.waiting_line = true;
  home.state().features.fair_shares = true;
  home.Occupy("east", absl::Milliseconds(700));
  PlacementRequest request = PlacerFixture::RequestFor(500000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  request.profile.time_remaining = absl::Seconds(18);
  const auto waits =
      home.placer().HandleRequest(InstanceId("10.0.0.1"), request);
  CHECK_FALSE(waits.result.decision);
  CHECK(waits.ask_again > absl::ZeroDuration());
}

TEST_CASE("an offered target unknown to this instance is not used") {
  PlacerFixture one(40, 20);
  one.Place(5000);
  one.Reply(0, "just-started", 0.01);
  CHECK(one.completed() == 1);
  CHECK(one.found().substr(0, 4) == "east");
}

TEST_CASE("a home holds the places it offers") {
  PlacerFixture home(40, 20);
  PlacementRequest request = PlacerFixture::RequestFor(45000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  std::set<std::string> offered;
  constexpr int kRequesters = 10;
  for (int i = 0; i < kRequesters; ++i) {
    const PlacementReply reply = home.placer().HandleRequest(
        InstanceId("10.0.0." + std::to_string(i)), request);
    REQUIRE(reply.result.decision);
    offered.insert(reply.result.decision->target.text());
  }
  // Each takes half a second of prefill: no engine is offered twice.
  CHECK(offered.size() == kRequesters);
}

TEST_CASE("a home hands out only its share of a cold target's rate") {
  PlacerFixture home(40, 1);
  dispatch::FleetConfig config = home.state().view.config();
  config.version = 2;
  config.services[kService].cold_requests_per_s = 4;
  home.state().view.Apply({100, dispatch::ConfigChange{config}}, BootNow());
  PlacementRequest request = PlacerFixture::RequestFor(5000);
  request.shard = {kService, DataCentreId("east"), 1, 0};
  int given = 0;
  constexpr int kRequesters = 30;
  for (int i = 0; i < kRequesters; ++i) {
    given += home.placer()
                     .HandleRequest(InstanceId("10.0.0." + std::to_string(i)),
                                    request)
                     .result.decision
                 ? 1
                 : 0;
  }
  // Two homes may both consider themselves primary: together 4 x 1.5 + 5.
  CHECK(given >= 1);
  CHECK(given * 2 <= 11);
}

}  // namespace
}  // namespace umbertrail::front
