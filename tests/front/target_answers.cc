#include "front/target_answers.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "http/fake_server.h"

namespace umbertrail::testing {

std::string HeaderOf(const std::string& message, const std::string& name) {
  const std::string mark = absl::StrCat("\r\n", name, ": ");
  const size_t at = message.find(mark);
  if (at == std::string::npos) {
    return "none";
  }
  const std::string rest = message.substr(at + mark.size());
  return rest.substr(0, rest.find('\r'));
}

std::string EchoId(const std::string& request) {
  return absl::StrCat("X-Attempt-Id: ", HeaderOf(request, "X-Attempt-Id"),
                      "\r\nX-Response-Seal: seal\r\n");
}

std::string WholeAnswer(const std::string& request, const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", EchoId(request),
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string UnframedAnswer(const std::string& request,
                           const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", EchoId(request),
                      "Connection: close\r\n\r\n", body);
}

bool IsReportRequest(const std::string& request) {
  return absl::StartsWith(request, "GET /report ");
}

std::string ReportAnswer(const std::string& request,
                         const std::string& target,
                         int64_t born_ms) {
  const std::string expected = HeaderOf(request, "X-Expect-Instance");
  if (expected != "none" && expected != target) {
    return HttpAnswer(421, "");
  }
  return HttpAnswer(200, absl::StrCat(R"({"stage":"both","sequence":0,"born":)",
                                      born_ms, "}"));
}

std::string StreamHead(const std::string& request) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", EchoId(request),
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

}  // namespace umbertrail::testing
