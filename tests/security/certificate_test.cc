#include "umbertrail/security/certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>

#include "absl/time/clock.h"
#include "temp_file.h"

namespace umbertrail::security {
namespace {

using Catch::Matchers::Contains;

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using FilePtr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

constexpr long kDay = 24L * 60 * 60;

FilePtr OpenFile(const TempFile& file) {
  return FilePtr(std::fopen(file.path().c_str(), "w"), std::fclose);
}

KeyPtr MakeKey() {
  return KeyPtr(EVP_EC_gen("P-256"), EVP_PKEY_free);
}

// A self-signed certificate valid from yesterday to tomorrow.
CertificatePtr MakeCertificate(EVP_PKEY* key, bool authority) {
  CertificatePtr out(X509_new(), X509_free);
  X509_set_version(out.get(), X509_VERSION_3);
  X509_gmtime_adj(X509_getm_notBefore(out.get()), -kDay);
  X509_gmtime_adj(X509_getm_notAfter(out.get()), kDay);
  X509_set_pubkey(out.get(), key);
  X509_NAME* name = X509_get_subject_name(out.get());
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>("node"), -1,
                             -1, 0);
  X509_set_issuer_name(out.get(), name);
  X509_EXTENSION* constraints =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints,
                          authority ? "critical,CA:TRUE" : "CA:FALSE");
  X509_add_ext(out.get(), constraints, -1);
  X509_EXTENSION_free(constraints);
  X509_sign(out.get(), key, EVP_sha256());
  return out;
}

// A private key and its certificate, each in a temporary file.
struct Fixture {
  KeyPtr key = MakeKey();
  TempFile certificate_file;
  TempFile key_file;
  CertificateFiles files{certificate_file.path(), key_file.path()};

  explicit Fixture(bool authority = false) {
    const CertificatePtr certificate = MakeCertificate(key.get(), authority);
    PEM_write_X509(OpenFile(certificate_file).get(), certificate.get());
    WriteKey(key.get());
  }
  void WriteKey(EVP_PKEY* other) {
    PEM_write_PrivateKey(OpenFile(key_file).get(), other, nullptr, nullptr, 0,
                         nullptr, nullptr);
  }
};

TEST_CASE("subject and expiry of a valid certificate are returned") {
  const Fixture f;
  const auto info = CheckCertificate(f.files, absl::Now());
  REQUIRE(IsOk(info));
  CHECK(ValueOf(info).subject == "CN=node");
  CHECK(ValueOf(info).not_after > absl::Now());
}

TEST_CASE("an expired or not yet valid certificate is rejected") {
  const Fixture f;
  const auto late = CheckCertificate(f.files, absl::Now() + absl::Hours(48));
  REQUIRE_FALSE(IsOk(late));
  CHECK_THAT(ErrorOf(late).message, Contains("has expired"));
  const auto early = CheckCertificate(f.files, absl::Now() - absl::Hours(48));
  REQUIRE_FALSE(IsOk(early));
  CHECK_THAT(ErrorOf(early).message, Contains("not valid yet"));
}

TEST_CASE("a private key that does not match the certificate is rejected") {
  Fixture f;
  const KeyPtr other = MakeKey();
  f.WriteKey(other.get());
  const auto info = CheckCertificate(f.files, absl::Now());
  REQUIRE_FALSE(IsOk(info));
  CHECK_THAT(ErrorOf(info).message, Contains("does not match the certificate"));
}

TEST_CASE("a private key readable by others is rejected") {
  Fixture f;
  f.key_file.SetMode(0644);
  const auto info = CheckCertificate(f.files, absl::Now());
  REQUIRE_FALSE(IsOk(info));
  CHECK(ErrorOf(info).code == ErrorCode::kPermissionDenied);
}

TEST_CASE("missing and malformed files are rejected") {
  Fixture f;
  CHECK_FALSE(IsOk(CheckCertificate({"/tmp/umbertrail-none", f.key_file.path()},
                                    absl::Now())));
  f.certificate_file.Write("hello");
  CHECK_FALSE(IsOk(CheckCertificate(f.files, absl::Now())));
}

TEST_CASE("a CA bundle needs a currently valid CA certificate") {
  const Fixture authority(true);
  const Fixture leaf(false);
  const std::string& path = authority.certificate_file.path();
  CHECK(IsOk(CheckCaBundle(path, absl::Now())));
  CHECK_FALSE(IsOk(CheckCaBundle(path, absl::Now() + absl::Hours(48))));
  CHECK_FALSE(IsOk(CheckCaBundle(leaf.certificate_file.path(), absl::Now())));
}

}  // namespace
}  // namespace umbertrail::security
