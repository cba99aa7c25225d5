#ifndef BULRUSHFOLD_EMULATOR_TOKENSOURCE_H
#define BULRUSHFOLD_EMULATOR_TOKENSOURCE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushfold {

/**
 * The emulator's output tokens, which follow from model, prompt and offset as
 * docs/interfaces.md defines them.
 */
class TokenSource
{
public:
  TokenSource(std::string_view aModel, std::string_view aPrompt);

  /** Token at aOffset, with its final space. */
  std::string Token(std::uint64_t aOffset);

private:
  /** Model and prompt; the offset is appended for each token. */
  std::string mText;
  std::size_t mPrefixLength;
};

/** Tokens of a text: one for each four bytes, rounded up. */
std::uint64_t CountTokens(std::string_view aText);

} // namespace bulrushfold

#endif
