#ifndef UMBERTRAIL_CORE_REQUEST_REQUEST_TABLE_H_
#define UMBERTRAIL_CORE_REQUEST_REQUEST_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "umbertrail/core/request/active_request.h"

namespace umbertrail::core {

// The active requests in id order, and when each wants attention. Iteration
// order is the same in every run, so that a seed replays.
class RequestTable {
 public:
  // Precondition: no active request has this id.
  ActiveRequest& Add(ActiveRequest request);
  // Null when there is none.
  ActiveRequest* Find(const RequestId& id);
  void Remove(const RequestId& id);

  // Sets when the request wants attention; the deadline holds besides.
  void WakeAt(ActiveRequest* request, absl::Time at);

  // Requests whose wake or deadline has come, soonest first.
  std::vector<RequestId> Due(absl::Time now) const;
  absl::Time NextWakeup() const;

  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }

  using Map = std::map<RequestId, std::unique_ptr<ActiveRequest>>;
  const Map& all() const { return requests_; }

 private:
  using Timer = std::pair<absl::Time, RequestId>;

  static Timer TimerOf(const ActiveRequest& request);

  Map requests_;
  std::set<Timer> timers_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_REQUEST_TABLE_H_
