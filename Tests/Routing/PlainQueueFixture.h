#ifndef BULRUSHFOLD_TESTS_ROUTING_PLAINQUEUEFIXTURE_H
#define BULRUSHFOLD_TESTS_ROUTING_PLAINQUEUEFIXTURE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Routing/PlainQueue.h"

namespace bulrushfold {

/** A service whose endpoints have two slots each. */
struct PlainQueueFixture
{
  explicit PlainQueueFixture(int aEndpoints)
  {
    for (int i = 0; i < aEndpoints; ++i) {
      EndpointRecord record;
      record.mId = "e" + std::to_string(i);
      record.mService = "s";
      record.mSlots = 2;
      mDirectory.Put(record, 1, mNow);
    }
    mQueue.SetLimited(true);
  }

  PlainDemand Demand(std::uint64_t aNumber, Duration aTimeLeft) const
  {
    return { aNumber, "s", {}, false, mNow + aTimeLeft };
  }
  std::optional<PlainGrant> Submit(
    std::uint64_t aNumber,
    Duration aTimeLeft = std::chrono::milliseconds(300))
  {
    auto grant = mQueue.Submit(Demand(aNumber, aTimeLeft), mNow);
    if (grant && grant->mChoice) {
      Count(*grant);
    }
    return grant;
  }
  void Count(const PlainGrant& aGrant)
  {
    mRunning[aGrant.mNumber] = aGrant.mChoice->mEndpoint;
    mLoads.Begin(aGrant.mChoice->mEndpoint, { 1, 0 });
  }
  void End(std::uint64_t aNumber)
  {
    mLoads.End(mRunning.at(aNumber), { 1, 0 });
    mRunning.erase(aNumber);
  }
  /** Answers waiting demands; returns the numbers in the order of the answers,
   * negative when they are refused. */
  std::vector<int> Dispatch()
  {
    std::vector<int> numbers;
    mQueue.Dispatch(mNow, [&](const PlainGrant& aGrant) {
      const auto number = static_cast<int>(aGrant.mNumber);
      numbers.push_back(aGrant.mChoice ? number : -number);
      if (aGrant.mChoice) {
        Count(aGrant);
      }
    });
    return numbers;
  }
  /** Fills all slots, and the one request on its way to each endpoint. */
  void Fill()
  {
    std::uint64_t number = 1000;
    while (mQueue.Submit(Demand(number, std::chrono::seconds(1)), mNow)) {
      mQueue.Withdraw(number);
      const auto grant =
        mQueue.Submit(Demand(number, std::chrono::seconds(1)), mNow);
      Count(*grant);
      ++number;
    }
    mQueue.Withdraw(number);
  }

  Instant mNow{ std::chrono::seconds(1000) };
  Random mRandom{ 1 };
  EndpointDirectory mDirectory{ std::chrono::seconds(2) };
  EndpointLoads mLoads;
  EndpointHealth mHealth{ mRandom };
  PlainSelector mSelector{ mDirectory, mLoads, mHealth, "x", mRandom };
  PlainQueue mQueue{ mSelector };
  std::map<std::uint64_t, std::string> mRunning;
};

} // namespace bulrushfold

#endif
