#include "Emulator/TokenSource.h"

#include "Base/Digest.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

TokenSource::TokenSource(std::string_view aModel, std::string_view aPrompt)
  : mText(absl::StrCat(std::string(aModel), "\n", std::string(aPrompt), "\n"))
  , mPrefixLength(mText.size())
{
}

std::string
TokenSource::Token(std::uint64_t aOffset)
{
  constexpr std::size_t kDigits = 6;
  mText.resize(mPrefixLength);
  absl::StrAppend(&mText, aOffset);
  return absl::StrCat("t", DigestHex(mText).substr(0, kDigits), " ");
}

std::uint64_t
CountTokens(std::string_view aText)
{
  constexpr std::uint64_t kBytesPerToken = 4;
  return (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace bulrushfold
