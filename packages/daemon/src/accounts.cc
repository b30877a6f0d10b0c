#include "umbertrail/daemon/accounts.h"

#include <string>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "absl/strings/escaping.h"

namespace umbertrail::daemon {

bool VerifyKey(const manifest::ClientAccount& account,
               std::string_view secret) {
  std::string text = account.key_salt;
  text.append(secret);
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  const std::string hex = absl::BytesToHexString(digest);
  return hex.size() == account.key_hash.size() &&
         CRYPTO_memcmp(hex.data(), account.key_hash.data(), hex.size()) == 0;
}

void AccountDirectory::Replace(const manifest::Manifest& manifest) {
  auto accounts = std::make_shared<Accounts>();
  for (const manifest::ClientAccount& account : manifest.accounts) {
    accounts->emplace(account.id, account);
  }
  absl::MutexLock lock(&mutex_);
  accounts_ = std::move(accounts);
}

AccountDirectory::Answer AccountDirectory::Check(
    const ClientAccountId& id,
    std::string_view secret) const {
  const std::shared_ptr<const Accounts> accounts = this->accounts();
  if (accounts == nullptr) {
    return Answer::kNoManifest;
  }
  const auto it = accounts->find(id);
  if (it == accounts->end()) {
    VerifyKey(manifest::ClientAccount{}, secret);
    return Answer::kWrong;
  }
  return VerifyKey(it->second, secret) ? Answer::kRight : Answer::kWrong;
}

std::shared_ptr<const AccountDirectory::Accounts> AccountDirectory::accounts()
    const {
  absl::MutexLock lock(&mutex_);
  return accounts_;
}

}  // namespace umbertrail::daemon
