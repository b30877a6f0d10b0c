#ifndef UMBERTRAIL_TESTS_DAEMON_TEST_ACCOUNTS_H_
#define UMBERTRAIL_TESTS_DAEMON_TEST_ACCOUNTS_H_

#include "umbertrail/manifest/schema.h"

namespace umbertrail::daemon {

// A manifest with the account "club", whose secret is "secret".
inline manifest::Manifest ManifestWithClub() {
  manifest::ClientAccount account;
  account.id = ClientAccountId("club");
  account.key_salt = "salt";
  // SHA-256 of "saltsecret"
  account.key_hash =
      "bede90386d450cea8b77b822f8887065e4e5abf132c2f9dccfcc7fbd4cba5e35";
  manifest::Manifest manifest;
  manifest.revision = ManifestRevision(1);
  manifest.accounts.push_back(account);
  return manifest;
}

inline constexpr char kClubAuthorization[] = "Bearer club:secret";

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_TESTS_DAEMON_TEST_ACCOUNTS_H_
