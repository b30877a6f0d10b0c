#ifndef UMBERTRAIL_DISPATCH_ROUTE_TABLE_H_
#define UMBERTRAIL_DISPATCH_ROUTE_TABLE_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "umbertrail/dispatch/config.h"

namespace umbertrail::dispatch {

// Routing by host and longest matching path prefix.
class RouteTable {
 public:
  RouteTable() = default;
  // `routes` must outlive the table.
  explicit RouteTable(const std::vector<Route>& routes);

  // `host` may carry a port, which is ignored. Null when none matches.
  const Route* Find(absl::string_view host, absl::string_view path) const;

 private:
  // By host in lower case, then by prefix.
  absl::flat_hash_map<std::string,
                      absl::flat_hash_map<std::string, const Route*>>
      by_host_;
};

// Selects one of the route's services by weight; `uniform` lies in [0, 1).
ServiceId ChooseService(const Route& route, double uniform);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_ROUTE_TABLE_H_
