#ifndef UMBERTRAIL_DAEMON_CALLER_JSON_H_
#define UMBERTRAIL_DAEMON_CALLER_JSON_H_

#include <string>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/daemon/refusal.h"

// The JSON that callers receive.

namespace umbertrail::daemon::detail {

// A whole completion.
struct WholeAnswer {
  std::string id;
  std::string model;
  std::string text;
  Tokens total;
};

std::string FormatWhole(const WholeAnswer& answer);
std::string FormatTicketAnswer(const core::TicketIssued& issued);
std::string FormatRefusal(const Refusal& refusal, const std::string& id);

// Server-sent events, each with its closing blank line.
std::string FormatPart(const std::string& id, const core::RelayChunk& chunk);
std::string FormatEnd(const std::string& id, Tokens total);
std::string FormatStreamRefusal(const Refusal& refusal, const std::string& id);

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_CALLER_JSON_H_
