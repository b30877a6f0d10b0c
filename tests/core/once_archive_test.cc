#include <catch2/catch.hpp>

#include "umbertrail/core/once/redemption_archive.h"
#include "umbertrail/core/once/ticket_desk.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const InstanceRef kIssuer{InstanceId("10.0.0.1:7000"), Incarnation(5)};

Ticket TicketOf(uint64_t serial) {
  Ticket ticket;
  ticket.issuer = kIssuer;
  ticket.serial = serial;
  return ticket;
}

RedemptionHandover Part(uint32_t part, uint32_t parts) {
  RedemptionHandover handover;
  handover.issuer = kIssuer;
  handover.part = part;
  handover.parts = parts;
  handover.complete_from = 10;
  return handover;
}

TEST_CASE("nothing is said of an issuer that handed nothing over") {
  const RedemptionArchive archive;
  CHECK(archive.Answer(TicketOf(12)).ran == Ran::kUnknown);
}

TEST_CASE("a ticket missing from whole records did not run") {
  RedemptionArchive archive;
  RedemptionHandover handover = Part(0, 1);
  Outcome ok;
  ok.ran = Ran::kYes;
  handover.records = {{TicketToken(TicketOf(11)), true, ok},
                      {TicketToken(TicketOf(12)), false, {}}};
  archive.OnHandover(kStart, handover);
  CHECK(archive.Answer(TicketOf(11)).reason == Reason::kOk);
  CHECK(archive.Answer(TicketOf(12)).ran == Ran::kUnknown);
  CHECK(archive.Answer(TicketOf(13)).ran == Ran::kNo);
  SECTION("but one from before the records is unknown") {
    CHECK(archive.Answer(TicketOf(9)).ran == Ran::kUnknown);
  }
}

TEST_CASE("records with a part missing prove nothing") {
  RedemptionArchive archive;
  archive.OnHandover(kStart, Part(0, 2));
  CHECK(archive.Answer(TicketOf(13)).ran == Ran::kUnknown);
  archive.OnHandover(kStart, Part(1, 2));
  CHECK(archive.Answer(TicketOf(13)).ran == Ran::kNo);
}

TEST_CASE("records are dropped when no ticket can still be valid") {
  RedemptionArchive archive;
  archive.OnHandover(kStart, Part(0, 1));
  archive.OnTick(kStart + RedemptionArchive::kKeep + absl::Seconds(1));
  CHECK(archive.Answer(TicketOf(13)).ran == Ran::kUnknown);
}

}  // namespace
}  // namespace umbertrail::core
