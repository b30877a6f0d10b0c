#ifndef UMBERTRAIL_TOOLS_DEMO_FILING_H_
#define UMBERTRAIL_TOOLS_DEMO_FILING_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "demo/caller.h"

namespace umbertrail::demo {

struct FilingCall {
  std::string service;
  std::string call;
  std::string body;
};

// Asks an entry for a ticket; nothing when it gives none.
std::optional<std::string> AskTicket(const std::string& entry,
                                     const Account& account,
                                     const FilingCall& filing);

struct FilingResult {
  TryEnd end = TryEnd::kNoAnswer;
  std::string reason;
  std::string ran;
  // The service's answer.
  std::string answer;
};

// Submits a filing with its ticket, once.
FilingResult Submit(const std::string& entry,
                    const Account& account,
                    const FilingCall& filing,
                    const std::string& ticket);

// Counts of the service stand-in; nothing when it doesn't answer.
struct ServiceCounts {
  int64_t runs = 0;
  int64_t duplicates = 0;
};
std::optional<ServiceCounts> ReadServiceCounts(const std::string& service);

}  // namespace umbertrail::demo

#endif  // UMBERTRAIL_TOOLS_DEMO_FILING_H_
