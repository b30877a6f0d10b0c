#include "umbertrail/logbook/log_line.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace umbertrail::logbook {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kMillisecondsPerSecond = 1000;

const Value* Find(const LogLine& line, absl::string_view name) {
  const auto found =
      std::find_if(line.fields.begin(), line.fields.end(),
                   [name](const auto& it) { return it.first == name; });
  return found == line.fields.end() ? nullptr : &found->second;
}

// None for types that instances do not write: objects, arrays and null.
std::optional<Value> ValueOf(const Json& json) {
  if (json.is_boolean()) {
    return Value(json.get<bool>());
  }
  if (json.is_number_integer()) {
    return Value(json.get<int64_t>());
  }
  if (json.is_number()) {
    return Value(json.get<double>());
  }
  if (json.is_string()) {
    return Value(json.get<std::string>());
  }
  return std::nullopt;
}

// The recorder's time, if the text before the object is a number and a name.
std::optional<double> RecordedAt(absl::string_view before) {
  const std::vector<std::string> words =
      absl::StrSplit(before, ' ', absl::SkipEmpty());
  double at = 0;
  if (words.size() != 2 || !absl::SimpleAtod(words[0], &at)) {
    return std::nullopt;
  }
  return at;
}

}  // namespace

absl::string_view LogLine::Text(absl::string_view name) const {
  const Value* value = Find(*this, name);
  const auto* text =
      value == nullptr ? nullptr : std::get_if<std::string>(value);
  return text == nullptr ? absl::string_view() : absl::string_view(*text);
}

std::optional<int64_t> LogLine::Number(absl::string_view name) const {
  const Value* value = Find(*this, name);
  const auto* number = value == nullptr ? nullptr : std::get_if<int64_t>(value);
  return number == nullptr ? std::nullopt : std::optional<int64_t>(*number);
}

bool LogLine::Flag(absl::string_view name) const {
  const Value* value = Find(*this, name);
  const auto* flag = value == nullptr ? nullptr : std::get_if<bool>(value);
  return flag != nullptr && *flag;
}

std::optional<LogLine> ParseLogLine(absl::string_view text) {
  const size_t begin = text.find('{');
  if (begin == absl::string_view::npos) {
    return std::nullopt;
  }
  const absl::string_view before = text.substr(0, begin);
  const std::optional<double> recorded = RecordedAt(before);
  if (!recorded && before.find_first_not_of(' ') != absl::string_view::npos) {
    return std::nullopt;
  }
  const Json json = Json::parse(text.begin() + begin, text.end(), nullptr,
                                /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  LogLine line;
  bool timed = recorded.has_value();
  line.at_s = recorded.value_or(0);
  for (const auto& [name, field] : json.items()) {
    std::optional<Value> value = ValueOf(field);
    if (name == "t_ms" && field.is_number()) {
      timed = true;
      line.at_s =
          recorded.value_or(field.get<double>() / kMillisecondsPerSecond);
    } else if (name == "instance" && field.is_string()) {
      line.instance = field.get<std::string>();
    } else if (name == "event" && field.is_string()) {
      line.event = field.get<std::string>();
    } else if (value.has_value()) {
      line.fields.emplace_back(name, *std::move(value));
    }
  }
  if (!timed || line.instance.empty() || line.event.empty()) {
    return std::nullopt;
  }
  return line;
}

std::string WriteFields(const LogLine& line) {
  std::string out;
  for (const auto& [name, value] : line.fields) {
    absl::StrAppend(&out, "  ", name, "=");
    if (const auto* text = std::get_if<std::string>(&value)) {
      absl::StrAppend(&out, *text);
    } else {
      std::visit([&out](const auto& it) { out += Json(it).dump(); }, value);
    }
  }
  return out;
}

std::string WriteJson(const LogLine& line) {
  Json json;
  json["at_s"] = line.at_s;
  json["instance"] = line.instance;
  json["event"] = line.event;
  for (const auto& [name, value] : line.fields) {
    std::visit([&json, &name = name](const auto& it) { json[name] = it; },
               value);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace umbertrail::logbook
