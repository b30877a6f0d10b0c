#include "umbertrail/daemon/ticket_text.h"

#include <catch2/catch.hpp>

#include "umbertrail/daemon/ticket_signer.h"

namespace umbertrail::daemon {
namespace {

core::Ticket Example() {
  core::Ticket ticket;
  ticket.issuer = {InstanceId("10.0.0.1:7000"), Incarnation(~uint64_t{0})};
  ticket.serial = 42;
  ticket.account = ClientAccountId("club");
  ticket.service = ServiceId("filing");
  ticket.call = "submit";
  ticket.mac = std::string("\x00\xff\x10", 3);
  return ticket;
}

TEST_CASE("a ticket survives its text form") {
  const std::string text = FormatTicket(Example());
  const auto parsed = ParseTicket(text);
  REQUIRE(IsOk(parsed));
  const core::Ticket& ticket = ValueOf(parsed);
  CHECK(ticket.issuer == Example().issuer);
  CHECK(ticket.serial == 42);
  CHECK(ticket.account == Example().account);
  CHECK(ticket.service == Example().service);
  CHECK(ticket.call == "submit");
  CHECK(ticket.mac == Example().mac);
}

TEST_CASE("damaged ticket text is refused or stays a ticket") {
  const auto random = MakeSeededRandom(11);
  const std::string text = FormatTicket(Example());
  for (size_t n = 0; n < text.size(); ++n) {
    CHECK_FALSE(IsOk(ParseTicket(text.substr(0, n))));
  }
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = text;
    damaged[random->Below(damaged.size())] = static_cast<char>(random->Next());
    ParseTicket(damaged);
  }
  CHECK_FALSE(IsOk(ParseTicket(std::string(kMaxTicketText + 1, 'A'))));
}

TEST_CASE("only the signer's own MAC verifies") {
  const auto random = MakeSeededRandom(1);
  const HmacTicketSigner signer(random.get());
  const HmacTicketSigner other(random.get());
  const std::string mac = signer.Sign("text");
  CHECK(mac.size() == 32);
  CHECK(signer.Verify("text", mac));
  CHECK_FALSE(signer.Verify("texts", mac));
  CHECK_FALSE(signer.Verify("text", mac.substr(1)));
  CHECK_FALSE(other.Verify("text", mac));
}

}  // namespace
}  // namespace umbertrail::daemon
