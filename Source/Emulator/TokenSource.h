#ifndef BULRUSHFOLD_EMULATOR_TOKENSOURCE_H
#define BULRUSHFOLD_EMULATOR_TOKENSOURCE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushfold {

/**
 * Output tokens of the engine emulator. Model, prompt and offset determine each
 * token; docs/interfaces.md defines how.
 */
class TokenSource
{
public:
  TokenSource(std::string_view aModel, std::string_view aPrompt);

  /** Token at aOffset, including its trailing space. */
  std::string Token(std::uint64_t aOffset);

private:
  /** Hash input: model and prompt, followed by the offset of the last token. */
  std::string mText;
  std::size_t mPrefixLength;
};

/** Number of tokens of a text: one for each four bytes, rounded up. */
std::uint64_t CountTokens(std::string_view aText);

} // namespace bulrushfold

#endif
