#include "Router/SendEnd.h"

#include "Base/EnumNames.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<SendEnd, 5> kEndNames{ {
  { SendEnd::Answered, "answered" },
  { SendEnd::NotRun, "not_run" },
  { SendEnd::OtherEndpoint, "other_endpoint" },
  { SendEnd::NotSent, "not_sent" },
  { SendEnd::Unknown, "unknown" },
} };
} // namespace

std::string_view
SendEndName(SendEnd aEnd)
{
  return FindEnumName(kEndNames, aEnd);
}

std::string_view
SendEndName(SendEnd aEnd, HttpCallResult aResult)
{
  return aEnd == SendEnd::Unknown ? HttpCallResultName(aResult)
                                  : SendEndName(aEnd);
}

bool
IsCertainlyNotRun(SendEnd aEnd)
{
  return aEnd == SendEnd::NotRun || aEnd == SendEnd::OtherEndpoint ||
         aEnd == SendEnd::NotSent;
}

SendEnd
JudgeSend(HttpCallResult aResult,
          const AnswerMetadata& aMetadata,
          const std::string& aRequestId)
{
  if (aResult == HttpCallResult::ConnectFailed) {
    return SendEnd::NotSent;
  }
  if (aResult != HttpCallResult::Complete) {
    return SendEnd::Unknown;
  }
  if (!aMetadata.mRequestId.empty() && aMetadata.mRequestId != aRequestId) {
    return SendEnd::Unknown;
  }
  if (aMetadata.mIsMisdirected) {
    return SendEnd::OtherEndpoint;
  }
  if (aMetadata.mIsNotRun) {
    return SendEnd::NotRun;
  }
  return aMetadata.mHasServerStamp && !aMetadata.mRequestId.empty()
           ? SendEnd::Answered
           : SendEnd::Unknown;
}

SendResult
HealthOf(HttpCallResult aResult, SendEnd aEnd, int aStatus)
{
  switch (aEnd) {
    case SendEnd::Answered:
      return aStatus >= kHttpFirstServerError ? SendResult::ServerError
                                              : SendResult::Answered;
    case SendEnd::NotRun:
    case SendEnd::OtherEndpoint:
      return SendResult::Refused;
    case SendEnd::NotSent:
      return SendResult::ConnectFailed;
    case SendEnd::Unknown:
      return aResult == HttpCallResult::ReadTimeout ? SendResult::Slow
                                                    : SendResult::Broken;
  }
  return SendResult::Broken;
}

} // namespace bulrushfold
