#ifndef UMBERTRAIL_TOOLS_CAPACITY_SLOPE_H_
#define UMBERTRAIL_TOOLS_CAPACITY_SLOPE_H_

#include <vector>

namespace umbertrail::capacity {

// One measurement: a cost at a size.
struct Point {
  double size = 0;
  double cost = 0;
};

// The least squares line through points.
struct Line {
  double base = 0;
  double slope = 0;
  // Part of the costs' variance that the line explains, 0 to 1.
  double r2 = 0;
};

// Precondition: at least two points of different size.
Line FitLine(const std::vector<Point>& points);

}  // namespace umbertrail::capacity

#endif  // UMBERTRAIL_TOOLS_CAPACITY_SLOPE_H_
