#ifndef UMBERTRAIL_SECURITY_CERTIFICATE_H_
#define UMBERTRAIL_SECURITY_CERTIFICATE_H_

#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::security {

// What a certificate file says of its first certificate.
struct CertificateInfo {
  std::string subject;
  absl::Time not_before;
  absl::Time not_after;
};

// The files of a TLS listener, or of a client that shows a certificate.
struct CertificateFiles {
  // PEM: the certificate, then its chain.
  std::string certificate;
  // PEM, unencrypted; group and others may not have access.
  std::string private_key;
};

// Checks at start what the HTTP library would report late or vaguely: both
// files can be read, the key belongs to the certificate, and the certificate
// is valid at `now` (wall-clock time). The fault names the file and the cause.
Result<CertificateInfo> CheckCertificate(const CertificateFiles& files,
                                         absl::Time now);

// Checks that `path` holds at least one PEM certificate authority that is
// valid at `now`.
Result<Done> CheckCaBundle(const std::string& path, absl::Time now);

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_SECURITY_CERTIFICATE_H_
