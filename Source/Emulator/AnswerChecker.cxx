#include "Emulator/AnswerChecker.h"

#include "Base/Digest.h"
#include "Base/EnumNames.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;

constexpr EnumNames<AnswerFault, 11> kFaultNames{ {
  { AnswerFault::WrongToken, "wrong_token" },
  { AnswerFault::Gap, "gap" },
  { AnswerFault::RepeatedToken, "repeated_token" },
  { AnswerFault::TooShort, "too_short" },
  { AnswerFault::AfterEnd, "after_end" },
  { AnswerFault::RepeatedDone, "repeated_done" },
  { AnswerFault::MissingDone, "missing_done" },
  { AnswerFault::WrongFinishReason, "wrong_finish_reason" },
  { AnswerFault::Malformed, "malformed" },
  { AnswerFault::WrongRequestId, "wrong_request_id" },
  { AnswerFault::WrongBody, "wrong_body" },
} };

constexpr EnumNames<RanStatus, 3> kRanNames{ {
  { RanStatus::No, "no" },
  { RanStatus::Yes, "yes" },
  { RanStatus::Unknown, "unknown" },
} };

/** String member aKey of an object; empty if missing or not a string. */
std::string
TextOf(const Json& aJson, const char* aKey)
{
  const bool has = aJson.is_object() && aJson.contains(aKey);
  return has && aJson[aKey].is_string() ? aJson[aKey].get<std::string>() : "";
}

/** The single entry of "choices"; null unless there is exactly one. */
const Json*
ChoiceOf(const Json& aJson)
{
  if (!aJson.is_object() || !aJson.contains("choices") ||
      !aJson["choices"].is_array() || aJson["choices"].size() != 1) {
    return nullptr;
  }
  return &aJson["choices"][0];
}

} // namespace

std::string_view
AnswerFaultName(AnswerFault aFault)
{
  return FindEnumName(kFaultNames, aFault);
}

bool
IsRepetition(AnswerFault aFault)
{
  return aFault == AnswerFault::RepeatedToken ||
         aFault == AnswerFault::RepeatedDone;
}

AnswerChecker::AnswerChecker(const LoadCall& aCall)
  : mCall(aCall)
  , mExpected(aCall.mModel, aCall.mPrompt)
{
}

void
AnswerChecker::CheckHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  mStatus = aStatus;
  mRequestId = aHeaders.Find("Request-Id").value_or("");
  if (mRequestId.empty()) {
    Report(AnswerFault::WrongRequestId);
  }
  const std::string type = aHeaders.Find("Content-Type").value_or("");
  mIsEventStream = absl::StartsWith(type, "text/event-stream");
}

void
AnswerChecker::CheckProblem(const Json& aProblem)
{
  ProblemAnswer problem;
  problem.mCode = TextOf(aProblem, "code");
  const auto ran = FindEnumValue(kRanNames, TextOf(aProblem, "ran"));
  if (problem.mCode.empty() || !ran) {
    Report(AnswerFault::Malformed);
  }
  problem.mRan = ran.value_or(RanStatus::Unknown);
  if (TextOf(aProblem, "request_id") != mRequestId) {
    Report(AnswerFault::WrongRequestId);
  }
  mProblem = std::move(problem);
}

void
AnswerChecker::CheckEvent(const SseEvent& aEvent)
{
  if (mIsDone || mProblem) {
    Report(aEvent.mData == "[DONE]" && mIsDone ? AnswerFault::RepeatedDone
                                               : AnswerFault::AfterEnd);
    return;
  }
  if (aEvent.mData == "[DONE]") {
    mIsDone = true;
    if (!mIsFinished || mTokens != mCall.mMaxTokens) {
      Report(AnswerFault::TooShort);
    }
    return;
  }
  const Json json = Json::parse(aEvent.mData, nullptr, false);
  if (json.is_object() && json.contains("error")) {
    CheckProblem(json["error"]);
    return;
  }
  const Json* choice = ChoiceOf(json);
  if (choice == nullptr) {
    Report(AnswerFault::Malformed);
    return;
  }
  const std::string text = mCall.IsChat() && choice->contains("delta")
                             ? TextOf((*choice)["delta"], "content")
                             : TextOf(*choice, "text");
  if (!text.empty()) {
    CheckTokens(aEvent.mId, text);
  }
  if (const std::string reason = TextOf(*choice, "finish_reason");
      !reason.empty()) {
    mIsFinished = true;
    if (reason != "length") {
      Report(AnswerFault::WrongFinishReason);
    }
  }
}

void
AnswerChecker::CheckTokens(const std::string& aId, const std::string& aText)
{
  std::uint64_t offset = 0;
  if (mIsFinished) {
    Report(AnswerFault::AfterEnd);
  }
  if (!absl::SimpleAtoi(aId, &offset)) {
    Report(AnswerFault::Malformed);
    return;
  }
  if (offset < mTokens) {
    Report(AnswerFault::RepeatedToken);
    return;
  }
  if (offset > mTokens) {
    Report(AnswerFault::Gap);
    mTokens = offset;
  }
  // One event may carry several whole tokens.
  std::string_view rest = aText;
  while (!rest.empty()) {
    if (mTokens >= mCall.mMaxTokens) {
      Report(AnswerFault::AfterEnd);
      return;
    }
    const std::string token = mExpected.Token(mTokens);
    if (rest.substr(0, token.size()) != token) {
      Report(AnswerFault::WrongToken);
      return;
    }
    rest.remove_prefix(token.size());
    ++mTokens;
  }
}

void
AnswerChecker::CheckEnd()
{
  if (mProblem) {
    return;
  }
  mIsAnswered = true;
  if (!mIsDone) {
    Report(AnswerFault::MissingDone);
  }
}

void
AnswerChecker::CheckBody(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (mStatus != kOk) {
    CheckProblem(json);
    return;
  }
  mIsAnswered = true;
  if (mCall.IsStreamed()) {
    Report(AnswerFault::MissingDone);
  } else if (mCall.IsModelCall()) {
    CheckModelBody(json);
  } else {
    CheckServiceBody(json);
  }
}

void
AnswerChecker::CheckModelBody(const Json& aBody)
{
  const Json* choice = ChoiceOf(aBody);
  if (choice == nullptr) {
    Report(AnswerFault::Malformed);
    return;
  }
  if (TextOf(*choice, "finish_reason") != "length") {
    Report(AnswerFault::WrongFinishReason);
  }
  CheckWholeText(mCall.IsChat() && choice->contains("message")
                   ? TextOf((*choice)["message"], "content")
                   : TextOf(*choice, "text"));
}

void
AnswerChecker::CheckWholeText(const std::string& aText)
{
  std::string expected;
  for (std::uint64_t i = 0; i < mCall.mMaxTokens; ++i) {
    expected += mExpected.Token(i);
  }
  mTokens = mCall.mMaxTokens;
  if (aText == expected) {
    return;
  }
  const bool isPrefix = absl::StartsWith(expected, aText);
  Report(isPrefix ? AnswerFault::TooShort : AnswerFault::WrongToken);
}

void
AnswerChecker::CheckServiceBody(const Json& aBody)
{
  if (TextOf(aBody, "digest") != DigestHex(mCall.mBody) ||
      TextOf(aBody, "key") != mCall.mKey) {
    Report(AnswerFault::WrongBody);
  }
}

} // namespace bulrushfold
