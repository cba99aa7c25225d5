#ifndef BULRUSHFOLD_PLATFORM_STOREREVISION_H
#define BULRUSHFOLD_PLATFORM_STOREREVISION_H

#include <cstdint>

namespace bulrushfold {

/** Number of times that a store has come back from a copy; 0: the store has no
 * eras. */
using StoreEra = std::uint64_t;

/**
 * A revision as the store states it. A store that comes back from a copy
 * assigns numbers again, so that only numbers of the same era can be compared.
 */
struct StoreRevision
{
  StoreEra mEra = 0;
  std::uint64_t mNumber = 0;
};

/** Bits of a version that hold the number of its revision. */
constexpr unsigned kRevisionNumberBits = 40;
constexpr std::uint64_t kMaxRevisionNumber =
  (std::uint64_t{ 1 } << kRevisionNumberBits) - 1;
/** Versions are sent as JSON numbers, which are exact up to 53 bits. */
constexpr StoreEra kMaxStoreEra =
  (std::uint64_t{ 1 } << (53 - kRevisionNumberBits)) - 1;

/**
 * The version that stands for aRevision in the product. A version of a later
 * era is greater than any of an earlier one, so that versions never fall.
 * aRevision must not exceed kMaxStoreEra and kMaxRevisionNumber.
 */
constexpr std::uint64_t
ToVersion(const StoreRevision& aRevision)
{
  return aRevision.mEra << kRevisionNumberBits | aRevision.mNumber;
}

constexpr StoreRevision
ToRevision(std::uint64_t aVersion)
{
  return { aVersion >> kRevisionNumberBits, aVersion & kMaxRevisionNumber };
}

/** Era of the revision that aVersion stands for. */
constexpr StoreEra
EraOf(std::uint64_t aVersion)
{
  return ToRevision(aVersion).mEra;
}

} // namespace bulrushfold

#endif
