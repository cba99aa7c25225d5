#ifndef BULRUSHFOLD_DAEMON_CALLERMESSAGE_H
#define BULRUSHFOLD_DAEMON_CALLERMESSAGE_H

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace bulrushfold {

/** Interface that a caller used for a model request. */
enum class CompletionKind
{
  Completion,
  Chat,
};

/** A model request of a caller. */
struct CompletionRequest
{
  CompletionKind mKind = CompletionKind::Completion;
  std::string mModel;
  std::string mPrompt;
  std::uint64_t mMaxTokens = 0;
  bool mIsStreamed = false;
};

/** Parses the body of a request. The message of InvalidArgument lists every
 * invalid member. */
absl::StatusOr<CompletionRequest> ParseCompletionRequest(
  CompletionKind aKind,
  const std::string& aBody);

/** Event of a streamed answer that carries one token. */
std::string FormatTokenEvent(const CompletionRequest& aRequest,
                             const std::string& aRequestId,
                             std::uint64_t aOffset,
                             const std::string& aText);

/** Last events of a complete streamed answer. */
std::string FormatEndEvents(const CompletionRequest& aRequest,
                            const std::string& aRequestId);

/** Body of an answer that is not streamed. */
std::string FormatWholeAnswer(const CompletionRequest& aRequest,
                              const std::string& aRequestId,
                              const std::string& aText,
                              std::uint64_t aTokens);

} // namespace bulrushfold

#endif
