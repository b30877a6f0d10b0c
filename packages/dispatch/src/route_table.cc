#include "umbertrail/dispatch/route_table.h"

#include "absl/strings/ascii.h"
#include "absl/strings/string_view.h"

namespace umbertrail::dispatch {

bool MayRunAgain(Repeat repeat) {
  return repeat == Repeat::kSafe || repeat == Repeat::kResumableStream;
}

bool IsStream(Repeat repeat) {
  return repeat == Repeat::kStream || repeat == Repeat::kResumableStream;
}

RouteTable::RouteTable(const std::vector<Route>& routes) {
  for (const Route& route : routes) {
    by_host_[absl::AsciiStrToLower(route.host)][route.prefix] = &route;
  }
}

const Route* RouteTable::Find(absl::string_view host,
                              absl::string_view path) const {
  const auto routes =
      by_host_.find(absl::AsciiStrToLower(host.substr(0, host.find(':'))));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  // Every prefix ends with a slash: start at the path's last one.
  size_t end = path.rfind('/');
  while (end != absl::string_view::npos) {
    const auto route = routes->second.find(path.substr(0, end + 1));
    if (route != routes->second.end()) {
      return route->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

ServiceId ChooseService(const Route& route, double uniform) {
  double total = 0;
  for (const WeightedService& weighted : route.services) {
    total += weighted.weight;
  }
  double remaining = uniform * total;
  for (const WeightedService& weighted : route.services) {
    remaining -= weighted.weight;
    if (remaining < 0) {
      return weighted.service;
    }
  }
  return route.services.back().service;
}

}  // namespace umbertrail::dispatch
