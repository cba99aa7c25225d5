#include "Base/Secret.h"

#include <array>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "absl/strings/escaping.h"

namespace bulrushfold {

std::string
ToHex(std::string_view aBytes)
{
  return absl::BytesToHexString(
    absl::string_view(aBytes.data(), aBytes.size()));
}

std::optional<std::string>
FromHex(std::string_view aHex)
{
  const absl::string_view digits(aHex.data(), aHex.size());
  if (digits.size() % 2 != 0) {
    return std::nullopt;
  }
  for (const char c : digits) {
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(c))) {
      return std::nullopt;
    }
  }
  return absl::HexStringToBytes(digits);
}

std::string
Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  EVP_Digest(aData.data(), aData.size(), buf.data(), &n, EVP_sha256(), nullptr);
  return ToHex(std::string_view(reinterpret_cast<char*>(buf.data()), n));
}

void
HmacSha256Signer::ContextDeleter::operator()(evp_mac_ctx_st* aContext) const
{
  EVP_MAC_CTX_free(aContext);
}

HmacSha256Signer::HmacSha256Signer(std::string_view aKey)
{
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  mContext.reset(EVP_MAC_CTX_new(algorithm));
  EVP_MAC_free(algorithm);
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = { OSSL_PARAM_construct_utf8_string(
                                      OSSL_MAC_PARAM_DIGEST, digest, 0),
                                    OSSL_PARAM_construct_end() };
  EVP_MAC_init(mContext.get(),
               reinterpret_cast<const unsigned char*>(aKey.data()),
               aKey.size(),
               parameters);
}

std::string
HmacSha256Signer::Sign(std::string_view aData) const
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  std::size_t n = 0;
  // Without a key, the context starts again with the one that it has.
  EVP_MAC_init(mContext.get(), nullptr, 0, nullptr);
  EVP_MAC_update(mContext.get(),
                 reinterpret_cast<const unsigned char*>(aData.data()),
                 aData.size());
  EVP_MAC_final(mContext.get(), buf.data(), &n, buf.size());
  return std::string(reinterpret_cast<char*>(buf.data()), n);
}

std::string
HmacSha256(std::string_view aKey, std::string_view aData)
{
  return HmacSha256Signer(aKey).Sign(aData);
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace bulrushfold
