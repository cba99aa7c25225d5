#ifndef BULRUSHFOLD_SOAK_FAULTYSTORE_H
#define BULRUSHFOLD_SOAK_FAULTYSTORE_H

#include <functional>
#include <optional>
#include <string>

#include "Soak/InMemoryStore.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/**
 * InMemoryStore behind a network: answers take time, get lost, writes arrive
 * after their caller gave up, and the store has outages.
 */
class FaultyStore
{
public:
  using GetHook = std::function<void(absl::StatusOr<StoredObject>)>;
  using PutHook = std::function<void(absl::StatusOr<std::uint64_t>)>;
  using DeleteHook = std::function<void(absl::Status)>;

  static constexpr const char* kOutage = "store_outage";
  static constexpr const char* kAnswerLost = "store_answer_lost";
  static constexpr const char* kWriteLate = "store_write_late";
  static constexpr const char* kRateLimit = "store_rate_limit";

  explicit FaultyStore(SoakContext& aContext);

  void Get(const std::string& aKey, const GetHook& aHook);
  void Put(const std::string& aKey,
           const std::string& aBody,
           std::optional<std::uint64_t> aExpected,
           const PutHook& aHook);
  void Delete(const std::string& aKey, const DeleteHook& aHook);

  /** The store refuses everything for aSpan. */
  void BeginOutage(Duration aSpan);
  bool IsDown() const;
  /** Ends the outage and all further faults. */
  void Heal();
  InMemoryStore& Data() { return mData; }

private:
  void PutNow(const std::string& aKey,
              const std::string& aBody,
              std::optional<std::uint64_t> aExpected,
              const PutHook& aHook);
  void LateWrite(const std::string& aKey,
                 const std::string& aBody,
                 std::optional<std::uint64_t> aExpected,
                 const PutHook& aHook);
  bool Strikes(const char* aClass, double aChance);
  Duration Delay();

  SoakContext& mContext;
  InMemoryStore mData;
  Instant mDownUntil;
  bool mHealed = false;
};

} // namespace bulrushfold

#endif
