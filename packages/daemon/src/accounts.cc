#include "umbertrail/daemon/accounts.h"

#include <utility>

#include "umbertrail/manifest/keys.h"

namespace umbertrail::daemon {

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
    manifest::VerifyKey(manifest::ClientAccount{}, secret);
    return Answer::kWrong;
  }
  return manifest::VerifyKey(it->second, secret) ? Answer::kRight
                                                 : Answer::kWrong;
}

std::shared_ptr<const AccountDirectory::Accounts> AccountDirectory::accounts()
    const {
  absl::MutexLock lock(&mutex_);
  return accounts_;
}

}  // namespace umbertrail::daemon
