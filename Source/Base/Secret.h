#ifndef BULRUSHFOLD_BASE_SECRET_H
#define BULRUSHFOLD_BASE_SECRET_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace bulrushfold {

/** Lower-case hexadecimal form of aBytes. */
std::string ToHex(std::string_view aBytes);

/** Bytes of a hexadecimal string; empty when aHex is not hexadecimal. */
std::optional<std::string> FromHex(std::string_view aHex);

/** SHA-256 of aData as 64 hexadecimal digits; tokens are stored like this. */
std::string Sha256Hex(std::string_view aData);

/** Calculates HMAC-SHA256 under one key. The key is set up once, which costs
 * more than a short message. */
class HmacSha256Signer
{
public:
  explicit HmacSha256Signer(std::string_view aKey);
  /** HMAC of aData; 32 bytes. */
  std::string Sign(std::string_view aData) const;

private:
  struct ContextDeleter
  {
    void operator()(evp_mac_ctx_st* aContext) const;
  };
  std::unique_ptr<evp_mac_ctx_st, ContextDeleter> mContext;
};

/** HMAC-SHA256 of aData under aKey; 32 bytes. */
std::string HmacSha256(std::string_view aKey, std::string_view aData);

/** Compares two strings in a time that depends only on their lengths. */
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace bulrushfold

#endif
