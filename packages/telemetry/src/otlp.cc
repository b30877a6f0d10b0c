#include <opentracing/ext/tags.h>

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "umbertrail/telemetry/names.h"
#include "umbertrail/telemetry/span_exporter.h"

namespace umbertrail::telemetry {
namespace {

using Json = nlohmann::ordered_json;

// Span kinds and status codes of the OTLP schema.
constexpr int kKindServer = 2;
constexpr int kKindClient = 3;
constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;

void AddText(Json& attributes, std::string_view key, std::string_view value) {
  if (!value.empty()) {
    attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
  }
}

// OTLP/JSON writes 64-bit integers as strings.
void AddInteger(Json& attributes, std::string_view key, int64_t value) {
  attributes.push_back(
      {{"key", key}, {"value", {{"intValue", absl::StrCat(value)}}}});
}

Json AttributesOf(const Span& span) {
  Json out = Json::array();
  const std::string peer_key = opentracing::ext::peer_address;
  AddText(out, "request_id", span.request.text());
  AddText(out, "account", span.account.text());
  AddText(out, "target", span.target.text());
  AddText(out, peer_key, span.peer.text());
  if (span.attempt) {
    AddInteger(out, "attempt", span.attempt->value());
  }
  if (span.reason) {
    AddText(out, "reason", NameOf(*span.reason));
  }
  if (span.ran) {
    AddText(out, "ran", NameOf(*span.ran));
  }
  if (span.tokens) {
    AddInteger(out, "tokens", span.tokens->value());
  }
  return out;
}

Json EncodeSpan(const Span& span) {
  Json out = Json::object();
  out["traceId"] = ToHex(span.trace);
  out["spanId"] = ToHex(span.id);
  if (span.parent.value() != 0) {
    out["parentSpanId"] = ToHex(span.parent);
  }
  out["name"] = NameOf(span.hop);
  out["kind"] = span.hop == Hop::kCaller ? kKindServer : kKindClient;
  out["startTimeUnixNano"] = absl::StrCat(absl::ToUnixNanos(span.start));
  out["endTimeUnixNano"] = absl::StrCat(absl::ToUnixNanos(span.end));
  out["attributes"] = AttributesOf(span);
  out["status"] = {{"code", span.error ? kStatusError : kStatusOk}};
  return out;
}

Json ResourceOf(std::string_view instance) {
  Json attributes = Json::array();
  AddText(attributes, "service.name", "umbertrail");
  AddText(attributes, "service.instance.id", instance);
  return {{"attributes", attributes}};
}

}  // namespace

std::string EncodeOtlp(const std::vector<Span>& spans,
                       std::string_view instance) {
  Json encoded = Json::array();
  for (const Span& it : spans) {
    encoded.push_back(EncodeSpan(it));
  }
  Json scope = Json::object();
  scope["scope"] = {{"name", "umbertrail"}};
  scope["spans"] = std::move(encoded);
  Json resource = Json::object();
  resource["resource"] = ResourceOf(instance);
  resource["scopeSpans"] = Json::array({scope});
  const Json out = {{"resourceSpans", Json::array({resource})}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace umbertrail::telemetry
