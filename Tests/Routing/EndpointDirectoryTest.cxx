#include "Routing/EndpointDirectory.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointRecord
MakeEndpoint(const std::string& aId)
{
  EndpointRecord record;
  record.mId = aId;
  record.mService = "s";
  record.mAddress = { "10.0.0.1", 80 };
  record.mIncarnation = 1;
  return record;
}
} // namespace

TEST_CASE("The directory follows the registry")
{
  EndpointDirectory directory(seconds(2));
  std::vector<EndpointChange> changes;
  directory.OnChange().connect(
    [&](const EndpointRecord&, EndpointChange aChange) {
      changes.push_back(aChange);
    });
  Instant now{ seconds(100) };
  const auto usable = [&] {
    return directory.Usable("s", EndpointRole::General).size();
  };
  const EndpointRecord a = MakeEndpoint("a");
  const EndpointRecord b = MakeEndpoint("b");
  directory.Replace({ a, b }, 5, now);
  CHECK(usable() == 2);
  CHECK(directory.Revision() == 5);
  changes.clear();

  // Guards against requests to an endpoint that leaves.
  SUBCASE("a draining endpoint gets nothing new")
  {
    EndpointRecord draining = a;
    draining.mIsDraining = true;
    directory.Put(draining, 6, now);
    CHECK(usable() == 1);
    CHECK_FALSE(directory.IsUsable("a"));
    CHECK(changes == std::vector{ EndpointChange::Draining });
    SUBCASE("until it is ready again")
    {
      directory.Put(a, 7, now);
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("and is gone when its entry is removed")
    {
      directory.Remove("a", 7, now);
      CHECK(directory.Find("a") == nullptr);
    }
  }
  SUBCASE("a removed entry is gone at once")
  {
    directory.Remove("a", 6, now);
    CHECK(usable() == 1);
    CHECK(changes == std::vector{ EndpointChange::Removed });
    directory.Remove("a", 7, now);
    CHECK(changes.size() == 1);
  }
  // Guards against counts and connections of an earlier process.
  SUBCASE("a restart under the same id is told apart")
  {
    EndpointRecord again = a;
    again.mIncarnation = 2;
    directory.Put(again, 6, now);
    CHECK(changes == std::vector{ EndpointChange::Restarted });
  }
  SUBCASE("an entry that names another service is another endpoint")
  {
    EndpointRecord moved = a;
    moved.mService = "t";
    directory.Put(moved, 6, now);
    CHECK(usable() == 1);
    CHECK(directory.Usable("t", EndpointRole::General).size() == 1);
    CHECK(changes ==
          std::vector{ EndpointChange::Removed, EndpointChange::Added });
  }
  // Entries lapse while the registry is away although their endpoints live.
  SUBCASE("after an outage a missing entry is kept for the grace period")
  {
    directory.OnRegistryRecovered(now);
    directory.Replace({ b }, 6, now);
    CHECK(directory.IsUsable("a"));
    CHECK(changes == std::vector{ EndpointChange::Missing });
    REQUIRE(directory.NextExpiry() == now + seconds(2));

    SUBCASE("and gone after it")
    {
      directory.Expire(now + milliseconds(1999));
      CHECK(directory.IsUsable("a"));
      directory.Expire(now + seconds(2));
      CHECK(directory.Find("a") == nullptr);
      CHECK_FALSE(directory.NextExpiry());
    }
    SUBCASE("unless it comes back")
    {
      directory.Put(a, 7, now + seconds(1));
      directory.Expire(now + seconds(2));
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("and one that is removed later is gone at once")
    {
      directory.Remove("b", 7, now + seconds(3));
      CHECK(directory.Find("b") == nullptr);
    }
  }
  // A daemon that is cut off from the registry sent six times to a runner that
  // answered 421 each time.
  SUBCASE("an endpoint whose address another one has is left out")
  {
    directory.OnAddressReused("a");
    CHECK(usable() == 1);
    directory.Put(a, 6, now);
    CHECK(usable() == 1);
    EndpointRecord moved = a;
    moved.mAddress.mPort = 81;
    directory.Put(moved, 7, now);
    CHECK(usable() == 2);
  }
}

TEST_CASE("An engine that changes its role takes no work until it has")
{
  EndpointDirectory directory(seconds(2));
  const Instant now{ seconds(100) };
  EndpointRecord engine = MakeEndpoint("e");
  engine.mRole = EndpointRole::Prefill;
  directory.Put(engine, 1, now);
  const RoleOrder order{ EndpointRole::Decode, now + seconds(12) };
  directory.OnRoleOrdered("e", order, now);
  CHECK_FALSE(directory.IsUsable("e"));
  CHECK(directory.RoleOrders(now).count("e") == 1);

  SUBCASE("the registry shows the new role")
  {
    engine.mRole = EndpointRole::Decode;
    directory.Put(engine, 2, now + seconds(6));
    CHECK(directory.Usable("s", EndpointRole::Decode).size() == 1);
    // A peer that has not seen the change yet told of the order again, and the
    // engine stayed out for the rest of the 12 seconds.
    directory.OnRoleOrdered("e", order, now + seconds(6));
    CHECK(directory.IsUsable("e"));
  }
  SUBCASE("an order without effect ends")
  {
    directory.Expire(now + seconds(12));
    CHECK(directory.Usable("s", EndpointRole::Prefill).size() == 1);
  }
}

} // namespace bulrushfold
