#ifndef BULRUSHFOLD_OUTCOME_OUTCOMEAGGREGATE_H
#define BULRUSHFOLD_OUTCOME_OUTCOMEAGGREGATE_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/OutcomeRecord.h"

namespace bulrushfold {

/** Minutes since 1970. */
using Minute = std::int64_t;

/** The minute that contains aTime. */
Minute MinuteOf(WallTime aTime);

/** What outcomes are counted by. */
struct OutcomeKey
{
  Cause mCause = Cause::ServedInTime;
  OutcomeStatus mStatus = OutcomeStatus::Served;
  Hop mHop = Hop::Decode;
  /** Endpoint that the cause concerns; empty when it concerns none. */
  std::string mEndpoint;
  std::string mFailureDomain;
  std::string mWorkspace;
  std::string mTarget;

  bool operator<(const OutcomeKey& aOther) const
  {
    return Tie() < aOther.Tie();
  }
  bool operator==(const OutcomeKey& aOther) const
  {
    return Tie() == aOther.Tie();
  }

private:
  std::tuple<const Cause&,
             const OutcomeStatus&,
             const Hop&,
             const std::string&,
             const std::string&,
             const std::string&,
             const std::string&>
  Tie() const
  {
    return std::tie(
      mCause, mStatus, mHop, mEndpoint, mFailureDomain, mWorkspace, mTarget);
  }
};

/** Range of whole minutes. */
struct MinuteRange
{
  Minute mFirst = 0;
  Minute mLast = -1;

  bool Contains(Minute aMinute) const
  {
    return aMinute >= mFirst && aMinute <= mLast;
  }
};

/** Counts of one minute and cause. */
struct MinuteCount
{
  Minute mMinute = 0;
  Cause mCause = Cause::ServedInTime;
  std::uint64_t mCount = 0;
};

using OutcomeCounts = std::map<OutcomeKey, std::uint64_t>;

/**
 * Counts outcomes by minute for two hours, so that an hour can be compared
 * with the one before. A minute holds a bounded number of keys; outcomes
 * beyond it are counted with empty workspace and target.
 */
class OutcomeAggregate
{
public:
  /** Counts aRecord in the minute of its end. */
  void Add(const OutcomeRecord& aRecord);
  /** Takes back an Add of an equal record. */
  void Remove(const OutcomeRecord& aRecord);
  /** Forgets minutes that ended two hours before aNow. */
  void Trim(Minute aNow);

  OutcomeCounts Counts(const MinuteRange& aRange) const;
  std::vector<MinuteCount> Minutes(const MinuteRange& aRange) const;
  bool empty() const { return mMinutes.empty(); }

private:
  std::map<Minute, OutcomeCounts> mMinutes;
};

/** Key under which aRecord is counted. */
OutcomeKey OutcomeKeyOf(const OutcomeRecord& aRecord);

/** Minute of the end of aRecord. */
Minute EndMinuteOf(const OutcomeRecord& aRecord);

} // namespace bulrushfold

#endif
