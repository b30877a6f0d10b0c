#ifndef UMBERTRAIL_SECURITY_CERTIFICATE_H_
#define UMBERTRAIL_SECURITY_CERTIFICATE_H_

#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::security {

// Subject and validity period of the first certificate in a file.
struct CertificateInfo {
  std::string subject;
  absl::Time not_before;
  absl::Time not_after;
};

// Certificate and key files of a TLS server or of a client that presents a
// certificate.
struct CertificateFiles {
  // PEM: the leaf certificate, followed by its chain.
  std::string certificate;
  // PEM, unencrypted; must not be accessible to group or others.
  std::string private_key;
};

// Checks that both files are readable, that the key matches the certificate and
// that the certificate is valid at `now` (wall-clock time), because the HTTP
// library reports these errors late or vaguely. Errors name file and cause.
Result<CertificateInfo> CheckCertificate(const CertificateFiles& files,
                                         absl::Time now);

// Checks that `path` contains at least one PEM CA certificate that is valid at
// `now`.
Result<Done> CheckCaBundle(const std::string& path, absl::Time now);

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_SECURITY_CERTIFICATE_H_
