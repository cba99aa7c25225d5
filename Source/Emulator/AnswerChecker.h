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

/** Ways in which an answer can violate the caller interface. */
enum class AnswerFault
{
  /** The text differs from the expected token. */
  WrongToken,
  /** The offset skips at least one token. */
  Gap,
  /** The offset was received before. */
  RepeatedToken,
  /** The answer has fewer tokens than requested. */
  TooShort,
  /** An event or token follows the end of the answer. */
  AfterEnd,
  /** The stream contains more than one [DONE]. */
  RepeatedDone,
  /** The stream ended as complete without [DONE]. */
  MissingDone,
  WrongFinishReason,
  /** The body or event is not JSON or lacks a required member. */
  Malformed,
  /** The Request-Id is missing or belongs to another answer. */
  WrongRequestId,
  /** The body of a service answer belongs to another request. */
  WrongBody,
};

/** Name of aFault in results. */
std::string_view AnswerFaultName(AnswerFault aFault);

/** True when aFault means that a part of the answer was delivered twice. */
bool IsRepetition(AnswerFault aFault);

/** Value of "ran" in a problem: whether the refused call was executed. */
enum class RanStatus
{
  No,
  Yes,
  Unknown,
};

/** Problem document with which a daemon refused a request. */
struct ProblemAnswer
{
  std::string mCode;
  RanStatus mRan = RanStatus::Unknown;
};

/** Compares the answer of one attempt with the expected one, byte by byte. */
class AnswerChecker
{
public:
  explicit AnswerChecker(const LoadCall& aCall);

  void CheckHeaders(int aStatus, const HttpHeaders& aHeaders);
  /** Checks one event of a streamed answer. */
  void CheckEvent(const SseEvent& aEvent);
  /** Checks the body of an answer that is not streamed. */
  void CheckBody(const std::string& aBody);
  /** Checks a streamed answer after its connection ended it as complete. */
  void CheckEnd();

  /** True when the answer arrived completely, with or without faults. */
  bool IsAnswered() const { return mIsAnswered; }
  const std::set<AnswerFault>& Faults() const { return mFaults; }
  const std::optional<ProblemAnswer>& Problem() const { return mProblem; }
  /** True when the answer is a stream of server-sent events. */
  bool IsEventStream() const { return mIsEventStream; }
  const std::string& RequestId() const { return mRequestId; }
  /** Tokens received so far. */
  std::uint64_t Tokens() const { return mTokens; }

private:
  void Report(AnswerFault aFault) { mFaults.insert(aFault); }
  void CheckProblem(const nlohmann::json& aProblem);
  void CheckTokens(const std::string& aId, const std::string& aText);
  void CheckWholeText(const std::string& aText);
  void CheckModelBody(const nlohmann::json& aBody);
  void CheckServiceBody(const nlohmann::json& aBody);

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
