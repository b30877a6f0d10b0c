#ifndef UMBERTRAIL_HTTP_JSON_FIELDS_H_
#define UMBERTRAIL_HTTP_JSON_FIELDS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

// Reads fields of untrusted JSON without throwing: a field that is absent or of
// another type is "none".

namespace umbertrail::http {

// The parsed text, or a discarded value when it is no JSON.
inline nlohmann::json ParseJson(std::string_view text) {
  return nlohmann::json::parse(text, nullptr, false);
}

// The field of that name; null when `object` is no object or has none.
inline const nlohmann::json* FindField(const nlohmann::json& object,
                                       const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

// A whole number from 0 to the largest int64_t.
inline std::optional<int64_t> NumberField(const nlohmann::json& object,
                                          const char* name) {
  const nlohmann::json* it = FindField(object, name);
  if (it == nullptr || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto n = it->get<uint64_t>();
  if (n > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
    return std::nullopt;
  }
  return static_cast<int64_t>(n);
}

inline std::optional<std::string> TextField(const nlohmann::json& object,
                                            const char* name) {
  const nlohmann::json* it = FindField(object, name);
  if (it == nullptr || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

// False also when the field is absent.
inline bool FlagField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* it = FindField(object, name);
  return it != nullptr && it->is_boolean() && it->get<bool>();
}

// The elements of an array field; an empty array when there is none.
inline const nlohmann::json& ArrayField(const nlohmann::json& object,
                                        const char* name) {
  static const nlohmann::json* const none =
      new nlohmann::json(nlohmann::json::array());
  const nlohmann::json* it = FindField(object, name);
  return it != nullptr && it->is_array() ? *it : *none;
}

// JSON text; bytes that are no UTF-8 are replaced.
inline std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace umbertrail::http

#endif  // UMBERTRAIL_HTTP_JSON_FIELDS_H_
