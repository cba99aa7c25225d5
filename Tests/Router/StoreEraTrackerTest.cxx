#include "Platform/StoreEraTracker.h"

#include <limits>

#include <doctest/doctest.h>

namespace bulrushfold {

// Guards against content from before the store came back that is taken for new.
TEST_CASE("The era of a store's answer")
{
  StoreEraTracker eras;
  CHECK(eras.OnAnswer({}, 0) == 0);
  REQUIRE(eras.OnAnswer({ 3, false }, eras.Newest()) == 3);

  SUBCASE("rises with the store's")
  {
    CHECK(eras.OnAnswer({ 4, false }, 3) == 4);
    CHECK(eras.Newest() == 4);
  }
  SUBCASE("is a former one when the call began before the newest was known")
  {
    REQUIRE(eras.OnAnswer({ 4, false }, 3) == 4);
    CHECK_FALSE(eras.OnAnswer({ 3, false }, 3));
    CHECK_FALSE(eras.OnAnswer({ 3, false }, 0));
    CHECK(eras.Newest() == 4);
  }
  SUBCASE("is the newest when it is missing, unreadable or falls")
  {
    CHECK(eras.OnAnswer({}, 3) == 3);
    CHECK(eras.OnAnswer({ {}, true }, 3) == 3);
    CHECK(eras.OnAnswer({ 2, false }, 3) == 3);
    CHECK(eras.Newest() == 3);
  }
  SUBCASE("may be heard of from another daemon first")
  {
    eras.Learn(5);
    CHECK(eras.Newest() == 5);
    CHECK_FALSE(eras.OnAnswer({ 3, false }, 3));
    CHECK(eras.OnAnswer({ 5, false }, 3) == 5);
    eras.Learn(4);
    CHECK(eras.Newest() == 5);
  }
}

// Guards against versions that fall when the store comes back from a copy.
TEST_CASE("A version of a later era is greater than any of an earlier one")
{
  CHECK(ToVersion({ 0, 41 }) == 41);
  CHECK(ToVersion({ 2, 1 }) > ToVersion({ 1, kMaxRevisionNumber }));
  const std::uint64_t greatest =
    ToVersion({ kMaxStoreEra, kMaxRevisionNumber });
  CHECK(greatest < std::uint64_t{ 1 } << std::numeric_limits<double>::digits);
  CHECK(ToRevision(greatest).mEra == kMaxStoreEra);
  CHECK(ToRevision(greatest).mNumber == kMaxRevisionNumber);
}

} // namespace bulrushfold
