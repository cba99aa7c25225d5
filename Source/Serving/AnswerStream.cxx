#include "Serving/AnswerStream.h"

namespace bulrushfold {

TokenVerdict
AnswerStream::Accept(std::uint32_t aAttempt,
                     std::uint64_t aOffset,
                     const std::string& aText)
{
  if (aAttempt != mAttempt || aOffset < mNextOffset) {
    return TokenVerdict::Drop;
  }
  if (aOffset > mNextOffset) {
    return TokenVerdict::Gap;
  }
  ++mNextOffset;
  mText += aText;
  return TokenVerdict::Deliver;
}

} // namespace bulrushfold
