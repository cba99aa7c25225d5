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
  mContext.mJournal.Note(aRecord.mKey,
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
  mContext.mJournal.Note(request.mKey, absl::StrCat("run by ", aRequest));
  ++mRuns;
  if (++key.mRuns > 1) {
    mContext.mJournal.Violate(
      "at-most-once",
      request.mKey,
      absl::StrCat("run ", key.mRuns, " by ", aRequest));
  }
  if (request.mToldNotRun) {
    mContext.mJournal.Violate(
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
  mContext.mJournal.Note(
    request.mKey,
    absl::StrCat("answer to ",
                 aAnswer.mRequest,
                 ": ",
                 std::string(BookingOutcomeName(aAnswer.mOutcome)),
                 " ",
                 aAnswer.mReason));
  ++mAnswers[aAnswer.mOutcome];
  ++mReasons[absl::StrCat(
    std::string(BookingOutcomeName(aAnswer.mOutcome)), ".", aAnswer.mReason)];
  if (request.mAnswered) {
    mContext.mJournal.Violate(
      "answer-once", request.mKey, absl::StrCat(aAnswer.mRequest));
  }
  request.mAnswered = true;
  if (aAnswer.mOutcome == BookingOutcome::Done) {
    request.mDone = true;
    CheckDone(aAnswer, request);
  } else if (aAnswer.mOutcome != BookingOutcome::Unknown) {
    CheckNotRun(aAnswer, request);
  }
}

void
BookingAudit::CheckDone(const AnswerCaller& aAnswer,
                        const AuditedRequest& aRequest)
{
  const AuditedKey& key = mKeys[aRequest.mKey];
  const bool whole = aAnswer.mAnswer && (aAnswer.mAnswer->truncated ||
                                         aAnswer.mAnswer->body == key.mAnswer);
  if (key.mRuns == 0 || !whole || key.mRunDigest != aRequest.mDigest) {
    mContext.mJournal.Violate(
      "answer-whole",
      aRequest.mKey,
      absl::StrCat(aAnswer.mRequest, " received an answer to another request"));
  }
}

void
BookingAudit::CheckNotRun(const AnswerCaller& aAnswer, AuditedRequest& aRequest)
{
  const AuditedKey& key = mKeys[aRequest.mKey];
  aRequest.mToldNotRun = true;
  if (key.mRuns > 0 && aAnswer.mOutcome == BookingOutcome::NotRun) {
    ++mNotRunOfUsedKey;
    mContext.mJournal.Note(aRequest.mKey,
                           "\"not run\" answered for a used key");
  }
  if (key.mRuns > 0 && key.mRunRequest == aAnswer.mRequest) {
    mContext.mJournal.Violate(
      "not-run-true",
      aRequest.mKey,
      absl::StrCat(aAnswer.mRequest, " was run and answered \"not run\""));
  }
}

std::vector<std::string>
BookingAudit::OnDaemonDied(std::size_t aDaemon)
{
  std::vector<std::string> open;
  for (auto& [id, request] : mRequests) {
    if (request.mDaemon == aDaemon && !request.mAnswered && !request.mBroken) {
      request.mBroken = true;
      open.push_back(id);
    }
  }
  return open;
}

const AuditedRequest&
BookingAudit::Request(const std::string& aRequest) const
{
  return mRequests.at(aRequest);
}

bool
BookingAudit::Done(const std::string& aRequest) const
{
  return mRequests.at(aRequest).mDone;
}

std::vector<std::string>
BookingAudit::Open() const
{
  std::vector<std::string> open;
  for (const auto& [id, request] : mRequests) {
    if (!request.mAnswered && !request.mBroken) {
      open.push_back(id);
    }
  }
  return open;
}

std::uint64_t
BookingAudit::Answers(BookingOutcome aOutcome) const
{
  const auto it = mAnswers.find(aOutcome);
  return it == mAnswers.end() ? 0 : it->second;
}

} // namespace bulrushfold
