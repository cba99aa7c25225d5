#include "Soak/BookingAudit.h"

#include "absl/strings/str_cat.h"

namespace bulrushfold {

BookingAudit::BookingAudit(SoakContext& aContext)
  : mContext(aContext)
{
}

void
BookingAudit::OnRequest(const std::string& aRequest,
                        const AuditedRequest& aRecord)
{
  mRequests[aRequest] = aRecord;
  mKeys[aRecord.mKey];
  mContext.mJournal.Record(aRecord.mKey,
                           absl::StrCat("request ",
                                        aRequest,
                                        " at daemon ",
                                        aRecord.mDaemon,
                                        " body ",
                                        aRecord.mDigest));
}

std::string
BookingAudit::OnRun(const std::string& aRequest)
{
  const AuditedRequest& request = mRequests.at(aRequest);
  AuditedKey& key = mKeys[request.mKey];
  mContext.mJournal.Record(request.mKey, absl::StrCat("run by ", aRequest));
  ++mRunCount;
  if (++key.mRuns > 1) {
    mContext.mJournal.ReportViolation(
      "at-most-once",
      request.mKey,
      absl::StrCat("run ", key.mRuns, " by ", aRequest));
  }
  if (request.mAnsweredNotRun) {
    mContext.mJournal.ReportViolation(
      "not-run-true",
      request.mKey,
      absl::StrCat(aRequest,
                   " runs after its caller was answered \"not run\""));
  }
  key.mRunRequest = aRequest;
  key.mRunDigest = request.mDigest;
  key.mAnswer =
    absl::StrCat("ran ", request.mKey, " ", request.mDigest, " ", aRequest);
  return key.mAnswer;
}

void
BookingAudit::OnAnswer(const AnswerCaller& aAnswer)
{
  AuditedRequest& request = mRequests.at(aAnswer.mRequest);
  mContext.mJournal.Record(
    request.mKey,
    absl::StrCat("answer to ",
                 aAnswer.mRequest,
                 ": ",
                 std::string(BookingOutcomeName(aAnswer.mOutcome)),
                 " ",
                 aAnswer.mReason));
  ++mAnswersByOutcome[aAnswer.mOutcome];
  ++mAnswersByReason[absl::StrCat(
    std::string(BookingOutcomeName(aAnswer.mOutcome)), ".", aAnswer.mReason)];
  if (request.mAnswered) {
    mContext.mJournal.ReportViolation(
      "answer-once", request.mKey, absl::StrCat(aAnswer.mRequest));
  }
  request.mAnswered = true;
  if (aAnswer.mOutcome == BookingOutcome::Done) {
    request.mDone = true;
    CheckDoneAnswer(aAnswer, request);
  } else if (aAnswer.mOutcome != BookingOutcome::Unknown) {
    CheckNotRunAnswer(aAnswer, request);
  }
}

void
BookingAudit::CheckDoneAnswer(const AnswerCaller& aAnswer,
                              const AuditedRequest& aRequest)
{
  const AuditedKey& key = mKeys[aRequest.mKey];
  const bool isExpected =
    aAnswer.mAnswer &&
    (aAnswer.mAnswer->truncated || aAnswer.mAnswer->body == key.mAnswer);
  if (key.mRuns == 0 || !isExpected || key.mRunDigest != aRequest.mDigest) {
    mContext.mJournal.ReportViolation(
      "answer-whole",
      aRequest.mKey,
      absl::StrCat(aAnswer.mRequest, " received an answer to another request"));
  }
}

void
BookingAudit::CheckNotRunAnswer(const AnswerCaller& aAnswer,
                                AuditedRequest& aRequest)
{
  const AuditedKey& key = mKeys[aRequest.mKey];
  aRequest.mAnsweredNotRun = true;
  if (key.mRuns > 0 && aAnswer.mOutcome == BookingOutcome::NotRun) {
    ++mNotRunOfUsedKeyCount;
    mContext.mJournal.Record(aRequest.mKey,
                             "\"not run\" answered for a used key");
  }
  if (key.mRuns > 0 && key.mRunRequest == aAnswer.mRequest) {
    mContext.mJournal.ReportViolation(
      "not-run-true",
      aRequest.mKey,
      absl::StrCat(aAnswer.mRequest, " was run and answered \"not run\""));
  }
}

std::vector<std::string>
BookingAudit::OnDaemonDied(std::size_t aDaemon)
{
  std::vector<std::string> unanswered;
  for (auto& [id, request] : mRequests) {
    if (request.mDaemon == aDaemon && !request.mAnswered &&
        !request.mIsInterrupted) {
      request.mIsInterrupted = true;
      unanswered.push_back(id);
    }
  }
  return unanswered;
}

const AuditedRequest&
BookingAudit::Request(const std::string& aRequest) const
{
  return mRequests.at(aRequest);
}

bool
BookingAudit::IsDone(const std::string& aRequest) const
{
  return mRequests.at(aRequest).mDone;
}

std::vector<std::string>
BookingAudit::UnansweredRequests() const
{
  std::vector<std::string> unanswered;
  for (const auto& [id, request] : mRequests) {
    if (!request.mAnswered && !request.mIsInterrupted) {
      unanswered.push_back(id);
    }
  }
  return unanswered;
}

std::uint64_t
BookingAudit::AnswerCount(BookingOutcome aOutcome) const
{
  const auto it = mAnswersByOutcome.find(aOutcome);
  return it == mAnswersByOutcome.end() ? 0 : it->second;
}

} // namespace bulrushfold
