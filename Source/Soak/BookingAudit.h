#ifndef BULRUSHFOLD_SOAK_BOOKINGAUDIT_H
#define BULRUSHFOLD_SOAK_BOOKINGAUDIT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Booking/BookingRegistry.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/** A request of a caller, and what its caller received. */
struct AuditedRequest
{
  std::string mKey;
  std::string mDigest;
  /** Daemon that received it. */
  std::size_t mDaemon = 0;
  bool mAnswered = false;
  /** The caller received "not run" or "body differs". */
  bool mAnsweredNotRun = false;
  bool mDone = false;
  /** The daemon died before it answered the request. */
  bool mIsInterrupted = false;
};

/** Executions of a key by endpoints. */
struct AuditedKey
{
  int mRuns = 0;
  std::string mRunRequest;
  std::string mRunDigest;
  std::string mAnswer;
};

/**
 * Records every request, execution and answer of the booking scenario and
 * checks the invariants answer-once (a request has one answer), answer-whole
 * (an answer is that of the key's execution), not-run-true (a request answered
 * "not run" is not executed) and at-most-once (a key is executed at most once).
 */
class BookingAudit
{
public:
  explicit BookingAudit(SoakContext& aContext);

  void OnRequest(const std::string& aRequest, const AuditedRequest& aRecord);
  /** An endpoint executes aRequest; returns the body of its answer. */
  std::string OnRun(const std::string& aRequest);
  void OnAnswer(const AnswerCaller& aAnswer);
  /** Marks the unanswered requests of a daemon that died as interrupted, and
   * returns them. */
  std::vector<std::string> OnDaemonDied(std::size_t aDaemon);
  const AuditedRequest& Request(const std::string& aRequest) const;
  /** Requests that are neither answered nor interrupted. */
  std::vector<std::string> UnansweredRequests() const;

  /** Whether aRequest was answered "done". */
  bool IsDone(const std::string& aRequest) const;

  std::uint64_t RequestCount() const { return mRequests.size(); }
  std::uint64_t AnswerCount(BookingOutcome aOutcome) const;
  const std::map<std::string, std::uint64_t>& AnswersByReason() const
  {
    return mAnswersByReason;
  }
  std::uint64_t RunCount() const { return mRunCount; }
  /** Number of "not run" answers for a key that another request had executed.
   */
  std::uint64_t NotRunOfUsedKeyCount() const { return mNotRunOfUsedKeyCount; }

private:
  void CheckDoneAnswer(const AnswerCaller& aAnswer,
                       const AuditedRequest& aRequest);
  void CheckNotRunAnswer(const AnswerCaller& aAnswer, AuditedRequest& aRequest);

  SoakContext& mContext;
  std::map<std::string, AuditedRequest> mRequests;
  std::map<std::string, AuditedKey> mKeys;
  std::map<BookingOutcome, std::uint64_t> mAnswersByOutcome;
  /** Answers by outcome and reason. */
  std::map<std::string, std::uint64_t> mAnswersByReason;
  std::uint64_t mRunCount = 0;
  std::uint64_t mNotRunOfUsedKeyCount = 0;
};

} // namespace bulrushfold

#endif
