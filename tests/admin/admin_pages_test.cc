#include "umbertrail/daemon/admin_pages.h"

#include <catch2/catch.hpp>

namespace umbertrail::daemon {
namespace {

using Catch::Matchers::Contains;

struct Fixture {
  core::NodeStatus status;
  telemetry::Metrics metrics;
  telemetry::HistoryStore histories{4, 4};
  telemetry::Logger logger{telemetry::LogFormat::kJson,
                           telemetry::LogLevel::kInfo};
  AdminPages pages{
      {[this] { return status; }, &metrics, &histories, &logger, nullptr}};

  AdminAnswer Get(const char* path, const char* id = "") const {
    return pages.Handle({"GET", path, id, ""});
  }
};

TEST_CASE("status, metrics and readiness follow the node") {
  Fixture f;
  CHECK(f.Get("/ready").status == 503);
  f.status.ready = true;
  f.status.revision = ManifestRevision(3);
  CHECK(f.Get("/ready").status == 200);
  CHECK(f.Get("/health").status == 200);
  CHECK_THAT(f.Get("/status").body, Contains("\"revision\":3"));
  CHECK_THAT(f.Get("/metrics").body, Contains("{fact=\"revision\"} 3"));
}

TEST_CASE("an explanation needs a known id") {
  Fixture f;
  CHECK(f.Get("/explain").status == 400);
  CHECK(f.Get("/explain", "r").status == 404);
  telemetry::RequestHistory history;
  history.id = RequestId("r");
  f.histories.Begin(history);
  CHECK(f.Get("/explain", "r").status == 200);
}

TEST_CASE("the log level is set by name") {
  Fixture f;
  CHECK(f.pages.Handle({"POST", "/log-level", "", "debug"}).status == 200);
  CHECK(f.logger.level() == telemetry::LogLevel::kDebug);
  CHECK(f.pages.Handle({"POST", "/log-level", "", "loud"}).status == 400);
  CHECK(f.pages.Handle({"GET", "/log-level", "", "debug"}).status == 405);
}

TEST_CASE("an unknown page is not found") {
  CHECK(Fixture().Get("/nothing").status == 404);
}

}  // namespace
}  // namespace umbertrail::daemon
