#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include <httplib.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <catch2/catch.hpp>

#include "raw_client.h"
#include "test_accounts.h"
#include "umbertrail/daemon/caller_server.h"

namespace umbertrail::daemon {
namespace {

constexpr int kKeyBits = 2048;
constexpr long kValidSeconds = 3600;

// A self-signed certificate for 127.0.0.1 in a directory of its own.
class TestCertificate {
 public:
  TestCertificate() {
    std::string path = "/tmp/umbertrail-tls-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
    directory_ = path;
    EVP_PKEY* key = EVP_RSA_gen(kKeyBits);
    X509* certificate = X509_new();
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), kValidSeconds);
    X509_set_pubkey(certificate, key);
    X509_NAME* name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_sign(certificate, key, EVP_sha256());
    FILE* out = std::fopen(certificate_file().c_str(), "w");
    PEM_write_X509(out, certificate);
    std::fclose(out);
    out = std::fopen(key_file().c_str(), "w");
    PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  ~TestCertificate() {
    unlink(certificate_file().c_str());
    unlink(key_file().c_str());
    rmdir(directory_.c_str());
  }

  std::string certificate_file() const { return directory_ + "/cert.pem"; }
  std::string key_file() const { return directory_ + "/key.pem"; }

 private:
  std::string directory_;
};

// Answers each completion with one part.
class OnePartCore : public EventPort {
 public:
  explicit OnePartCore(RequestTable* table) : table_(table) {}
  bool Offer(core::Event event) override {
    const auto& id = std::get<core::RequestArrived>(event).spec.id;
    const std::string text(100000, 'x');
    table_->Relay(core::RelayChunk{id, Tokens(0), Tokens(1), text});
    core::Outcome outcome;
    outcome.ran = core::Ran::kYes;
    outcome.total = Tokens(1);
    table_->Finish(core::FinishRequest{id, outcome});
    return true;
  }
  void Post(core::Event) override {}

 private:
  RequestTable* table_;
};

TEST_CASE("callers are served over TLS, and over nothing else there") {
  const TestCertificate certificate;
  AccountDirectory accounts;
  accounts.Replace(ManifestWithClub());
  RequestFilters filters(Incarnation(1), &accounts, [] {
    return FilterLimits{absl::Seconds(60), absl::Hours(24)};
  });
  RequestTable table;
  OnePartCore core(&table);
  CallerServerOptions options;
  options.address = "127.0.0.1:0";
  options.read_timeout = absl::Milliseconds(500);
  options.tls_certificate = certificate.certificate_file();
  options.tls_private_key = certificate.key_file();
  CallerServerParts parts;
  parts.filters = &filters;
  parts.table = &table;
  parts.events = &core;
  parts.limits = [] { return CallerLimits(); };
  CallerServer server(options, parts);
  REQUIRE(IsOk(server.Start()));

  SECTION("TLS") {
    httplib::Client client("https://" + server.address());
    client.enable_server_certificate_verification(false);
    client.set_keep_alive(true);
    client.set_read_timeout(30, 0);
    const httplib::Headers headers{{"Authorization", kClubAuthorization}};
    for (const char* stream : {"false", "true", "false"}) {
      const auto answer = client.Post(
          "/v1/completions", headers,
          std::string(R"({"model":"m","prompt":"p","max_tokens":9,"stream":)") +
              stream + "}",
          "application/json");
      REQUIRE(answer);
      CHECK(answer->status == 200);
      CHECK(answer->body.size() > 100000);
    }
  }
  SECTION("plain HTTP") {
    RawClient client(server.address());
    client.Send("POST /v1/completions HTTP/1.1\r\n\r\n");
    CHECK(client.ReadAll().find("HTTP/1.1") == std::string::npos);
  }
  SECTION("a handshake that never comes") {
    RawClient client(server.address());
    CHECK(client.ReadAll().empty());
  }
}

TEST_CASE("a listener without usable TLS files doesn't start") {
  CallerServerOptions options;
  options.address = "127.0.0.1:0";
  options.tls_certificate = "/nonexistent/cert.pem";
  options.tls_private_key = "/nonexistent/key.pem";
  CallerServer server(options, CallerServerParts());
  CHECK_FALSE(IsOk(server.Start()));
}

}  // namespace
}  // namespace umbertrail::daemon
