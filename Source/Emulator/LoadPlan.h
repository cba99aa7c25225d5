#ifndef BULRUSHFOLD_EMULATOR_LOADPLAN_H
#define BULRUSHFOLD_EMULATOR_LOADPLAN_H

#include <cstdint>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Emulator/LoadSettings.h"

namespace bulrushfold {

/** One request of a load run, with the data that determine its answer. */
struct LoadCall
{
  std::uint64_t mNumber = 0;
  LoadKind mKind = LoadKind::CompletionStream;
  /** Path of the request. */
  std::string mTarget;
  std::string mBody;
  /** Idempotency-Key of a booking. */
  std::string mKey;
  std::string mModel;
  /** The prompt that engines receive, with chat messages joined. */
  std::string mPrompt;
  std::uint64_t mMaxTokens = 0;
  bool mIsSlow = false;
  /** Time after which the caller cancels. */
  std::optional<Duration> mCancelAfter;

  bool IsModelCall() const
  {
    return mKind != LoadKind::Lookup && mKind != LoadKind::Booking;
  }
  bool IsChat() const
  {
    return mKind == LoadKind::Chat || mKind == LoadKind::ChatStream;
  }
  bool IsStreamed() const
  {
    return mKind == LoadKind::CompletionStream || mKind == LoadKind::ChatStream;
  }
};

/** Generates the requests of a load run and the times between them. */
class LoadPlan
{
public:
  LoadPlan(const LoadSettings& aSettings, const Clock& aClock, Random& aRandom);

  LoadCall NextCall();
  /** Random time between two arrivals of the open loop. */
  Duration NextInterval();

private:
  LoadKind PickKind();
  std::uint64_t PickSize(const SizeRange& aRange);
  std::string MakePrompt(std::uint64_t aNumber);
  void FillModelCall(LoadCall& aCall);
  void FillServiceCall(LoadCall& aCall);

  const LoadSettings& mSettings;
  const Clock& mClock;
  Random& mRandom;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mNextArrival = 0;
};

} // namespace bulrushfold

#endif
