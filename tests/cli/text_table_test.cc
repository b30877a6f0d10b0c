#include "text_table.h"

#include <catch2/catch.hpp>

namespace umbertrail::cli {
namespace {

TEST_CASE("columns are as wide as their widest cell") {
  TextTable table({"A", "LONG"});
  CHECK(table.empty());
  table.Add({"wide cell", "x"});
  CHECK(table.Text() == "A          LONG\nwide cell  x\n");
}

}  // namespace
}  // namespace umbertrail::cli
