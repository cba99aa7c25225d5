#include "Base/Secret.h"

#include <doctest/doctest.h>

namespace bulrushfold {

// Guards against an encoding mistake that rejects or accepts every token.
TEST_CASE("Digests and keys match published test vectors")
{
  SUBCASE("SHA-256, FIPS 180-2 appendix B.1")
  {
    CHECK(Sha256Hex("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  }

  SUBCASE("HMAC-SHA256, RFC 4231 test case 2")
  {
    CHECK(ToHex(HmacSha256("Jefe", "what do ya want for nothing?")) ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  }

  SUBCASE("hexadecimal text is decoded, and other text rejected")
  {
    CHECK(FromHex("00ff") == std::string("\x00\xff", 2));
    CHECK_FALSE(FromHex("0"));
    CHECK_FALSE(FromHex("zz"));
  }

  SUBCASE("strings are compared by content and length")
  {
    CHECK(EqualConstantTime("abc", "abc"));
    CHECK_FALSE(EqualConstantTime("abc", "abd"));
    CHECK_FALSE(EqualConstantTime("abc", "abcd"));
  }
}

} // namespace bulrushfold
