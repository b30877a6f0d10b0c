#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "text_table.h"
#include "umbertrail/core/types.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::ordered_json;

const char* ClassName(Tokens prompt) {
  switch (core::ClassOf(prompt)) {
    case core::LengthClass::kShort:
      return "short";
    case core::LengthClass::kMedium:
      return "medium";
    case core::LengthClass::kLong:
      return "long";
  }
  return "long";
}

Quantiles QuantilesOf(const std::vector<double>& values) {
  return Quantiles{QuantileOf(values, 0.5), QuantileOf(values, 0.95),
                   QuantileOf(values, 0.99)};
}

void CountEnd(CallEnd end, LoadRow& row) {
  switch (end) {
    case CallEnd::kWhole:
      ++row.whole;
      return;
    case CallEnd::kRefused:
      ++row.refused;
      return;
    case CallEnd::kFailed:
      ++row.failed;
      return;
    case CallEnd::kCut:
      ++row.cut;
      return;
    case CallEnd::kUnreachable:
      ++row.unreachable;
      return;
  }
}

// Figures of the samples that `belongs` picks.
LoadRow MakeRow(const std::string& name,
                const LoadResult& result,
                const std::function<bool(const LoadSample&)>& belongs) {
  LoadRow row;
  row.name = name;
  std::vector<double> first_token;
  std::vector<double> total;
  for (const LoadSample& it : result.samples) {
    if (!belongs(it)) {
      continue;
    }
    ++row.planned;
    if (!it.offered) {
      ++row.not_offered;
      continue;
    }
    CountEnd(it.result.end, row);
    if (it.result.end == CallEnd::kWhole) {
      first_token.push_back(absl::ToDoubleMilliseconds(it.first_token));
      total.push_back(absl::ToDoubleMilliseconds(it.total));
    }
  }
  row.first_token = QuantilesOf(first_token);
  row.total = QuantilesOf(total);
  return row;
}

std::vector<LoadRow> MakeClassRows(const LoadResult& result) {
  std::vector<LoadRow> out;
  for (const char* name : {"short", "medium", "long"}) {
    const std::string wanted = name;
    out.push_back(MakeRow(wanted, result, [&](const LoadSample& it) {
      return ClassName(it.arrival.prompt) == wanted;
    }));
  }
  return out;
}

std::vector<LoadRow> MakeAccountRows(const LoadCommand& command,
                                     const LoadResult& result) {
  std::vector<LoadRow> out;
  for (size_t i = 0; i < command.accounts.size(); ++i) {
    out.push_back(
        MakeRow(command.accounts[i].account, result,
                [i](const LoadSample& it) { return it.arrival.account == i; }));
  }
  return out;
}

std::vector<ReasonCount> CountReasons(const LoadResult& result) {
  std::map<std::pair<std::string, std::string>, int64_t> counts;
  for (const LoadSample& it : result.samples) {
    if (!it.result.reason.empty()) {
      ++counts[{it.result.reason, it.result.ran}];
    }
  }
  std::vector<ReasonCount> out;
  for (const auto& [key, count] : counts) {
    out.push_back({key.first, key.second, count});
  }
  return out;
}

Quantiles SlowdownOf(const LoadResult& result, double alone_ms) {
  std::vector<double> ratios;
  for (const LoadSample& it : result.samples) {
    if (it.result.end == CallEnd::kWhole && alone_ms > 0 &&
        core::ClassOf(it.arrival.prompt) == core::LengthClass::kShort) {
      ratios.push_back(absl::ToDoubleMilliseconds(it.first_token) / alone_ms);
    }
  }
  return QuantilesOf(ratios);
}

// -- Text

std::string Number(double value) {
  return absl::StrFormat("%.1f", value);
}

TextTable::Row CellsOf(const LoadRow& row) {
  return {row.name,
          absl::StrCat(row.planned),
          absl::StrCat(row.whole),
          absl::StrCat(row.refused),
          absl::StrCat(row.failed),
          absl::StrCat(row.cut),
          absl::StrCat(row.unreachable),
          absl::StrCat(row.not_offered),
          Number(row.first_token.p50),
          Number(row.first_token.p95),
          Number(row.first_token.p99),
          Number(row.total.p50),
          Number(row.total.p99)};
}

std::string RowsText(const char* title, const std::vector<LoadRow>& rows) {
  TextTable table({title, "PLANNED", "WHOLE", "REFUSED", "FAILED", "CUT",
                   "UNREACHABLE", "NOT OFFERED", "FIRST p50 ms", "p95", "p99",
                   "TOTAL p50 ms", "p99"});
  for (const LoadRow& it : rows) {
    table.Add(CellsOf(it));
  }
  return table.Text();
}

// -- JSON

Json Encode(const Quantiles& quantiles) {
  return {
      {"p50", quantiles.p50}, {"p95", quantiles.p95}, {"p99", quantiles.p99}};
}

Json Encode(const LoadRow& row) {
  return {{"name", row.name},
          {"planned", row.planned},
          {"not_offered", row.not_offered},
          {"whole", row.whole},
          {"refused", row.refused},
          {"failed", row.failed},
          {"cut", row.cut},
          {"unreachable", row.unreachable},
          {"first_token_ms", Encode(row.first_token)},
          {"total_ms", Encode(row.total)}};
}

Json Encode(const ReasonCount& count) {
  return {{"reason", count.reason}, {"ran", count.ran}, {"count", count.count}};
}

template <typename T>
Json EncodeAll(const std::vector<T>& items) {
  Json out = Json::array();
  for (const T& it : items) {
    out.push_back(Encode(it));
  }
  return out;
}

double ReadNumber(const nlohmann::json& json, const char* name) {
  const nlohmann::json* it = http::FindField(json, name);
  return it != nullptr && it->is_number() ? it->get<double>() : 0;
}

Quantiles ReadQuantiles(const nlohmann::json& json, const char* name) {
  const nlohmann::json* it = http::FindField(json, name);
  if (it == nullptr) {
    return Quantiles();
  }
  return Quantiles{ReadNumber(*it, "p50"), ReadNumber(*it, "p95"),
                   ReadNumber(*it, "p99")};
}

LoadRow ReadRow(const nlohmann::json& json) {
  LoadRow out;
  out.name = http::TextField(json, "name").value_or("");
  out.planned = http::NumberField(json, "planned").value_or(0);
  out.not_offered = http::NumberField(json, "not_offered").value_or(0);
  out.whole = http::NumberField(json, "whole").value_or(0);
  out.refused = http::NumberField(json, "refused").value_or(0);
  out.failed = http::NumberField(json, "failed").value_or(0);
  out.cut = http::NumberField(json, "cut").value_or(0);
  out.unreachable = http::NumberField(json, "unreachable").value_or(0);
  out.first_token = ReadQuantiles(json, "first_token_ms");
  out.total = ReadQuantiles(json, "total_ms");
  return out;
}

// -- Comparison

void AddComparison(const std::string& name,
                   double before,
                   double after,
                   TextTable& table) {
  const std::string ratio =
      before > 0 ? absl::StrFormat("%.2f", after / before) : "-";
  table.Add({name, Number(before), Number(after), ratio});
}

}  // namespace

double QuantileOf(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(q * static_cast<double>(values.size()));
  const auto i = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return values[std::min(i, values.size() - 1)];
}

LoadReport MakeReport(const LoadCommand& command, const LoadResult& result) {
  LoadReport out;
  out.classes = MakeClassRows(result);
  out.accounts = MakeAccountRows(command, result);
  out.reasons = CountReasons(result);
  std::vector<double> alone;
  for (const absl::Duration it : result.alone) {
    alone.push_back(absl::ToDoubleMilliseconds(it));
  }
  out.alone_ms = QuantileOf(std::move(alone), 0.5);
  out.slowdown = SlowdownOf(result, out.alone_ms);
  return out;
}

std::string ReportText(const LoadReport& report) {
  std::string out = RowsText("LENGTH", report.classes);
  absl::StrAppend(&out, "\n", RowsText("ACCOUNT", report.accounts));
  absl::StrAppend(
      &out, absl::StrFormat("\nshort prompts: alone %.1f ms, slowdown p50 "
                            "%.2f, p95 %.2f, p99 %.2f\n",
                            report.alone_ms, report.slowdown.p50,
                            report.slowdown.p95, report.slowdown.p99));
  for (const ReasonCount& it : report.reasons) {
    absl::StrAppend(&out, it.count, " times ", it.reason, ", ran: ", it.ran,
                    "\n");
  }
  return out;
}

std::string ReportJson(const LoadReport& report) {
  const Json out = {{"classes", EncodeAll(report.classes)},
                    {"accounts", EncodeAll(report.accounts)},
                    {"reasons", EncodeAll(report.reasons)},
                    {"alone_ms", report.alone_ms},
                    {"slowdown", Encode(report.slowdown)}};
  return out.dump(2, ' ', false, Json::error_handler_t::replace);
}

Result<LoadReport> ParseReport(std::string_view json) {
  const nlohmann::json page = http::ParseJson(json);
  if (http::FindField(page, "classes") == nullptr) {
    return Error{ErrorCode::kCorrupt, "this is no load report"};
  }
  LoadReport out;
  for (const nlohmann::json& it : http::ArrayField(page, "classes")) {
    out.classes.push_back(ReadRow(it));
  }
  for (const nlohmann::json& it : http::ArrayField(page, "accounts")) {
    out.accounts.push_back(ReadRow(it));
  }
  out.alone_ms = ReadNumber(page, "alone_ms");
  out.slowdown = ReadQuantiles(page, "slowdown");
  return out;
}

std::string CompareText(const LoadReport& before, const LoadReport& after) {
  TextTable table({"FIGURE", "BEFORE", "AFTER", "RATIO"});
  const size_t n = std::min(before.classes.size(), after.classes.size());
  for (size_t i = 0; i < n; ++i) {
    const LoadRow& a = before.classes[i];
    const LoadRow& b = after.classes[i];
    AddComparison(b.name + " whole", static_cast<double>(a.whole),
                  static_cast<double>(b.whole), table);
    AddComparison(b.name + " first p50 ms", a.first_token.p50,
                  b.first_token.p50, table);
    AddComparison(b.name + " first p95 ms", a.first_token.p95,
                  b.first_token.p95, table);
    AddComparison(b.name + " first p99 ms", a.first_token.p99,
                  b.first_token.p99, table);
  }
  AddComparison("short slowdown p50", before.slowdown.p50, after.slowdown.p50,
                table);
  AddComparison("short slowdown p95", before.slowdown.p95, after.slowdown.p95,
                table);
  return table.Text();
}

}  // namespace umbertrail::cli
