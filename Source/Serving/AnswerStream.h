#ifndef BULRUSHFOLD_SERVING_ANSWERSTREAM_H
#define BULRUSHFOLD_SERVING_ANSWERSTREAM_H

#include <cstdint>
#include <string>

namespace bulrushfold {

/** What to do with a received token. */
enum class TokenVerdict
{
  /** The next token of the answer. */
  Deliver,
  /** Already delivered, or from an attempt that was replaced. */
  Drop,
  /** Earlier tokens are missing, and the stream must be resumed. */
  Gap,
};

/**
 * Orders the tokens of one answer. Tokens are identified by attempt and offset,
 * so that late and repeated tokens and tokens of replaced attempts do not reach
 * the caller.
 */
class AnswerStream
{
public:
  /** Starts a new attempt; further tokens of earlier attempts are dropped. */
  void StartAttempt(std::uint32_t aAttempt) { mAttempt = aAttempt; }
  /** Decides on a received token. The next token of the answer is appended to
   * the text and counts as delivered. */
  TokenVerdict Accept(std::uint32_t aAttempt,
                      std::uint64_t aOffset,
                      const std::string& aText);

  std::uint32_t Attempt() const { return mAttempt; }
  /** Offset of the next token; equals the number of tokens delivered. */
  std::uint64_t NextOffset() const { return mNextOffset; }
  /** Text of all delivered tokens. */
  const std::string& Text() const { return mText; }

private:
  std::uint32_t mAttempt = 0;
  std::uint64_t mNextOffset = 0;
  std::string mText;
};

} // namespace bulrushfold

#endif
