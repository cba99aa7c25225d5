#ifndef BULRUSHFOLD_SOAK_FAULTYSTORE_H
#define BULRUSHFOLD_SOAK_FAULTYSTORE_H

#include <functional>
#include <optional>
#include <string>

#include "Soak/InMemoryStore.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/**
 * An InMemoryStore with injected faults: replies are delayed or lost, writes
 * arrive after their timeout, calls exceed the rate limit, and the store has
 * outages.
 */
class FaultyStore
{
public:
  using GetCallback = std::function<void(absl::StatusOr<StoredObject>)>;
  using PutCallback = std::function<void(absl::StatusOr<std::uint64_t>)>;
  using DeleteCallback = std::function<void(absl::Status)>;

  static constexpr const char* kOutage = "store_outage";
  static constexpr const char* kReplyLost = "store_answer_lost";
  static constexpr const char* kWriteLate = "store_write_late";
  static constexpr const char* kRateLimit = "store_rate_limit";

  explicit FaultyStore(SoakContext& aContext);

  void Get(const std::string& aKey, const GetCallback& aCallback);
  void Put(const std::string& aKey,
           const std::string& aBody,
           std::optional<std::uint64_t> aExpected,
           const PutCallback& aCallback);
  void Delete(const std::string& aKey, const DeleteCallback& aCallback);

  /** Makes the store unavailable for aSpan. */
  void StartOutage(Duration aSpan);
  bool IsUnavailable() const;
  /** Ends the outage and stops the injection of faults. */
  void EndFaults();
  InMemoryStore& Data() { return mData; }

private:
  void PutNow(const std::string& aKey,
              const std::string& aBody,
              std::optional<std::uint64_t> aExpected,
              const PutCallback& aCallback);
  void PutLate(const std::string& aKey,
               const std::string& aBody,
               std::optional<std::uint64_t> aExpected,
               const PutCallback& aCallback);
  /** Decides at random whether to inject a fault of aClass now, and counts it.
   */
  bool ShouldInject(const char* aClass, double aChance);
  Duration Delay();

  SoakContext& mContext;
  InMemoryStore mData;
  Instant mOutageEnd;
  bool mFaultsEnded = false;
};

} // namespace bulrushfold

#endif
