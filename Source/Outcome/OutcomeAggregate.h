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

/** Returns the minute that contains aTime. */
Minute MinuteOf(WallTime aTime);

/** Properties by which outcomes are counted. */
struct OutcomeKey
{
  Cause mCause = Cause::ServedInTime;
  OutcomeStatus mStatus = OutcomeStatus::Served;
  Hop mHop = Hop::Decode;
  /** Endpoint that the cause concerns; empty when there is none. */
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

/** Range of whole minutes; mLast is included. */
struct MinuteRange
{
  Minute mFirst = 0;
  Minute mLast = -1;

  bool Contains(Minute aMinute) const
  {
    return aMinute >= mFirst && aMinute <= mLast;
  }
};

/** Number of requests that ended in one minute with one cause. */
struct MinuteCount
{
  Minute mMinute = 0;
  Cause mCause = Cause::ServedInTime;
  std::uint64_t mCount = 0;
};

using OutcomeCounts = std::map<OutcomeKey, std::uint64_t>;

/**
 * Counts outcomes by minute for two hours, so that an hour can be compared
 * with the previous one. The number of keys in a minute is limited; outcomes
 * over the limit are counted with an empty workspace and target.
 */
class OutcomeAggregate
{
public:
  /** Counts aRecord in the minute in which the request ended. */
  void Add(const OutcomeRecord& aRecord);
  /** Reverses Add of an equal record. */
  void Remove(const OutcomeRecord& aRecord);
  /** Removes minutes that are more than two hours before aNow. */
  void Trim(Minute aNow);

  OutcomeCounts Counts(const MinuteRange& aRange) const;
  std::vector<MinuteCount> Minutes(const MinuteRange& aRange) const;
  bool empty() const { return mMinutes.empty(); }

private:
  std::map<Minute, OutcomeCounts> mMinutes;
};

/** Returns the key under which aRecord is counted. */
OutcomeKey OutcomeKeyOf(const OutcomeRecord& aRecord);

/** Returns the minute in which the request of aRecord ended. */
Minute EndMinuteOf(const OutcomeRecord& aRecord);

} // namespace bulrushfold

#endif
