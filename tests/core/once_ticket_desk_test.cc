#include <catch2/catch.hpp>

#include "fake_signer.h"
#include "umbertrail/core/once/ticket_desk.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch();

struct Desk {
  FakeSigner signer;
  Mutations mutations;
  InstanceRef self{InstanceId("10.0.0.1:7000"), Incarnation(5)};
  TicketDesk desk{self, &signer, &mutations};

  RequestSpec Spec(const std::string& id) {
    RequestSpec spec;
    spec.id = RequestId(id);
    spec.kind = RequestKind::kServiceCall;
    spec.account = ClientAccountId("club");
    spec.service = ServiceId("desk");
    spec.call = "file";
    return spec;
  }
  RequestSpec SpecWithTicket(const std::string& id) {
    RequestSpec spec = Spec(id);
    spec.ticket =
        desk.Issue(kStart, {spec.id, spec.account, spec.service, spec.call});
    return spec;
  }
  static Outcome Ended(Ran ran) {
    Outcome outcome;
    outcome.ran = ran;
    return outcome;
  }
};

TEST_CASE("a ticket is redeemed once") {
  Desk it;
  const RequestSpec spec = it.SpecWithTicket("r1");
  CHECK(std::holds_alternative<TicketDesk::Redeemed>(
      it.desk.Redeem(kStart, spec)));
  const auto again = it.desk.Redeem(kStart, spec);
  REQUIRE(std::holds_alternative<TicketDesk::InProgress>(again));
  CHECK(std::get<TicketDesk::InProgress>(again).request == RequestId("r1"));
  it.desk.Finish(kStart, *spec.ticket, Desk::Ended(Ran::kYes));
  CHECK(std::holds_alternative<TicketDesk::Recorded>(
      it.desk.Redeem(kStart, spec)));
}

TEST_CASE("a ticket whose run sent nothing can be redeemed again") {
  Desk it;
  const RequestSpec spec = it.SpecWithTicket("r1");
  it.desk.Redeem(kStart, spec);
  it.desk.Finish(kStart, *spec.ticket, Desk::Ended(Ran::kNo));
  CHECK(std::holds_alternative<TicketDesk::Redeemed>(
      it.desk.Redeem(kStart, spec)));
}

TEST_CASE("a run of unknown end is never run again") {
  Desk it;
  const RequestSpec spec = it.SpecWithTicket("r1");
  it.desk.Redeem(kStart, spec);
  it.desk.Finish(kStart, *spec.ticket, Desk::Ended(Ran::kUnknown));
  const auto again = it.desk.Redeem(kStart, spec);
  REQUIRE(std::holds_alternative<TicketDesk::Recorded>(again));
  CHECK(std::get<TicketDesk::Recorded>(again).outcome.ran == Ran::kUnknown);
}

TEST_CASE("a forged or misused ticket is refused and did not run") {
  Desk it;
  RequestSpec forged = it.SpecWithTicket("r1");
  forged.ticket->serial += 1;
  RequestSpec misused = it.SpecWithTicket("r2");
  misused.call = "book";
  for (const RequestSpec& spec : {forged, misused}) {
    const auto result = it.desk.Redeem(kStart, spec);
    REQUIRE(std::holds_alternative<TicketDesk::Refused>(result));
    CHECK(std::get<TicketDesk::Refused>(result).reason ==
          Reason::kTicketInvalid);
    CHECK(std::get<TicketDesk::Refused>(result).ran == Ran::kNo);
  }
}

TEST_CASE("an expired ticket is refused, and unknown once it is forgotten") {
  Desk it;
  const RequestSpec spec = it.SpecWithTicket("r1");
  const absl::Time later = kStart + TicketDesk::kValidFor + absl::Seconds(1);
  const auto expired = it.desk.Redeem(later, spec);
  REQUIRE(std::holds_alternative<TicketDesk::Refused>(expired));
  CHECK(std::get<TicketDesk::Refused>(expired).ran == Ran::kNo);
  const auto forgotten = it.desk.Redeem(later, spec);
  REQUIRE(std::holds_alternative<TicketDesk::Refused>(forgotten));
  CHECK(std::get<TicketDesk::Refused>(forgotten).ran == Ran::kUnknown);
}

TEST_CASE("hand-over parts hold every redeemed ticket") {
  Desk it;
  for (int i = 0; i < 450; ++i) {
    const RequestSpec spec = it.SpecWithTicket("r" + std::to_string(i));
    it.desk.Redeem(kStart, spec);
  }
  const auto parts = it.desk.Handover(kStart);
  REQUIRE(parts.size() == 3);
  std::size_t n = 0;
  for (const RedemptionHandover& part : parts) {
    CHECK(part.parts == 3);
    CHECK(part.complete_from == 1);
    n += part.records.size();
  }
  CHECK(n == 450);
}

}  // namespace
}  // namespace umbertrail::core
