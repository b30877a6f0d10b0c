#ifndef UMBERTRAIL_CLI_SRC_SVG_PLOT_H_
#define UMBERTRAIL_CLI_SRC_SVG_PLOT_H_

#include <string>
#include <vector>

namespace umbertrail::cli {

// One curve: the distribution of its values.
struct Curve {
  std::string name;
  std::vector<double> values;
};

// An SVG picture of the curves' cumulative distributions over a logarithmic
// axis named `axis`. Values of 0 and below are left out.
std::string PlotDistributions(const std::string& axis,
                              const std::vector<Curve>& curves);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_SVG_PLOT_H_
