#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "pages.h"
#include "umbertrail/daemon/settings.h"
#include "umbertrail/manifest.h"

namespace umbertrail::docs {
namespace {

constexpr char kPage[] = "docs/CONFIGURATION.md";

std::string DefaultOf(const daemon::SettingInfo& info) {
  if (info.required) {
    return "required";
  }
  return info.default_value.empty()
             ? "none"
             : absl::StrCat("`", info.default_value, "`");
}

// The row that the page has to hold for a setting.
std::string RowOf(const daemon::SettingInfo& info) {
  const char* changed_by = info.reloadable ? "SIGHUP" : "restart";
  return absl::StrCat("| `", info.key, "` | ", DefaultOf(info), " | ",
                      info.unit, " | ", info.bounds, " | ", changed_by, " | ",
                      info.doc, " |\n");
}

// The YAML blocks of the page: a settings file, then a manifest.
std::string YamlStartingWith(const std::string& first_key) {
  for (const Page& page : ReadPages()) {
    if (page.path != kPage) {
      continue;
    }
    const std::string text =
        absl::StrJoin(BlockLines(page, "yaml"), "\n") + "\n";
    const size_t manifest = text.find("revision:");
    return first_key == "revision" ? text.substr(manifest)
                                   : text.substr(0, manifest);
  }
  return "";
}

TEST_CASE("every setting is documented as the code has it") {
  const std::string page = ReadFileOf(kPage);
  for (const daemon::SettingInfo& it : daemon::ListSettings()) {
    INFO("missing: " << RowOf(it));
    CHECK(page.find(RowOf(it)) != std::string::npos);
  }
}

TEST_CASE("the page names no setting that the code lacks") {
  const std::string page = ReadFileOf(kPage);
  size_t rows = 0;
  for (size_t at = page.find("| SIGHUP |"); at != std::string::npos;
       at = page.find("| SIGHUP |", at + 1)) {
    ++rows;
  }
  for (size_t at = page.find("| restart |"); at != std::string::npos;
       at = page.find("| restart |", at + 1)) {
    ++rows;
  }
  CHECK(rows == daemon::ListSettings().size());
}

TEST_CASE("the page's settings file is accepted") {
  const auto result = daemon::ParseSettings(YamlStartingWith("instance"), "x");
  if (const auto* faults =
          std::get_if<std::vector<daemon::SettingFault>>(&result)) {
    for (const auto& it : *faults) {
      FAIL_CHECK(daemon::Describe(it));
    }
  }
}

TEST_CASE("the page's manifest is accepted") {
  const auto result =
      manifest::ParseManifestFile(YamlStartingWith("revision"), "x");
  if (const auto* faults = std::get_if<std::vector<manifest::Fault>>(&result)) {
    FAIL_CHECK(manifest::ToText(*faults, 20));
  }
}

}  // namespace
}  // namespace umbertrail::docs
