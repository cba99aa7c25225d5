#include "Base/Secret.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

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

std::string
HmacSha256(std::string_view aKey, std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aData.data()),
       aData.size(),
       buf.data(),
       &n);
  return std::string(reinterpret_cast<char*>(buf.data()), n);
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace bulrushfold
