#include "slope.h"

namespace umbertrail::capacity {

Line FitLine(const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_cost = 0;
  for (const Point& it : points) {
    mean_size += it.size / n;
    mean_cost += it.cost / n;
  }
  double size_variance = 0;
  double cost_variance = 0;
  double covariance = 0;
  for (const Point& it : points) {
    size_variance += (it.size - mean_size) * (it.size - mean_size);
    cost_variance += (it.cost - mean_cost) * (it.cost - mean_cost);
    covariance += (it.size - mean_size) * (it.cost - mean_cost);
  }
  Line out;
  out.slope = covariance / size_variance;
  out.base = mean_cost - out.slope * mean_size;
  out.r2 = cost_variance > 0
               ? covariance * covariance / (size_variance * cost_variance)
               : 1;
  return out;
}

}  // namespace umbertrail::capacity
