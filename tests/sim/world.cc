#include "world.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "umbertrail/core/invariant.h"

namespace umbertrail::sim {
namespace {

constexpr absl::Duration kWatch = absl::Seconds(1);
constexpr absl::Duration kListLag = absl::Seconds(3);
constexpr absl::Duration kObserve = absl::Milliseconds(100);
// No new work this long after an instance could have known.
constexpr absl::Duration kTakesEffect = absl::Seconds(5);
constexpr absl::Duration kLeakBound = absl::Seconds(60);
constexpr absl::Duration kUnreachableAfter = absl::Seconds(2);
constexpr absl::Duration kRefused = absl::Milliseconds(2);
constexpr int kPoisonResends = 4;
constexpr int kDataCentres = 3;
constexpr int kEnginesPerCentre = 2;
const char kModel[] = "reader";
const char kService[] = "desk";
const char kCall[] = "file";
const char kAccount[] = "club";
const char kConfig[] = "config";

// A MAC that needs no library: the fakes' callers never forge.
class FakeSigner : public core::TicketSigner {
 public:
  explicit FakeSigner(uint64_t key) : key_(key) {}
  std::string Sign(std::string_view text) const override {
    return absl::StrCat(StableHash(text, key_));
  }
  bool Verify(std::string_view text, std::string_view mac) const override {
    return Sign(text) == mac;
  }

 private:
  uint64_t key_;
};

std::string CentreName(int n) {
  return absl::StrCat("dc", n);
}

manifest::Manifest FirstManifest() {
  manifest::Manifest m;
  m.regions = {RegionId("south")};
  manifest::Model model;
  model.id = ModelId(kModel);
  model.version = "1";
  model.context_limit = Tokens(1200000);
  model.min_serving = 1;
  m.models = {model};
  for (int i = 0; i < kDataCentres; ++i) {
    const DataCentreId id(CentreName(i));
    m.data_centres.push_back({id, RegionId("south"), true});
    m.deployments.push_back({ModelId(kModel), id, kEnginesPerCentre});
  }
  manifest::ClientAccount account;
  account.id = ClientAccountId(kAccount);
  account.key_salt = "salt";
  account.key_hash = std::string(64, 'a');
  account.requests_per_second = 10000;
  account.tokens_in_flight = Tokens(100000000);
  account.models = {ModelId(kModel)};
  account.services = {ServiceId(kService)};
  m.accounts = {account};
  m.services = {{ServiceId(kService), {{kCall, false}, {"look", true}}}};
  m.engine_classes = {
      {"large", true, Tokens(400000), Tokens(16000)},
      {"plain", false, Tokens(400000), Tokens(16000)},
  };
  return m;
}

}  // namespace

struct World::Instance {
  uint64_t life = 0;
  absl::Time started;
  absl::Time ended = absl::InfiniteFuture();
  InstanceRef ref;
  DataCentreId data_centre;
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<FakeSigner> signer;
  std::unique_ptr<core::Node> node;
  bool alive = true;
  bool stopping = false;
  bool stopped = false;
  absl::Time paused_until = absl::InfinitePast();
  std::deque<core::Event> backlog;
  absl::Time tick_at = absl::InfiniteFuture();
  absl::Time stale_until = absl::InfinitePast();
  absl::Duration stale_by;
  absl::Duration list_lag = kListLag;
  ManifestRevision revision;
  // Since when it could have learnt a revision newer than its own.
  absl::Time behind_since = absl::InfiniteFuture();
  std::map<std::string, absl::Time> told_leaving;
  std::set<std::string> requests;
  std::set<std::string> before_stop;

  const std::string& name() const { return ref.id.text(); }
};

struct World::Filing {
  std::string name;
  std::optional<core::Ticket> ticket;
  std::string key;
  int submissions_left = 0;
  uint32_t next_instance = 0;
};

World::World(uint64_t seed,
             uint32_t instances,
             core::Mutations mutations,
             bool trace)
    : random_(MakeSeededRandom(seed)), mutations_(mutations), tracing_(trace) {
  platform_.Publish(scheduler_.now() - absl::Minutes(5), FirstManifest());
  std::vector<core::TargetInfo> list;
  for (int i = 0; i < kDataCentres; ++i) {
    for (int n = 0; n <= kEnginesPerCentre; ++n) {
      FakeTarget::Traits traits;
      const bool service = n == kEnginesPerCentre;
      traits.info.id = TargetId(absl::StrCat("t", i, n));
      traits.info.kind =
          service ? core::TargetKind::kService : core::TargetKind::kEngine;
      traits.info.address = traits.info.id.text();
      traits.info.data_centre = DataCentreId(CentreName(i));
      traits.info.service = ServiceId(service ? kService : "");
      traits.info.engine_class = service ? "" : n == 0 ? "large" : "plain";
      traits.checks_fencing = n == 0;
      traits.starts_warm = i + n != 1;
      list.push_back(traits.info);
      targets_[traits.info.id.text()] = std::make_unique<FakeTarget>(
          traits, &scheduler_, &reference_, random_.get());
    }
  }
  platform_.SetTargets(scheduler_.now() - absl::Minutes(5), list);
  for (uint32_t i = 0; i < instances; ++i) {
    StartInstance(next_place_++);
  }
  scheduler_.After(kObserve, [this] { Observe(); });
  // The first owners settle and the first orders are carried out.
  scheduler_.RunUntil(scheduler_.now() + absl::Seconds(75));
}

World::~World() = default;

// -- Life of instances

void World::StartInstance(uint32_t place) {
  auto it = std::make_unique<Instance>();
  it->life = next_life_++;
  it->started = scheduler_.now();
  it->ref.id = InstanceId(absl::StrCat("10.0.0.", place, ":7000"));
  it->ref.incarnation = Incarnation(random_->Next());
  it->data_centre =
      DataCentreId(CentreName(static_cast<int>(place) % kDataCentres));
  it->random = MakeSeededRandom(random_->Next());
  it->signer = std::make_unique<FakeSigner>(random_->Next());
  core::NodeConfig config;
  config.self = it->ref;
  config.data_centre = it->data_centre;
  config.mutations = mutations_;
  it->node =
      std::make_unique<core::Node>(config, it->random.get(), it->signer.get());
  Note(absl::StrCat("start ", it->name()));
  const uint64_t life = it->life;
  instances_.push_back(std::move(it));
  AnnounceInstances();
  Watch(life);
}

void World::KillInstance(Instance* instance) {
  Note(absl::StrCat("kill ", instance->name()));
  instance->alive = false;
  instance->ended = scheduler_.now();
  for (const std::string& request : instance->requests) {
    reference_.Lost(request);
    const auto filing = filing_of_request_.find(request);
    if (filing != filing_of_request_.end()) {
      core::Outcome broken;
      broken.reason = core::Reason::kTargetFailed;
      broken.ran = core::Ran::kUnknown;
      OnFilingOutcome(filing->second, broken);
    }
  }
  instance->requests.clear();
  const InstanceRef holder = instance->ref;
  scheduler_.After(absl::Milliseconds(50), [this, holder] {
    for (auto& [name, target] : targets_) {
      target->Disconnect(holder);
    }
  });
  AnnounceInstances();
}

void World::StopInstance(Instance* instance) {
  Note(absl::StrCat("stop ", instance->name()));
  instance->stopping = true;
  instance->before_stop = instance->requests;
  AnnounceInstances();
  Deliver(instance->life, core::StopRequested{});
}

void World::AnnounceInstances() {
  std::vector<core::InstanceInfo> list;
  for (const auto& it : instances_) {
    if (it->alive && !it->stopped) {
      list.push_back({it->ref.id, it->data_centre, it->stopping});
    }
  }
  platform_.SetInstances(scheduler_.now(), std::move(list));
}

std::vector<World::Instance*> World::Live() {
  std::vector<Instance*> live;
  for (const auto& it : instances_) {
    if (it->alive && !it->stopped) {
      live.push_back(it.get());
    }
  }
  return live;
}

World::Instance* World::Pick(uint32_t n) {
  const std::vector<Instance*> live = Live();
  return live.empty() ? nullptr : live[n % live.size()];
}

// -- Events and actions

void World::Deliver(uint64_t life, core::Event event) {
  Instance* instance = instances_[life - 1].get();
  const auto* arrival = std::get_if<core::RequestArrived>(&event);
  if (instance->stopped && arrival != nullptr) {
    // The process has ended; its callers see their connections close.
    reference_.Lost(arrival->spec.id.text());
  }
  if (!instance->alive || instance->stopped) {
    return;
  }
  if (scheduler_.now() < instance->paused_until) {
    instance->backlog.push_back(std::move(event));
    return;
  }
  Handle(instance, std::move(event));
}

void World::Handle(Instance* instance, core::Event event) {
  NoteMessage(*instance, event);
  core::Actions actions =
      instance->node->Handle(scheduler_.now(), std::move(event));
  CheckRevision(instance);
  for (core::Action& it : actions) {
    CarryOut(instance, std::move(it));
  }
  ScheduleTick(instance);
}

void World::NoteMessage(const Instance& instance, const core::Event& event) {
  const auto* received = std::get_if<core::PeerReceived>(&event);
  if (!tracing_ || received == nullptr) {
    return;
  }
  const core::PeerEnvelope& message = received->envelope;
  const std::string path =
      absl::StrCat(message.from.id.text(), " to ", instance.name(), ": ");
  if (const auto* it = std::get_if<core::ScreenReply>(&message.payload)) {
    Note(absl::StrCat(path, "screen of ", it->request.text(), "#",
                      it->attempt.value(), " content ",
                      it->fingerprint.value() & ~kPoisonBit, " verdict ",
                      static_cast<int>(it->verdict), " deaths ", it->deaths,
                      " others ", it->others, it->young ? " young" : ""));
  }
  const auto* grant = std::get_if<core::AdmitReply>(&message.payload);
  if (grant != nullptr && grant->decision == core::AdmitDecision::kGranted) {
    Note(absl::StrCat(path, "grants ", grant->target.text(), " to ",
                      grant->request.text(), "#", grant->attempt.value()));
  }
  if (const auto* it = std::get_if<core::ScreenEnded>(&message.payload)) {
    Note(absl::StrCat(path, "run of ", it->request.text(), "#",
                      it->attempt.value(), " content ",
                      it->fingerprint.value() & ~kPoisonBit, " ended ",
                      static_cast<int>(it->end)));
  }
}

void World::ScheduleTick(Instance* instance) {
  if (!instance->alive || instance->stopped) {
    return;
  }
  const absl::Time at = std::max(instance->node->NextWakeup(),
                                 scheduler_.now() + absl::Milliseconds(1));
  if (at == instance->tick_at || at == absl::InfiniteFuture()) {
    return;
  }
  instance->tick_at = at;
  const uint64_t life = instance->life;
  scheduler_.At(at, [this, life, at] {
    Instance* it = instances_[life - 1].get();
    if (!it->alive || it->stopped || it->tick_at != at) {
      return;
    }
    if (scheduler_.now() < it->paused_until) {
      return;
    }
    it->tick_at = absl::InfiniteFuture();
    Handle(it, core::Tick{});
  });
}

void World::CarryOut(Instance* instance, core::Action action) {
  std::visit([&](auto&& it) { Do(instance, std::forward<decltype(it)>(it)); },
             std::move(action));
}

void World::Do(Instance* instance, core::SendPeer action) {
  const uint64_t from_life = instance->life;
  const std::string from = instance->name();
  const InstanceId to = action.to;
  Instance* peer = nullptr;
  for (const auto& it : instances_) {
    if (it->alive && !it->stopped && it->ref.id == to) {
      peer = it.get();
    }
  }
  if (peer == nullptr) {
    scheduler_.After(kRefused, [this, from_life, to] {
      Deliver(from_life, core::PeerUnreachable{to});
    });
    return;
  }
  if (Parted(from, to.text())) {
    scheduler_.After(kUnreachableAfter, [this, from_life, to] {
      Deliver(from_life, core::PeerUnreachable{to});
    });
    return;
  }
  const uint64_t to_life = peer->life;
  const core::PeerReceived received{
      instance->node->Wrap(std::move(action.payload))};
  const bool unruly = scheduler_.now() < unruly_until_;
  if (unruly && random_->Fraction() < drop_share_) {
    return;
  }
  const int copies = unruly && random_->Fraction() < repeat_share_ ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    scheduler_.After(LinkDelay(), [this, to_life, from, to, received] {
      if (!Parted(from, to.text())) {
        Deliver(to_life, received);
      }
    });
  }
}

void World::Do(Instance* instance, core::StartAttempt action) {
  CheckStart(*instance, action);
  const uint64_t life = instance->life;
  const std::string name = action.target.text();
  Note(absl::StrCat(instance->name(), " starts ", action.spec.id.text(), "#",
                    action.attempt.value(), " on ", name));
  FakeTarget* target = targets_.at(name).get();
  const RequestId request = action.spec.id;
  const AttemptNumber attempt = action.attempt;
  const auto fail = [this, life, request, attempt](absl::Duration after,
                                                   core::AttemptFailure how) {
    scheduler_.After(after, [this, life, request, attempt, how] {
      Deliver(life, core::AttemptFailed{request, attempt, how, ""});
    });
  };
  if (!target->up()) {
    fail(kRefused, core::AttemptFailure::kNotSent);
    return;
  }
  if (Parted(instance->name(), name)) {
    fail(absl::Seconds(1), core::AttemptFailure::kNotSent);
    return;
  }
  const InstanceRef holder = instance->ref;
  if (target->silent()) {
    // The connection took the bytes and nothing came of them, or it did.
    if (random_->Below(2) == 0) {
      fail(action.progress_limit, core::AttemptFailure::kSilent);
      return;
    }
  }
  if (target->leaving() && random_->Below(2) == 0) {
    fail(kRefused, core::AttemptFailure::kSaidNotRun);
    return;
  }
  const uint64_t boot = target->boot();
  scheduler_.After(LinkDelay(), [this, life, name, holder, action, fail, boot] {
    FakeTarget* it = targets_.at(name).get();
    // A connection doesn't outlive the process that it was made to.
    if (!it->up() || it->boot() != boot) {
      fail(kRefused, core::AttemptFailure::kBroken);
      return;
    }
    it->Start(action, holder, [this, life, name](core::Event event) {
      ReplyTo(life, name, std::move(event));
    });
    if (it->silent()) {
      fail(action.progress_limit, core::AttemptFailure::kSilent);
    }
  });
}

void World::ReplyTo(uint64_t life,
                    const std::string& target,
                    core::Event event) {
  const Instance* instance = instances_[life - 1].get();
  if (!Parted(instance->name(), target)) {
    // One connection keeps its order, so its delay is the same throughout.
    scheduler_.After(absl::Milliseconds(1),
                     [this, life, event] { Deliver(life, event); });
    return;
  }
  // The stream is cut off; its receiver finds out by its progress deadline.
  core::AttemptFailed silent;
  silent.failure = core::AttemptFailure::kSilent;
  const auto name = [&](const auto& it) {
    silent.request = it.request;
    silent.attempt = it.attempt;
  };
  if (const auto* it = std::get_if<core::AttemptChunk>(&event)) {
    name(*it);
  } else if (const auto* it = std::get_if<core::AttemptDone>(&event)) {
    name(*it);
  } else if (const auto* it = std::get_if<core::AttemptStarted>(&event)) {
    name(*it);
  } else if (const auto* it = std::get_if<core::AttemptFailed>(&event)) {
    name(*it);
  }
  scheduler_.After(absl::Seconds(3),
                   [this, life, silent] { Deliver(life, silent); });
}

void World::Do(Instance* instance, core::CancelAttempt action) {
  const InstanceRef holder = instance->ref;
  const std::string name = action.target.text();
  if (Parted(instance->name(), name)) {
    return;
  }
  scheduler_.After(LinkDelay(), [this, holder, name, action] {
    targets_.at(name)->Cancel(holder, action.request, action.attempt);
  });
}

void World::Do(Instance* instance, core::RelayChunk action) {
  static_cast<void>(instance);
  reference_.Chunk(scheduler_.now(), action.request.text(),
                   action.offset.value(), action.tokens.value(), action.text);
}

void World::Do(Instance* instance, core::FinishRequest action) {
  const std::string request = action.request.text();
  Note(absl::StrCat(instance->name(), " finishes ", request, ": reason ",
                    static_cast<int>(action.outcome.reason), " ran ",
                    static_cast<int>(action.outcome.ran), " ",
                    action.outcome.detail));
  instance->requests.erase(request);
  if (instance->before_stop.count(request) != 0 &&
      action.outcome.reason == core::Reason::kStopping) {
    reference_.Violated(scheduler_.now(),
                        absl::StrCat("planned stop cut ", request));
  }
  const auto ticket_for = filings_.find(request);
  if (ticket_for != filings_.end()) {
    // A refused ticket request; the caller asks again elsewhere.
    ++ticket_for->second->next_instance;
    return;
  }
  reference_.Finished(scheduler_.now(), request, action.outcome);
  const auto filing = filing_of_request_.find(request);
  if (filing != filing_of_request_.end()) {
    OnFilingOutcome(filing->second, action.outcome);
  }
}

void World::Do(Instance* instance, core::TicketIssued action) {
  static_cast<void>(instance);
  Filing& filing = *filings_.at(action.request.text());
  filing.ticket = action.ticket;
  SubmitFiling(filing.name);
}

void World::Do(Instance* instance, core::PollTarget action) {
  const uint64_t life = instance->life;
  const std::string name = action.target.text();
  const auto found = targets_.find(name);
  const bool cut = found == targets_.end() || Parted(instance->name(), name);
  if (cut || found->second->silent()) {
    scheduler_.After(absl::Seconds(1), [this, life, action] {
      Deliver(life, core::TargetUnreachable{action.target, false});
    });
    return;
  }
  scheduler_.After(LinkDelay(), [this, life, name, action] {
    FakeTarget& target = *targets_.at(name);
    if (!target.up()) {
      Deliver(life, core::TargetUnreachable{action.target, true});
      return;
    }
    const core::TargetReport report = target.Report();
    if (report.state == core::TargetState::kLeaving) {
      instances_[life - 1]->told_leaving.emplace(name, scheduler_.now());
    }
    Deliver(life, core::TargetReported{action.target, report});
  });
}

void World::Do(Instance* instance, core::SendOrder action) {
  const uint64_t life = instance->life;
  const std::string name = action.target.text();
  const bool cut = Parted(instance->name(), name);
  scheduler_.After(LinkDelay(), [this, life, name, action, cut] {
    FakeTarget& target = *targets_.at(name);
    if (cut || !target.up()) {
      Deliver(life, core::OrderAnswered{action.target, action.order.fence,
                                        core::OrderAnswered::Result::kFailed});
      return;
    }
    Deliver(life, target.TakeOrder(action.order));
  });
}

void World::Do(Instance* instance, core::FreeAllocations action) {
  const std::string name = action.target.text();
  Note(absl::StrCat(instance->name(), " frees memory of ",
                    action.holder.id.text(), " on ", name, " for '",
                    action.request.text(), "'"));
  for (const auto& it : instances_) {
    const bool live_holder =
        it->alive && !it->stopped && it->ref == action.holder;
    if (live_holder && action.request.empty()) {
      reference_.Violated(scheduler_.now(),
                          absl::StrCat("freed a live holder's memory: ",
                                       action.holder.id.text()));
    }
  }
  if (Parted(instance->name(), name)) {
    return;
  }
  scheduler_.After(LinkDelay(), [this, name, action] {
    targets_.at(name)->Free(action.holder, action.request);
  });
}

void World::Do(Instance* instance, core::ReadPart action) {
  const uint64_t life = instance->life;
  const bool down = scheduler_.now() < config_down_until_ ||
                    Parted(instance->name(), kConfig);
  scheduler_.After(absl::Milliseconds(5), [this, life, action, down] {
    const std::string* bytes = platform_.FindPart(action.hash);
    if (down || bytes == nullptr) {
      Deliver(life, core::ConfigUnreachable{});
      return;
    }
    Deliver(life, core::PartRead{action.hash, *bytes});
  });
}

void World::Do(Instance* instance, core::StopComplete action) {
  static_cast<void>(action);
  Note(absl::StrCat("stopped ", instance->name()));
  instance->stopped = true;
  instance->ended = scheduler_.now();
  AnnounceInstances();
}

void World::Watch(uint64_t life) {
  Instance* instance = instances_[life - 1].get();
  if (!instance->alive || instance->stopped) {
    return;
  }
  const auto jitter = absl::Milliseconds(random_->Below(200));
  scheduler_.After(kWatch + jitter, [this, life] { Watch(life); });
  const absl::Time now = scheduler_.now();
  if (now < instance->paused_until) {
    // A paused process asks for nothing.
    return;
  }
  if (now < config_down_until_ || Parted(instance->name(), kConfig)) {
    Deliver(life, core::ConfigUnreachable{});
    return;
  }
  const bool stale = now < instance->stale_until;
  const absl::Duration stale_by =
      stale ? instance->stale_by : absl::ZeroDuration();
  const auto& head = platform_.Seen(now, stale_by);
  const auto& lists = platform_.Seen(now, instance->list_lag + stale_by);
  for (const core::TargetInfo& it : lists.targets) {
    if (it.leaving) {
      instance->told_leaving.emplace(it.id.text(), now);
    }
  }
  Deliver(life, core::HeadRead{head.head});
  Deliver(life, core::InstanceListRead{lists.version, lists.instances});
  Deliver(life, core::TargetListRead{lists.version, lists.targets});
}

// -- Links

bool World::Parted(const std::string& a, const std::string& b) const {
  if (scheduler_.now() >= parted_until_) {
    return false;
  }
  return (far_side_.count(a) != 0) != (far_side_.count(b) != 0);
}

absl::Duration World::LinkDelay() {
  const bool unruly = scheduler_.now() < unruly_until_;
  const uint64_t spread = unruly ? 60000 : 2000;
  return absl::Microseconds(300 + random_->Below(spread));
}

// -- Callers

void World::Submit(Instance* instance,
                   core::RequestArrived event,
                   const std::string& filing) {
  const std::string request = event.spec.id.text();
  const absl::Time deadline = scheduler_.now() + event.time_limit;
  Note(absl::StrCat(instance->name(), " takes ", request, " prompt ",
                    event.spec.prompt.value(), " limit ",
                    absl::FormatDuration(event.time_limit)));
  reference_.Submitted(scheduler_.now(), request, deadline, filing);
  if (scheduler_.now() < instance->paused_until) {
    // A paused process takes it when it wakes.
    reference_.Forgive(request, instance->paused_until - scheduler_.now());
  }
  instance->requests.insert(request);
  if (!filing.empty()) {
    filing_of_request_[request] = filing;
  }
  Deliver(instance->life, std::move(event));
}

void World::SendPrompt(Instance* instance,
                       Tokens prompt,
                       absl::Duration limit,
                       Fingerprint fingerprint) {
  core::RequestArrived event;
  event.spec.id = RequestId(absl::StrCat("r", next_request_++));
  event.spec.account = ClientAccountId(kAccount);
  event.spec.model = ModelId(kModel);
  event.spec.prompt = prompt;
  // Some answers are long enough that faults meet them in the middle.
  const uint64_t longest = random_->Below(5) == 0 ? 400 : 30;
  event.spec.max_output =
      Tokens(4 + static_cast<int64_t>(random_->Below(longest)));
  event.spec.fingerprint = fingerprint;
  event.time_limit = limit;
  event.body = std::make_shared<const std::string>(event.spec.id.text());
  Submit(instance, std::move(event), "");
}

void World::BeginFiling(const Command& command) {
  Instance* instance = Pick(command.a);
  if (instance == nullptr) {
    return;
  }
  auto filing = std::make_unique<Filing>();
  filing->name = absl::StrCat("filing", next_request_++);
  filing->submissions_left = 1 + static_cast<int>(command.c % 4);
  filing->next_instance = command.a / 7 + command.c;
  const std::string name = filing->name;
  const bool by_key = command.b % 3 == 0;
  if (by_key) {
    filing->key = name;
  }

  filings_[name] = std::move(filing);
  if (by_key) {
    SubmitFiling(name);
    return;
  }
  Deliver(instance->life,
          core::TicketRequested{RequestId(name), ClientAccountId(kAccount),
                                ServiceId(kService), kCall});
}

void World::AttackFiling() {
  // A service fails while the call is on it or on its way.
  for (auto& [name, target] : targets_) {
    if (target->traits().info.kind != core::TargetKind::kService ||
        random_->Below(2) == 0) {
      continue;
    }
    FakeTarget* it = target.get();
    const bool dies = random_->Below(2) == 0;
    scheduler_.After(absl::Milliseconds(random_->Below(40)), [it, dies] {
      if (dies) {
        it->Die(absl::Milliseconds(400));
      } else {
        it->GoSilent(absl::Milliseconds(400));
      }
    });
  }
}

void World::SubmitFiling(const std::string& name) {
  Filing& filing = *filings_.at(name);
  Instance* instance = Pick(filing.next_instance++);
  if (filing.submissions_left == 0 || instance == nullptr) {
    return;
  }
  --filing.submissions_left;
  core::RequestArrived event;
  event.spec.id = RequestId(absl::StrCat(name, "/", next_request_++));
  event.spec.kind = core::RequestKind::kServiceCall;
  event.spec.account = ClientAccountId(kAccount);
  event.spec.service = ServiceId(kService);
  event.spec.call = kCall;
  event.spec.ticket = filing.ticket;
  event.spec.idempotency_key = filing.key;
  event.time_limit = absl::Seconds(8);
  event.body = std::make_shared<const std::string>(name);
  Submit(instance, std::move(event), name);
  // An impatient caller sends it again while the first one runs.
  if (random_->Below(3) == 0) {
    scheduler_.After(absl::Milliseconds(random_->Below(40)),
                     [this, name] { SubmitFiling(name); });
  }
}

void World::OnFilingOutcome(const std::string& name,
                            const core::Outcome& outcome) {
  if (outcome.reason == core::Reason::kOk && random_->Below(2) == 0) {
    return;
  }
  scheduler_.After(absl::Milliseconds(200 + random_->Below(2000)),
                   [this, name] { SubmitFiling(name); });
}

// -- Commands

void World::Run(const std::vector<Command>& commands) {
  for (const Command& it : commands) {
    Note(Describe(it));
    Do(it);
    scheduler_.RunUntil(scheduler_.now() + absl::Milliseconds(it.gap_ms));
  }
  Conclude();
}

void World::Do(const Command& command) {
  const absl::Time now = scheduler_.now();
  Instance* instance = Pick(command.a);
  auto target = targets_.begin();
  std::advance(target, command.a % targets_.size());
  switch (command.kind) {
    case CommandKind::kPrompt: {
      static const int64_t lengths[] = {1000,  2000,  4000,   7000,
                                        12000, 60000, 150000, 900000};
      const Tokens prompt(lengths[command.b % 8]);
      const auto limit =
          absl::Milliseconds(400 + command.c % 20000 + prompt.value() / 10);
      if (instance != nullptr) {
        SendPrompt(instance, prompt, limit, Fingerprint(next_request_ * 77));
      }
      return;
    }
    case CommandKind::kBurst:
      for (uint32_t i = 0; instance != nullptr && i < 2 + command.b % 12; ++i) {
        SendPrompt(Pick(command.a + i), Tokens(3000), absl::Seconds(10),
                   Fingerprint(next_request_ * 77));
      }
      return;
    case CommandKind::kPoison:
      SendPoison(command.a, command.b, kPoisonResends);
      return;
    case CommandKind::kFiling:
      BeginFiling(command);
      return;
    case CommandKind::kFilingUnderFire:
      BeginFiling(command);
      AttackFiling();
      return;
    case CommandKind::kCrash:
      if (instance != nullptr && Live().size() > 1) {
        KillInstance(instance);
        const auto down = absl::Milliseconds(command.b % 8000);
        scheduler_.After(down, [this] { StartInstance(next_place_++); });
      }
      return;
    case CommandKind::kPause:
      if (instance != nullptr) {
        const auto pause = absl::Milliseconds(200 + command.b % 15000);
        instance->paused_until = std::max(instance->paused_until, now + pause);
        for (const std::string& request : instance->requests) {
          reference_.Forgive(request, pause);
        }
        const uint64_t life = instance->life;
        scheduler_.At(instance->paused_until, [this, life] {
          Instance* it = instances_[life - 1].get();
          if (!it->alive || it->stopped ||
              scheduler_.now() < it->paused_until) {
            return;
          }
          it->tick_at = absl::InfiniteFuture();
          std::deque<core::Event> backlog;
          backlog.swap(it->backlog);
          for (core::Event& event : backlog) {
            Deliver(life, std::move(event));
          }
          ScheduleTick(it);
        });
      }
      return;
    case CommandKind::kPartition: {
      far_side_.clear();
      uint32_t bit = 0;
      for (const auto& it : instances_) {
        if ((command.a >> (bit++ % 32)) & 1) {
          far_side_.insert(it->name());
        }
      }
      if (command.c % 2 == 1) {
        for (const auto& [name, it] : targets_) {
          if ((command.a >> (bit++ % 32)) & 1) {
            far_side_.insert(name);
          }
        }
        if ((command.a >> (bit++ % 32)) & 1) {
          far_side_.insert(kConfig);
        }
      }
      parted_until_ = now + absl::Milliseconds(500 + command.b % 20000);
      knowledge_.Part(now, parted_until_, far_side_);
      ever_parted_ = true;
      return;
    }
    case CommandKind::kUnrulyLinks:
      drop_share_ = (command.a % 20) / 100.0;
      repeat_share_ = (command.b % 30) / 100.0;
      unruly_until_ = now + absl::Milliseconds(command.c % 10000);
      // A lost message parts an instance from a home as a partition does.
      ever_parted_ = ever_parted_ || drop_share_ > 0;
      return;
    case CommandKind::kConfigDown:
      config_down_until_ = now + absl::Milliseconds(command.a % 40000);
      return;
    case CommandKind::kConfigStale:
      if (instance != nullptr) {
        instance->stale_until = now + absl::Milliseconds(command.b % 30000);
        instance->stale_by = absl::Milliseconds(command.c % 30000);
      }
      return;
    case CommandKind::kListsDiffer:
      if (instance != nullptr) {
        instance->list_lag = absl::Milliseconds(command.b % 9000);
      }
      return;
    case CommandKind::kTargetDies:
      target->second->Die(absl::Milliseconds(100 + command.b % 5000));
      return;
    case CommandKind::kTargetCold:
      target->second->TurnCold();
      return;
    case CommandKind::kTargetSilent:
      target->second->GoSilent(absl::Milliseconds(500 + command.b % 5000));
      return;
    case CommandKind::kTargetLeaves: {
      if (left_at_.size() >= 2 || left_at_.count(target->first) != 0) {
        return;
      }
      left_at_[target->first] = now;
      target->second->Leave();
      std::vector<core::TargetInfo> list = platform_.Latest().targets;
      for (core::TargetInfo& it : list) {
        it.leaving = it.leaving || it.id.text() == target->first;
      }
      platform_.SetTargets(now, std::move(list));
      return;
    }
    case CommandKind::kDataCentre:
      CloseOrOpen(command.a);
      return;
    case CommandKind::kVersion:
      PublishVersion();
      return;
    case CommandKind::kStop:
      if (instance != nullptr && !instance->stopping && Live().size() > 1) {
        StopInstance(instance);
        scheduler_.After(absl::Milliseconds(command.b % 8000),
                         [this] { StartInstance(next_place_++); });
      }
      return;
    case CommandKind::kCount:
      return;
  }
}

void World::CloseOrOpen(uint32_t n) {
  manifest::Manifest next = platform_.manifest();
  manifest::DataCentre& centre =
      next.data_centres[n % next.data_centres.size()];
  centre.open = !centre.open;
  const std::string name = centre.id.text();
  const bool open = centre.open;
  platform_.Publish(scheduler_.now(), std::move(next));
  if (open) {
    closed_.erase(name);
  } else {
    closed_[name] = {platform_.manifest().revision, scheduler_.now()};
  }
}

void World::PublishVersion() {
  manifest::Manifest next = platform_.manifest();
  next.models[0].version = absl::StrCat(std::stoi(next.models[0].version) + 1);
  platform_.Publish(scheduler_.now(), std::move(next));
}

void World::SendPoison(uint32_t at, uint32_t content, int resends) {
  Instance* instance = Pick(at);
  if (instance == nullptr) {
    return;
  }
  SendPrompt(instance, Tokens(2000), absl::Seconds(6),
             Fingerprint(kPoisonBit | (content % 3 + 1)));
  if (resends > 0) {
    scheduler_.After(absl::Milliseconds(random_->Below(3000)),
                     [this, at, content, resends] {
                       SendPoison(at + 1, content, resends - 1);
                     });
  }
}

// -- Checks

void World::CheckStart(const Instance& instance,
                       const core::StartAttempt& start) {
  const absl::Time now = scheduler_.now();
  for (const TargetId& it : start.group) {
    const FakeTarget& target = *targets_.at(it.text());
    const std::string centre = target.traits().info.data_centre.text();
    const auto closed = closed_.find(centre);
    const bool knew = closed != closed_.end() &&
                      now - closed->second.second > kTakesEffect &&
                      now - instance.behind_since > kTakesEffect;
    const bool in_force =
        closed != closed_.end() && instance.revision >= closed->second.first;
    if (knew || in_force) {
      reference_.Violated(
          now, absl::StrCat("new work to closed data centre ", centre, " by ",
                            instance.name(), " at revision ",
                            instance.revision.value()));
    }
    const auto told = instance.told_leaving.find(it.text());
    if (told != instance.told_leaving.end() &&
        now - told->second > kTakesEffect) {
      reference_.Violated(
          now, absl::StrCat("new work to leaving target ", it.text(), " by ",
                            instance.name()));
    }
  }
}

void World::CheckRevision(Instance* instance) {
  const manifest::Manifest* manifest = instance->node->manifest();
  if (manifest == nullptr) {
    return;
  }
  if (manifest->revision < instance->revision) {
    reference_.Violated(scheduler_.now(),
                        absl::StrCat("revision fell at ", instance->name()));
  }
  instance->revision = manifest->revision;
}

bool World::CanReach(const Instance& reader, ManifestRevision revision) {
  const absl::Time now = scheduler_.now();
  if (now >= config_down_until_ && now >= reader.stale_until &&
      !Parted(reader.name(), kConfig) &&
      platform_.Latest().head.revision > revision) {
    return true;
  }
  for (const auto& it : instances_) {
    const bool there = it->alive && !it->stopped && now >= it->paused_until;
    if (there && it->revision > revision &&
        !Parted(reader.name(), it->name())) {
      return true;
    }
  }
  return false;
}

void World::Observe() {
  const absl::Time now = scheduler_.now();
  for (const auto& it : instances_) {
    if (!it->alive || it->stopped) {
      continue;
    }
    const bool unruly = now < unruly_until_;
    const bool paused = now < it->paused_until;
    if (unruly || paused || !CanReach(*it, it->revision)) {
      it->behind_since = absl::InfiniteFuture();
    } else {
      it->behind_since = std::min(it->behind_since, now);
    }
  }
  scheduler_.After(kObserve, [this] { Observe(); });
}

void World::Conclude() {
  // Everything heals; what was admitted must end, what was held must be freed.
  parted_until_ = scheduler_.now();
  knowledge_.Heal(scheduler_.now());
  unruly_until_ = scheduler_.now();
  config_down_until_ = scheduler_.now();
  for (const auto& it : instances_) {
    it->stale_until = scheduler_.now();
  }
  scheduler_.RunUntil(scheduler_.now() + kLeakBound + absl::Seconds(150));
  const absl::Time now = scheduler_.now();
  NoteStatus();
  for (const auto& [name, target] : targets_) {
    for (const core::Allocation& held : target->allocations()) {
      const bool live = std::any_of(
          instances_.begin(), instances_.end(), [&](const auto& it) {
            return it->alive && !it->stopped && it->ref == held.holder;
          });
      reference_.Violated(
          now, absl::StrCat(live ? "memory held for an ended request on "
                                 : "memory of a dead holder on ",
                            name, " for ", held.request.text()));
    }
  }
  NoteDeaths();
  CheckDeaths();
  for (const auto& it : instances_) {
    if (it->alive && it->stopping && !it->stopped) {
      reference_.Violated(now, absl::StrCat("never stopped: ", it->name()));
    }
  }
  reference_.Conclude(now);
}

void World::NoteDeaths() {
  for (const auto& [name, target] : targets_) {
    for (const FakeTarget::Death& it : target->deaths()) {
      Note(absl::StrCat(
          name, " died of content ", it.fingerprint.value() & ~kPoisonBit,
          " at ",
          absl::FormatDuration(it.at - absl::UnixEpoch() - absl::Hours(1))));
    }
  }
}

void World::CheckDeaths() {
  std::map<Fingerprint, std::vector<FakeTarget::Death>> deaths;
  for (const auto& [name, target] : targets_) {
    for (const FakeTarget::Death& it : target->deaths()) {
      deaths[it.fingerprint].push_back(it);
    }
  }
  const int allowed = ever_parted_ ? 3 : 2;
  for (auto& [fingerprint, all] : deaths) {
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    for (auto it = all.begin(); it != all.end(); ++it) {
      // Instances keep nothing: when all that knew are gone, so is the count.
      const auto n =
          1 + std::count_if(all.begin(), it, [&](const auto& before) {
            return Remembered(before, it->at);
          });
      if (n > allowed) {
        reference_.Violated(scheduler_.now(),
                            absl::StrCat("poison killed ", n, " targets"));
      }
    }
  }
}

bool World::Remembered(const FakeTarget::Death& death, absl::Time until) const {
  std::vector<Life> lives;
  Life witness;
  for (const auto& it : instances_) {
    lives.push_back({it->life, it->name(), it->started, it->ended});
    if (it->ref == death.witness) {
      witness = lives.back();
    }
  }
  return knowledge_.Kept(lives, witness, death.at, until);
}

void World::NoteStatus() {
  for (Instance* instance : Live()) {
    const core::NodeStatus status = instance->node->Status(scheduler_.now());
    Note(absl::StrCat(instance->name(), " ends at revision ",
                      status.revision.value(), status.ready ? " ready" : ""));
    for (const core::TargetStatus& it : status.owned) {
      Note(absl::StrCat("  ", it.id.text(), " claim ",
                        static_cast<int>(it.claim), " state ",
                        static_cast<int>(it.state), " in flight ",
                        it.in_flight.value(), " budget ", it.budget.value()));
    }
  }
}

void World::Note(const std::string& line) {
  if (tracing_) {
    trace_.push_back(
        absl::StrCat(absl::FormatDuration(scheduler_.now() - absl::UnixEpoch() -
                                          absl::Hours(1)),
                     " ", line));
  }
}

}  // namespace umbertrail::sim
