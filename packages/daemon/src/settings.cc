#include "umbertrail/daemon/settings.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace umbertrail::daemon {
namespace {

constexpr int64_t kKibibyte = 1024;
constexpr int64_t kMebibyte = 1024 * kKibibyte;
constexpr int64_t kMaxPort = 65535;

// -- The table ----------------------------------------------------------------

using TextMember = std::string Settings::*;
using IntegerMember = int64_t Settings::*;
using DurationMember = absl::Duration Settings::*;
using FractionMember = double Settings::*;
using Member =
    std::variant<TextMember, IntegerMember, DurationMember, FractionMember>;

struct Row {
  const char* key;
  SettingType type;
  Member member;
  const char* default_value;  // null: required
  const char* unit;
  // Of integers; of durations in milliseconds.
  int64_t min;
  int64_t max;
  std::vector<std::string> choices;
  bool reloadable;
  const char* doc;
};

constexpr int64_t kSecondMillis = 1000;
constexpr int64_t kDayMillis = int64_t{24} * 3600 * kSecondMillis;

const std::vector<Row>& Table() {
  static const auto* rows = new std::vector<Row>{
      {"instance.id",
       SettingType::kAddress,
       &Settings::instance_id,
       nullptr,
       "",
       0,
       0,
       {},
       false,
       "IP number and port of the listener for peers, as the platform's "
       "instance list names it."},
      {"instance.data_centre",
       SettingType::kText,
       &Settings::data_centre,
       nullptr,
       "",
       0,
       0,
       {},
       false,
       "The data centre this instance is in."},
      {"listen.callers",
       SettingType::kAddress,
       &Settings::callers_address,
       nullptr,
       "",
       0,
       0,
       {},
       false,
       "Address of the listener for callers."},
      {"listen.admin",
       SettingType::kAddress,
       &Settings::admin_address,
       "127.0.0.1:7070",
       "",
       0,
       0,
       {},
       false,
       "Address of the listener for operators; it has no authentication."},
      {"platform.address",
       SettingType::kAddress,
       &Settings::platform_address,
       nullptr,
       "",
       0,
       0,
       {},
       false,
       "Address of the configuration service."},
      {"peer.key_file",
       SettingType::kFile,
       &Settings::peer_key_file,
       nullptr,
       "",
       0,
       0,
       {},
       false,
       "File of the keys that instances share; read again on SIGHUP."},
      {"limits.body_bytes",
       SettingType::kInteger,
       &Settings::body_bytes,
       "16777216",
       "bytes",
       kKibibyte,
       256 * kMebibyte,
       {},
       true,
       "Largest body of a completion."},
      {"limits.service_body_bytes",
       SettingType::kInteger,
       &Settings::service_body_bytes,
       "1048576",
       "bytes",
       0,
       kMebibyte + kMebibyte / 2,
       {},
       true,
       "Largest body of a service call. It must fit into one message between "
       "instances."},
      {"limits.body_memory",
       SettingType::kInteger,
       &Settings::body_memory,
       "268435456",
       "bytes",
       kMebibyte,
       65536 * kMebibyte,
       {},
       false,
       "Bodies of all requests together; a request whose body doesn't fit is "
       "answered with 503. At least limits.body_bytes."},
      {"limits.header_bytes",
       SettingType::kInteger,
       &Settings::header_bytes,
       "16384",
       "bytes",
       kKibibyte,
       kMebibyte,
       {},
       false,
       "Largest head of a request."},
      {"limits.relay_bytes",
       SettingType::kInteger,
       &Settings::relay_bytes,
       "16777216",
       "bytes",
       64 * kKibibyte,
       256 * kMebibyte,
       {},
       true,
       "Part of an answer held for a caller that reads slowly; beyond it the "
       "caller counts as gone."},
      {"limits.connections",
       SettingType::kInteger,
       &Settings::connections,
       "512",
       "connections",
       1,
       8192,
       {},
       false,
       "Callers' connections at once, with a thread each; further ones are "
       "answered with 503."},
      {"limits.target_streams",
       SettingType::kInteger,
       &Settings::target_streams,
       "512",
       "streams",
       1,
       8192,
       {},
       false,
       "Attempts on targets at once, with a thread each."},
      {"limits.waiting_requests",
       SettingType::kInteger,
       &Settings::waiting_requests,
       "1024",
       "requests",
       1,
       65536,
       {},
       false,
       "Requests waiting for the core's thread; further ones are answered "
       "with 503."},
      {"limits.default_deadline",
       SettingType::kDuration,
       &Settings::default_deadline,
       "60s",
       "",
       1,
       kDayMillis,
       {},
       true,
       "Time of a request that names no deadline."},
      {"limits.max_deadline",
       SettingType::kDuration,
       &Settings::max_deadline,
       "24h",
       "",
       1,
       kDayMillis,
       {},
       true,
       "Longest deadline accepted."},
      {"limits.read_timeout",
       SettingType::kDuration,
       &Settings::read_timeout,
       "30s",
       "",
       1,
       600 * kSecondMillis,
       {},
       false,
       "Time for a request's head and body to arrive."},
      {"limits.write_timeout",
       SettingType::kDuration,
       &Settings::write_timeout,
       "10s",
       "",
       1,
       600 * kSecondMillis,
       {},
       false,
       "Time that a caller may take to read the next part of an answer."},
      {"limits.idle_timeout",
       SettingType::kDuration,
       &Settings::idle_timeout,
       "5s",
       "",
       1,
       600 * kSecondMillis,
       {},
       false,
       "Time that a connection may wait for its next request."},
      {"tls.certificate",
       SettingType::kFile,
       &Settings::tls_certificate,
       "",
       "",
       0,
       0,
       {},
       false,
       "Certificate chain of the listener for callers, in PEM; empty: no TLS."},
      {"tls.private_key",
       SettingType::kFile,
       &Settings::tls_private_key,
       "",
       "",
       0,
       0,
       {},
       false,
       "Private key of that certificate, in PEM."},
      {"tls.target_ca",
       SettingType::kFile,
       &Settings::tls_target_ca,
       "",
       "",
       0,
       0,
       {},
       false,
       "Certificate authorities of targets, in PEM; empty: no TLS."},
      {"tls.platform_ca",
       SettingType::kFile,
       &Settings::tls_platform_ca,
       "",
       "",
       0,
       0,
       {},
       false,
       "Certificate authorities of the platform, in PEM; empty: no TLS."},
      {"log.level",
       SettingType::kChoice,
       &Settings::log_level,
       "info",
       "",
       0,
       0,
       {"debug", "info", "warning", "error"},
       true,
       "Least severe records that are written."},
      {"log.format",
       SettingType::kChoice,
       &Settings::log_format,
       "json",
       "",
       0,
       0,
       {"json", "plain"},
       false,
       "Form of log records."},
      {"trace.collector",
       SettingType::kAddress,
       &Settings::trace_collector,
       "",
       "",
       0,
       0,
       {},
       false,
       "Address of an OTLP/HTTP collector for spans; empty: none."},
      {"trace.sampled_fraction",
       SettingType::kFraction,
       &Settings::trace_sampled_fraction,
       "0.01",
       "",
       0,
       0,
       {},
       false,
       "Part of the traces recorded when the caller doesn't decide."},
  };
  return *rows;
}

const Row* FindRow(const std::string& key) {
  const auto& rows = Table();
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::string FormatMillis(int64_t millis) {
  return absl::FormatDuration(absl::Milliseconds(millis));
}

std::string BoundsOf(const Row& row) {
  switch (row.type) {
    case SettingType::kInteger:
      return absl::StrCat(row.min, " to ", row.max);
    case SettingType::kDuration:
      return absl::StrCat(FormatMillis(row.min), " to ", FormatMillis(row.max));
    case SettingType::kFraction:
      return "0 to 1";
    case SettingType::kChoice:
      return absl::StrJoin(row.choices, ", ");
    default:
      return "";
  }
}

// -- Values -------------------------------------------------------------------

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  int64_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > kMaxPort) {
    return false;
  }
  std::string host = text.substr(0, colon);
  unsigned char buf[sizeof(in6_addr)];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf) ==
           1;
  }
  return inet_pton(AF_INET, host.c_str(), buf) == 1;
}

// Stores `value` in `out`; otherwise says what is wrong with it.
std::optional<std::string> Store(const Row& row,
                                 const std::string& value,
                                 Settings* out) {
  switch (row.type) {
    case SettingType::kText:
    case SettingType::kFile:
      if (value.empty() && row.default_value == nullptr) {
        return "must not be empty";
      }
      break;
    case SettingType::kAddress:
      if (!IsAddress(value) &&
          (!value.empty() || row.default_value == nullptr ||
           *row.default_value != '\0')) {
        return "must be an IP number and a port, such as 10.0.0.1:7000";
      }
      break;
    case SettingType::kChoice:
      if (std::find(row.choices.begin(), row.choices.end(), value) ==
          row.choices.end()) {
        return absl::StrCat("must be one of ", BoundsOf(row));
      }
      break;
    case SettingType::kInteger: {
      int64_t n = 0;
      if (!absl::SimpleAtoi(value, &n) || n < row.min || n > row.max) {
        return absl::StrCat("must be a whole number from ", BoundsOf(row));
      }
      out->*std::get<IntegerMember>(row.member) = n;
      return std::nullopt;
    }
    case SettingType::kDuration: {
      absl::Duration duration;
      if (!absl::ParseDuration(value, &duration) ||
          duration < absl::Milliseconds(row.min) ||
          duration > absl::Milliseconds(row.max)) {
        return absl::StrCat("must be a duration such as 30s, from ",
                            BoundsOf(row));
      }
      out->*std::get<DurationMember>(row.member) = duration;
      return std::nullopt;
    }
    case SettingType::kFraction: {
      double fraction = 0.0;
      if (!absl::SimpleAtod(value, &fraction) || !(fraction >= 0.0) ||
          fraction > 1.0) {
        return "must be a number from 0 to 1";
      }
      out->*std::get<FractionMember>(row.member) = fraction;
      return std::nullopt;
    }
  }
  out->*std::get<TextMember>(row.member) = value;
  return std::nullopt;
}

// -- Parsing ------------------------------------------------------------------

struct Entry {
  int line = 0;
  std::string value;
};

int LineOf(const YAML::Mark& mark) {
  return mark.is_null() ? 0 : mark.line + 1;
}

class Parser {
 public:
  explicit Parser(std::string file) : file_(std::move(file)) {}

  SettingsResult Parse(const std::string& text) {
    CollectFrom(text);
    Settings settings;
    for (const Row& row : Table()) {
      Take(row, &settings);
    }
    CheckTogether(settings);
    if (!faults_.empty()) {
      return std::move(faults_);
    }
    return settings;
  }

 private:
  void Fault(int line, std::string key, std::string message) {
    faults_.push_back({file_, line, std::move(key), std::move(message)});
  }

  void CollectFrom(const std::string& text) {
    // yaml-cpp reports syntax faults by exceptions.
    try {
      const YAML::Node root = YAML::Load(text);
      if (!root.IsMap()) {
        Fault(LineOf(root.Mark()), "", "must be a map of settings");
        return;
      }
      Collect(root, "");
    } catch (const YAML::Exception& ex) {
      Fault(LineOf(ex.mark), "", ex.msg);
    }
  }

  void Collect(const YAML::Node& map, const std::string& prefix) {
    for (const auto& it : map) {
      const std::string key = prefix + it.first.Scalar();
      const int line = LineOf(it.first.Mark());
      if (it.second.IsMap() && FindRow(key) == nullptr) {
        Collect(it.second, key + ".");
      } else if (FindRow(key) == nullptr) {
        Fault(line, key, "unknown setting");
      } else if (!it.second.IsScalar()) {
        Fault(line, key, "must be a single value");
      } else if (!entries_.emplace(key, Entry{line, it.second.Scalar()})
                      .second) {
        Fault(line, key, "given twice");
      }
    }
  }

  void Take(const Row& row, Settings* settings) {
    const auto it = entries_.find(row.key);
    if (it == entries_.end() && row.default_value == nullptr) {
      Fault(0, row.key, "is required");
      return;
    }
    const Entry entry =
        it == entries_.end() ? Entry{0, row.default_value} : it->second;
    if (auto message = Store(row, entry.value, settings)) {
      Fault(entry.line, row.key, std::move(*message));
    }
  }

  int LineOfKey(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.line;
  }

  // What no single setting shows.
  void CheckTogether(const Settings& settings) {
    if (settings.tls_certificate.empty() != settings.tls_private_key.empty()) {
      Fault(LineOfKey("tls.certificate"), "tls.certificate",
            "needs tls.private_key, and the other way round");
    }
    if (settings.default_deadline > settings.max_deadline) {
      Fault(LineOfKey("limits.default_deadline"), "limits.default_deadline",
            "is longer than limits.max_deadline");
    }
    std::set<std::string> addresses;
    const std::pair<const char*, const std::string&> listeners[] = {
        {"instance.id", settings.instance_id},
        {"listen.callers", settings.callers_address},
        {"listen.admin", settings.admin_address}};
    for (const auto& [key, address] : listeners) {
      if (!address.empty() && !addresses.insert(address).second) {
        Fault(LineOfKey(key), key, "is the address of another listener");
      }
    }
  }

  std::string file_;
  std::map<std::string, Entry> entries_;
  std::vector<SettingFault> faults_;
};

}  // namespace

std::vector<SettingInfo> ListSettings() {
  std::vector<SettingInfo> list;
  for (const Row& row : Table()) {
    SettingInfo info;
    info.key = row.key;
    info.type = row.type;
    info.required = row.default_value == nullptr;
    info.default_value = info.required ? "" : row.default_value;
    info.unit = row.unit;
    info.bounds = BoundsOf(row);
    info.reloadable = row.reloadable;
    info.doc = row.doc;
    list.push_back(std::move(info));
  }
  return list;
}

std::string Describe(const SettingFault& fault) {
  std::string text = fault.file;
  if (fault.line > 0) {
    absl::StrAppend(&text, ":", fault.line);
  }
  if (!fault.key.empty()) {
    absl::StrAppend(&text, ": ", fault.key);
  }
  return absl::StrCat(text, ": ", fault.message);
}

SettingsResult ParseSettings(const std::string& text, const std::string& file) {
  return Parser(file).Parse(text);
}

SettingsResult LoadSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return std::vector<SettingFault>{{path, 0, "", "cannot be read"}};
  }
  return ParseSettings(text.str(), path);
}

Reload ApplyReload(const Settings& current, const Settings& wanted) {
  Reload reload;
  reload.settings = current;
  for (const Row& row : Table()) {
    std::visit(
        [&](auto member) {
          if (current.*member == wanted.*member) {
            return;
          }
          if (!row.reloadable) {
            reload.need_restart.emplace_back(row.key);
            return;
          }
          reload.settings.*member = wanted.*member;
          reload.applied.emplace_back(row.key);
        },
        row.member);
  }
  return reload;
}

}  // namespace umbertrail::daemon
