#include "wire.h"

#include <string>
#include <utility>

#include "umbertrail/http/json_fields.h"

namespace umbertrail::confservice::detail {
namespace {

using http::FindField;
using http::FlagField;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;

std::optional<manifest::Head> ParseHead(const json& value) {
  const auto revision = NumberField(value, "revision");
  const json* parts = FindField(value, "parts");
  if (!revision.has_value() || parts == nullptr || !parts->is_array()) {
    return std::nullopt;
  }
  manifest::Head head;
  head.revision = ManifestRevision(static_cast<uint64_t>(*revision));
  for (const json& it : *parts) {
    auto name = TextField(it, "name");
    auto hash = TextField(it, "hash");
    if (!name.has_value() || !hash.has_value()) {
      return std::nullopt;
    }
    head.parts.push_back({*std::move(name), *std::move(hash)});
  }
  return head;
}

std::optional<core::InstanceInfo> ParseInstance(const json& value) {
  auto id = TextField(value, "id");
  auto data_centre = TextField(value, "data_centre");
  if (!id.has_value() || !data_centre.has_value()) {
    return std::nullopt;
  }
  core::InstanceInfo instance;
  instance.id = InstanceId(*std::move(id));
  instance.data_centre = DataCentreId(*std::move(data_centre));
  instance.leaving = FlagField(value, "leaving");
  return instance;
}

std::optional<core::TargetKind> ParseKind(const json& value) {
  const auto kind = TextField(value, "kind");
  if (kind == "engine") {
    return core::TargetKind::kEngine;
  }
  if (kind == "service") {
    return core::TargetKind::kService;
  }
  return std::nullopt;
}

std::optional<core::TargetInfo> ParseTarget(const json& value) {
  auto id = TextField(value, "id");
  const auto kind = ParseKind(value);
  auto address = TextField(value, "address");
  auto data_centre = TextField(value, "data_centre");
  if (!id.has_value() || !kind.has_value() || !address.has_value() ||
      !data_centre.has_value()) {
    return std::nullopt;
  }
  core::TargetInfo target;
  target.id = TargetId(*std::move(id));
  target.kind = *kind;
  target.address = *std::move(address);
  target.data_centre = DataCentreId(*std::move(data_centre));
  target.service = ServiceId(TextField(value, "service").value_or(""));
  target.engine_class = TextField(value, "engine_class").value_or("");
  target.leaving = FlagField(value, "leaving");
  return target;
}

// Reads an optional array field with `parse`. False when an element is
// malformed.
template <typename Element>
bool ParseList(const json& value,
               const char* name,
               std::optional<Element> (*parse)(const json&),
               std::optional<std::vector<Element>>& list) {
  const json* field = FindField(value, name);
  if (field == nullptr) {
    return true;
  }
  if (!field->is_array()) {
    return false;
  }
  list.emplace();
  for (const json& it : *field) {
    auto element = parse(it);
    if (!element.has_value()) {
      return false;
    }
    list->push_back(*std::move(element));
  }
  return true;
}

}  // namespace

std::optional<WatchAnswer> ParseWatch(std::string_view body) {
  const json value = ParseJson(body);
  const auto version = NumberField(value, "version");
  const auto instances_version = NumberField(value, "instances_version");
  const auto targets_version = NumberField(value, "targets_version");
  const json* head_field = FindField(value, "head");
  if (!version.has_value() || !instances_version.has_value() ||
      !targets_version.has_value() || head_field == nullptr) {
    return std::nullopt;
  }
  auto head = ParseHead(*head_field);
  if (!head.has_value()) {
    return std::nullopt;
  }
  WatchAnswer answer;
  answer.version = static_cast<uint64_t>(*version);
  answer.head = *std::move(head);
  answer.instances_version = static_cast<uint64_t>(*instances_version);
  answer.targets_version = static_cast<uint64_t>(*targets_version);
  if (!ParseList(value, "instances", ParseInstance, answer.instances) ||
      !ParseList(value, "targets", ParseTarget, answer.targets)) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace umbertrail::confservice::detail
