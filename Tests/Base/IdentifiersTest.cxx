#include "Base/Identifiers.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

// Guards against misreading the time of an Idempotency-Key: old booking records
// are trimmed by the time of their keys.
TEST_CASE("The time of a UUIDv7 can be read back")
{
  Random random(7);

  SUBCASE("the time of a generated identifier is returned")
  {
    CHECK(rc::check([&random] {
      const auto n = *rc::gen::inRange<std::int64_t>(0, (1LL << 47));
      const WallTime time{ std::chrono::milliseconds(n) };
      RC_ASSERT(UuidV7Time(MakeUuidV7(time, random)) == time);
    }));
  }

  SUBCASE("texts that are not a UUIDv7 are rejected")
  {
    CHECK_FALSE(UuidV7Time(""));
    CHECK_FALSE(UuidV7Time("not a uuid"));
    CHECK_FALSE(UuidV7Time("f47ac10b-58cc-4372-a567-0e02b2c3d479"));
    CHECK_FALSE(UuidV7Time("01890a5d-ac96-774b-7cce-b302099a8057"));
    CHECK_FALSE(UuidV7Time("01890a5dxac96-774b-bcce-b302099a8057"));
    CHECK_FALSE(UuidV7Time("01890a5g-ac96-774b-bcce-b302099a8057"));
    CHECK(UuidV7Time("01890a5d-ac96-774b-bcce-b302099a8057"));
  }
}

} // namespace bulrushfold
