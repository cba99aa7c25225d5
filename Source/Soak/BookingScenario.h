#ifndef BULRUSHFOLD_SOAK_BOOKINGSCENARIO_H
#define BULRUSHFOLD_SOAK_BOOKINGSCENARIO_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Soak/BookingAudit.h"
#include "Soak/BookingDaemon.h"
#include "Soak/FaultyNetwork.h"
#include "Soak/FaultyStore.h"
#include "Soak/MembershipViews.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/**
 * Sends non-idempotent calls to six daemons while all faults are injected.
 * Tests decision 2 of the design page.
 */
class BookingScenario : public Scenario
{
public:
  explicit BookingScenario(SoakContext& aContext);

  std::string Name() const override { return "booking"; }
  std::vector<std::string> Defects() const override;
  void Start() override;
  void Settle() override;
  Duration SettleTime() const override;
  void Check() override;
  std::uint64_t Requests() const override { return mAudit.RequestCount(); }
  std::string Statistics() const override;

private:
  /** A key that a caller has used, and its body. */
  struct UsedKey
  {
    std::string mKey;
    std::string mDigest;
  };

  /** Decides at random whether to inject a fault of aClass now, and counts it.
   */
  bool ShouldInject(const char* aClass, double aChance);
  /** Random duration from 1 microsecond to aMaximum. */
  Duration RandomDuration(Duration aMaximum);

  void ScheduleCaller();
  void NewCall();
  void RetryUsedKey();
  void RetryElsewhere(const UsedKey& aUsed, std::size_t aExcludedDaemon);
  std::string Submit(const UsedKey& aUsed, std::size_t aDaemon);
  std::size_t PickDaemon();

  void ScheduleFaults();
  void InjectDaemonFaults();
  void KillDaemon(std::size_t aIndex);
  void ScheduleMembership();

  void Dispatch(BookingDaemon& aDaemon, const DispatchCall& aCall);
  void Execute(BookingDaemon& aDaemon, const std::string& aRequest);
  void Answer(const AnswerCaller& aAnswer);
  void CheckStoreSize();

  SoakContext& mContext;
  FaultyStore mStore;
  FaultyNetwork mNetwork;
  BookingAudit mAudit;
  MembershipViews mViews;
  BookingDaemon::Callbacks mCallbacks;
  std::vector<std::unique_ptr<BookingDaemon>> mDaemons;
  std::vector<UsedKey> mUsedKeys;
  std::vector<std::string> mProbes;
  std::uint64_t mNextRequest = 1;
  bool mSettling = false;
};

} // namespace bulrushfold

#endif
