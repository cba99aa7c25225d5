#include "Router/SendOutcome.h"

#include "Base/EnumNames.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<SendOutcome, 5> kSendOutcomeNames{ {
  { SendOutcome::Answered, "answered" },
  { SendOutcome::NotRun, "not_run" },
  { SendOutcome::OtherEndpoint, "other_endpoint" },
  { SendOutcome::NotSent, "not_sent" },
  { SendOutcome::Unknown, "unknown" },
} };
} // namespace

std::string_view
SendOutcomeName(SendOutcome aOutcome)
{
  return FindEnumName(kSendOutcomeNames, aOutcome);
}

std::string_view
SendOutcomeName(SendOutcome aOutcome, HttpCallResult aResult)
{
  return aOutcome == SendOutcome::Unknown ? HttpCallResultName(aResult)
                                          : SendOutcomeName(aOutcome);
}

bool
IsCertainlyNotRun(SendOutcome aOutcome)
{
  return aOutcome == SendOutcome::NotRun ||
         aOutcome == SendOutcome::OtherEndpoint ||
         aOutcome == SendOutcome::NotSent;
}

SendOutcome
ClassifySend(HttpCallResult aResult,
             const AnswerMetadata& aMetadata,
             const std::string& aRequestId)
{
  if (aResult == HttpCallResult::ConnectFailed) {
    return SendOutcome::NotSent;
  }
  if (aResult != HttpCallResult::Complete) {
    return SendOutcome::Unknown;
  }
  if (!aMetadata.mRequestId.empty() && aMetadata.mRequestId != aRequestId) {
    return SendOutcome::Unknown;
  }
  if (aMetadata.mIsMisdirected) {
    return SendOutcome::OtherEndpoint;
  }
  if (aMetadata.mIsNotRun) {
    return SendOutcome::NotRun;
  }
  return aMetadata.mHasServerStamp && !aMetadata.mRequestId.empty()
           ? SendOutcome::Answered
           : SendOutcome::Unknown;
}

SendResult
HealthResultOf(HttpCallResult aResult, SendOutcome aOutcome, int aStatus)
{
  switch (aOutcome) {
    case SendOutcome::Answered:
      return aStatus >= kHttpFirstServerError ? SendResult::ServerError
                                              : SendResult::Answered;
    case SendOutcome::NotRun:
    case SendOutcome::OtherEndpoint:
      return SendResult::Refused;
    case SendOutcome::NotSent:
      return SendResult::ConnectFailed;
    case SendOutcome::Unknown:
      return aResult == HttpCallResult::ReadTimeout ? SendResult::Slow
                                                    : SendResult::Interrupted;
  }
  return SendResult::Interrupted;
}

} // namespace bulrushfold
