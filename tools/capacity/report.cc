#include "report.h"

#include <iostream>

#include "absl/strings/str_format.h"

namespace umbertrail::capacity {

void PrintSeries(const std::string& name,
                 const std::string& size_unit,
                 const std::string& cost_unit,
                 const std::vector<Point>& points) {
  std::cout << name << " [" << cost_unit << " by " << size_unit << "]:";
  for (const Point& it : points) {
    std::cout << absl::StrFormat(" %g=%.4g", it.size, it.cost);
  }
  const Line line = FitLine(points);
  std::cout << absl::StrFormat(" | %.4g + %.4g x size (r2 %.3f)\n", line.base,
                               line.slope, line.r2);
}

void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit) {
  std::cout << absl::StrFormat("%s: %.4g %s\n", name, value, unit);
}

}  // namespace umbertrail::capacity
