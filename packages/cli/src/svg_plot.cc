#include "svg_plot.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace umbertrail::cli {
namespace {

// Picture and plot area, in pixels.
constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kLeft = 60;
constexpr double kRight = 620;
constexpr double kTop = 20;
constexpr double kBottom = 350;
constexpr double kLegendLine = 18;

// Points of a curve; more would not show.
constexpr size_t kMaxPoints = 200;

constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"};

// The decades that the axis covers.
struct Axis {
  double low = 0;
  double high = 1;

  double PixelOf(double value) const {
    const double part = (std::log10(value) - low) / (high - low);
    return kLeft + part * (kRight - kLeft);
  }
};

Axis AxisOf(const std::vector<Curve>& curves) {
  double low = std::numeric_limits<double>::infinity();
  double high = -std::numeric_limits<double>::infinity();
  for (const Curve& curve : curves) {
    for (const double it : curve.values) {
      if (it > 0) {
        low = std::min(low, std::floor(std::log10(it)));
        high = std::max(high, std::ceil(std::log10(it)));
      }
    }
  }
  if (!(low <= high)) {
    return Axis();
  }
  return Axis{low, std::max(high, low + 1)};
}

std::string TextAt(double x, double y, const std::string& text) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\">%s</text>\n", x, y, text);
}

std::string LineBetween(double x1, double y1, double x2, double y2) {
  return absl::StrFormat(
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
      "stroke=\"#cccccc\"/>\n",
      x1, y1, x2, y2);
}

double HeightOf(double part) {
  return kBottom - part * (kBottom - kTop);
}

std::string GridText(const Axis& axis, const std::string& name) {
  std::string out;
  for (double decade = axis.low; decade <= axis.high; ++decade) {
    const double x = axis.PixelOf(std::pow(10, decade));
    out += LineBetween(x, kTop, x, kBottom);
    out += TextAt(x - 10, kBottom + kLegendLine,
                  absl::StrFormat("%g", std::pow(10, decade)));
  }
  for (const double part : {0.0, 0.25, 0.5, 0.75, 0.95, 1.0}) {
    out += LineBetween(kLeft, HeightOf(part), kRight, HeightOf(part));
    out +=
        TextAt(kLeft - 40, HeightOf(part) + 4, absl::StrFormat("%.2f", part));
  }
  return out + TextAt(kLeft, kBottom + 2 * kLegendLine, name);
}

std::string CurveText(const Axis& axis, const Curve& curve, size_t index) {
  std::vector<double> values;
  for (const double it : curve.values) {
    if (it > 0) {
      values.push_back(it);
    }
  }
  std::sort(values.begin(), values.end());
  const size_t n = std::min(values.size(), kMaxPoints);
  std::string points;
  for (size_t i = 0; i < n; ++i) {
    const size_t rank = (i + 1) * values.size() / n;
    const double part =
        static_cast<double>(rank) / static_cast<double>(values.size());
    absl::StrAppend(
        &points, absl::StrFormat("%.1f,%.1f ", axis.PixelOf(values[rank - 1]),
                                 HeightOf(part)));
  }
  const char* colour = kColours[index % std::size(kColours)];
  const double y = kTop + static_cast<double>(index + 1) * kLegendLine;
  return absl::StrFormat(
      "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
      "points=\"%s\"/>\n<text x=\"%.1f\" y=\"%.1f\" fill=\"%s\">%s (%d)"
      "</text>\n",
      colour, points, kLeft + 10, y, colour, curve.name, values.size());
}

}  // namespace

std::string PlotDistributions(const std::string& axis_name,
                              const std::vector<Curve>& curves) {
  const Axis axis = AxisOf(curves);
  std::string out = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      kWidth, kHeight);
  out += GridText(axis, axis_name);
  for (size_t i = 0; i < curves.size(); ++i) {
    out += CurveText(axis, curves[i], i);
  }
  return out + "</svg>\n";
}

}  // namespace umbertrail::cli
