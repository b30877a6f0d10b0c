#include "umbertrail/net/message.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace umbertrail::net {
namespace {

constexpr const char* kHopByHop[] = {
    "Connection",         "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "TE",         "Trailer",
    "Transfer-Encoding",  "Upgrade",    "Proxy-Authorization"};

void AppendFields(const Headers& headers, std::string* out) {
  for (const HeaderField& field : headers.fields()) {
    absl::StrAppend(out, field.name, ": ", field.value, "\r\n");
  }
}

bool UsuallyHasBody(absl::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

bool SameName(absl::string_view a, absl::string_view b) {
  return absl::EqualsIgnoreCase(a, b);
}

const std::string* Headers::Find(absl::string_view name) const {
  for (const HeaderField& field : fields_) {
    if (SameName(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

int Headers::Count(absl::string_view name) const {
  return static_cast<int>(std::count_if(
      fields_.begin(), fields_.end(),
      [&](const auto& field) { return SameName(field.name, name); }));
}

void Headers::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void Headers::Remove(absl::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [&](const HeaderField& field) {
                                 return SameName(field.name, name);
                               }),
                fields_.end());
}

void Headers::RemoveHopByHop() {
  std::vector<std::string> named;
  for (const HeaderField& field : fields_) {
    if (SameName(field.name, "Connection")) {
      for (absl::string_view token : absl::StrSplit(field.value, ',')) {
        named.emplace_back(absl::StripAsciiWhitespace(token));
      }
    }
  }
  for (const char* name : kHopByHop) {
    Remove(name);
  }
  for (const std::string& name : named) {
    Remove(name);
  }
}

std::string WriteRequestHead(const RequestHead& head, size_t length) {
  std::string out =
      absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
  AppendFields(head.headers, &out);
  if (length > 0 || UsuallyHasBody(head.method)) {
    absl::StrAppend(&out, "Content-Length: ", length, "\r\n");
  }
  out += "\r\n";
  return out;
}

std::string WriteResponseHead(const ResponseHead& head,
                              bool chunked,
                              bool close) {
  std::string out =
      absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
  AppendFields(head.headers, &out);
  if (head.length) {
    absl::StrAppend(&out, "Content-Length: ", *head.length, "\r\n");
  } else if (chunked) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  if (close) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  return out;
}

}  // namespace umbertrail::net
