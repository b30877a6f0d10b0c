#include "umbertrail/security/certificate.h"

#include <openssl/asn1.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <ctime>
#include <memory>

namespace umbertrail::security {
namespace {

template <typename T, void (*Free)(T*)>
struct Deleter {
  void operator()(T* it) const { Free(it); }
};
struct BioDeleter {
  void operator()(BIO* it) const { BIO_free_all(it); }
};

using Bio = std::unique_ptr<BIO, BioDeleter>;
using Certificate = std::unique_ptr<X509, Deleter<X509, X509_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY, EVP_PKEY_free>>;

Error MakeError(ErrorCode code, const std::string& path, const char* what) {
  // Keeps OpenSSL errors for this file out of later calls on this thread.
  ERR_clear_error();
  return Error{code, path + ": " + what};
}

// Prevents OpenSSL from prompting for a passphrase on the terminal.
int RejectPassphrase(char*, int, int, void*) {
  return 0;
}

Certificate ReadCertificate(BIO* bio) {
  return Certificate(
      PEM_read_bio_X509(bio, nullptr, RejectPassphrase, nullptr));
}

absl::Time ToTime(const ASN1_TIME* time) {
  std::tm tm{};
  if (ASN1_TIME_to_tm(time, &tm) != 1) {
    return absl::InfinitePast();
  }
  return absl::FromTM(tm, absl::UTCTimeZone());
}

std::string SubjectOf(const X509* certificate) {
  const Bio bio(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(bio.get(), X509_get_subject_name(certificate), 0,
                     XN_FLAG_RFC2253);
  char* data = nullptr;
  const long n = BIO_get_mem_data(bio.get(), &data);
  return std::string(data, static_cast<size_t>(n));
}

CertificateInfo InfoOf(const X509* certificate) {
  CertificateInfo out;
  out.subject = SubjectOf(certificate);
  out.not_before = ToTime(X509_get0_notBefore(certificate));
  out.not_after = ToTime(X509_get0_notAfter(certificate));
  return out;
}

Result<Done> CheckKeyAccess(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) {
    return MakeError(ErrorCode::kNotFound, path, "can't be read");
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return MakeError(ErrorCode::kPermissionDenied, path,
                     "group or others have access; use mode 0600");
  }
  return Done{};
}

Result<PrivateKey> ReadPrivateKey(const std::string& path) {
  const Result<Done> access = CheckKeyAccess(path);
  if (!IsOk(access)) {
    return ErrorOf(access);
  }
  const Bio bio(BIO_new_file(path.c_str(), "r"));
  if (!bio) {
    return MakeError(ErrorCode::kNotFound, path, "can't be read");
  }
  PrivateKey key(
      PEM_read_bio_PrivateKey(bio.get(), nullptr, RejectPassphrase, nullptr));
  if (!key) {
    return MakeError(ErrorCode::kCorrupt, path,
                     "contains no unencrypted PEM private key");
  }
  return key;
}

Result<Done> CheckValidity(const CertificateInfo& info,
                           const std::string& path,
                           absl::Time now) {
  if (now < info.not_before) {
    return MakeError(ErrorCode::kInvalidArgument, path,
                     "the certificate is not valid yet");
  }
  if (now > info.not_after) {
    return MakeError(ErrorCode::kInvalidArgument, path,
                     "the certificate has expired");
  }
  return Done{};
}

}  // namespace

Result<CertificateInfo> CheckCertificate(const CertificateFiles& files,
                                         absl::Time now) {
  const Bio bio(BIO_new_file(files.certificate.c_str(), "r"));
  if (!bio) {
    return MakeError(ErrorCode::kNotFound, files.certificate, "can't be read");
  }
  const Certificate certificate = ReadCertificate(bio.get());
  if (!certificate) {
    return MakeError(ErrorCode::kCorrupt, files.certificate,
                     "contains no PEM certificate");
  }
  const Result<PrivateKey> key = ReadPrivateKey(files.private_key);
  if (!IsOk(key)) {
    return ErrorOf(key);
  }
  if (X509_check_private_key(certificate.get(), ValueOf(key).get()) != 1) {
    return MakeError(ErrorCode::kInvalidArgument, files.private_key,
                     "private key does not match the certificate");
  }
  const CertificateInfo info = InfoOf(certificate.get());
  const Result<Done> valid = CheckValidity(info, files.certificate, now);
  if (!IsOk(valid)) {
    return ErrorOf(valid);
  }
  return info;
}

Result<Done> CheckCaBundle(const std::string& path, absl::Time now) {
  const Bio bio(BIO_new_file(path.c_str(), "r"));
  if (!bio) {
    return MakeError(ErrorCode::kNotFound, path, "can't be read");
  }
  bool found = false;
  while (const Certificate it = ReadCertificate(bio.get())) {
    found = true;
    if (X509_check_ca(it.get()) > 0 &&
        IsOk(CheckValidity(InfoOf(it.get()), path, now))) {
      ERR_clear_error();
      return Done{};
    }
  }
  return MakeError(ErrorCode::kInvalidArgument, path,
                   found ? "contains no currently valid CA certificate"
                         : "contains no PEM certificate");
}

}  // namespace umbertrail::security
