#ifndef BULRUSHFOLD_EMULATOR_ANSWERCHECKER_H
#define BULRUSHFOLD_EMULATOR_ANSWERCHECKER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Emulator/LoadPlan.h"
#include "Emulator/TokenSource.h"
#include "Net/HttpMessage.h"
#include "Net/SseReader.h"

namespace bulrushfold {

/** What can be wrong with an answer. */
enum class AnswerFault
{
  /** Text that is not the expected token. */
  WrongToken,
  /** An offset beyond the next one. */
  Gap,
  /** An offset that was received before. */
  RepeatedToken,
  /** Fewer tokens than asked for, or none. */
  TooShort,
  /** An event after the end of the answer. */
  AfterEnd,
  /** More than one [DONE]. */
  RepeatedDone,
  /** A stream that ended as complete without [DONE]. */
  MissingDone,
  WrongFinishReason,
  /** Not JSON, or without the members that the interface names. */
  Malformed,
  /** No Request-Id, or not the one of this answer. */
  WrongRequestId,
  /** Body of a service answer that does not belong to the request. */
  WrongBody,
};

/** Name of aFault in results. */
std::string_view AnswerFaultName(AnswerFault aFault);

/** True when the fault means that something was delivered twice. */
bool IsRepetition(AnswerFault aFault);

/** What a refusal says about the call. */
enum class RanClaim
{
  No,
  Yes,
  Unknown,
};

/** A problem that the daemon answered with. */
struct ProblemAnswer
{
  std::string mCode;
  RanClaim mRan = RanClaim::Unknown;
};

/** Checks the answer of one attempt byte by byte. */
class AnswerChecker
{
public:
  explicit AnswerChecker(const LoadCall& aCall);

  void TakeHeaders(int aStatus, const HttpHeaders& aHeaders);
  /** Takes an event of a streamed answer. */
  void TakeEvent(const SseEvent& aEvent);
  /** Takes the body of an answer that is not streamed. */
  void TakeBody(const std::string& aBody);
  /** Called when a streamed answer ended as complete. */
  void TakeEnd();

  /** True when the whole answer arrived, with or without faults. */
  bool IsAnswered() const { return mIsAnswered; }
  const std::set<AnswerFault>& Faults() const { return mFaults; }
  const std::optional<ProblemAnswer>& Problem() const { return mProblem; }
  /** True when the answer comes as events. */
  bool IsEventStream() const { return mIsEventStream; }
  const std::string& RequestId() const { return mRequestId; }
  /** Tokens received so far. */
  std::uint64_t Tokens() const { return mTokens; }

private:
  void Report(AnswerFault aFault) { mFaults.insert(aFault); }
  void TakeProblem(const nlohmann::json& aProblem);
  void TakeText(const std::string& aId, const std::string& aText);
  void CheckWholeText(const std::string& aText);
  void TakeModelBody(const nlohmann::json& aBody);
  void TakeServiceBody(const nlohmann::json& aBody);

  const LoadCall& mCall;
  TokenSource mExpected;
  std::set<AnswerFault> mFaults;
  std::optional<ProblemAnswer> mProblem;
  int mStatus = 0;
  std::string mRequestId;
  bool mIsEventStream = false;
  std::uint64_t mTokens = 0;
  bool mIsFinished = false;
  bool mIsDone = false;
  bool mIsAnswered = false;
};

} // namespace bulrushfold

#endif
