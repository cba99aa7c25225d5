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

TEST_CASE("The directory reflects the entries of the registry")
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

  // Guards against new requests to an endpoint that drains.
  SUBCASE("a draining endpoint gets no new requests")
  {
    EndpointRecord draining = a;
    draining.mIsDraining = true;
    directory.Put(draining, 6, now);
    CHECK(usable() == 1);
    CHECK_FALSE(directory.IsUsable("a"));
    CHECK(changes == std::vector{ EndpointChange::Draining });
    SUBCASE("it is usable again when it no longer drains")
    {
      directory.Put(a, 7, now);
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("it is removed with its entry")
    {
      directory.Remove("a", 7, now);
      CHECK(directory.Find("a") == nullptr);
    }
  }
  // Guards against requests to an endpoint that stated in an answer that it
  // leaves: its heartbeats may still say that it is ready.
  SUBCASE("an endpoint whose answer states that it leaves gets no requests")
  {
    directory.OnLeavingAnnounced("a", 1);
    directory.OnLeavingAnnounced("a", 1);
    CHECK(usable() == 1);
    CHECK(directory.IsLeaving("a"));
    CHECK_FALSE(directory.AreAllLeaving("s", EndpointRole::General));
    CHECK(changes == std::vector{ EndpointChange::LeavingAnnounced });

    SUBCASE("also after its entry was written again or drained for a time")
    {
      directory.Replace({ a, b }, 6, now);
      EndpointRecord draining = a;
      draining.mIsDraining = true;
      directory.Put(draining, 7, now);
      changes.clear();
      directory.Put(a, 8, now);
      CHECK(usable() == 1);
      CHECK(changes.empty());
    }
    SUBCASE("until another process runs under the same id")
    {
      EndpointRecord again = a;
      again.mIncarnation = 2;
      directory.Put(again, 6, now);
      CHECK(directory.IsUsable("a"));
      // An answer of the former process that arrives late.
      directory.OnLeavingAnnounced("a", 1);
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("and all leave when the others state it too")
    {
      directory.OnLeavingAnnounced("b", 1);
      CHECK(directory.AreAllLeaving("s", EndpointRole::General));
      CHECK_FALSE(directory.AreAllLeaving("s", EndpointRole::Decode));
    }
  }
  // Guards against requests to an endpoint that refused one with a time for
  // which it wants no others.
  SUBCASE("an endpoint that asked for no requests gets none for that time")
  {
    directory.OnBackoffRequested("a", 1, now + seconds(3));
    CHECK(usable() == 1);
    CHECK(directory.IsInBackoff("a"));
    CHECK(directory.UsableOrInBackoff("s", EndpointRole::General).size() == 2);
    CHECK(changes == std::vector{ EndpointChange::BackoffStarted });
    REQUIRE(directory.NextExpiry() == now + seconds(3));
    CHECK_FALSE(directory.FirstBackoffEnd("s", EndpointRole::General));

    SUBCASE("and may get requests after it")
    {
      directory.Put(a, 6, now + seconds(1));
      directory.Expire(now + milliseconds(2999));
      CHECK_FALSE(directory.IsUsable("a"));
      directory.Expire(now + seconds(3));
      CHECK(directory.IsUsable("a"));
      CHECK(changes.back() == EndpointChange::Returned);
      CHECK_FALSE(directory.NextExpiry());
    }
    SUBCASE("which a later answer extends and does not shorten")
    {
      directory.OnBackoffRequested("a", 1, now + seconds(2));
      CHECK(directory.BackoffEnd("a") == now + seconds(3));
      directory.OnBackoffRequested("a", 1, now + seconds(5));
      CHECK(directory.BackoffEnd("a") == now + seconds(5));
    }
    SUBCASE("and another process under the same id is used at once")
    {
      EndpointRecord again = a;
      again.mIncarnation = 2;
      directory.Put(again, 6, now);
      CHECK(directory.IsUsable("a"));
      directory.OnBackoffRequested("a", 1, now + seconds(5));
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("the service knows when the first of its endpoints is usable again")
    {
      directory.OnBackoffRequested("b", 1, now + seconds(2));
      CHECK(directory.FirstBackoffEnd("s", EndpointRole::General) ==
            now + seconds(2));
      directory.OnLeavingAnnounced("b", 1);
      CHECK(directory.FirstBackoffEnd("s", EndpointRole::General) ==
            now + seconds(3));
      CHECK_FALSE(directory.FirstBackoffEnd("s", EndpointRole::Decode));
    }
  }
  SUBCASE("an endpoint is removed at once with its entry")
  {
    directory.Remove("a", 6, now);
    CHECK(usable() == 1);
    CHECK(changes == std::vector{ EndpointChange::Removed });
    directory.Remove("a", 7, now);
    CHECK(changes.size() == 1);
  }
  // Guards against using counts and connections of an earlier process.
  SUBCASE("a restart under the same id is reported")
  {
    EndpointRecord again = a;
    again.mIncarnation = 2;
    directory.Put(again, 6, now);
    CHECK(changes == std::vector{ EndpointChange::Restarted });
  }
  SUBCASE("an entry that moves to another service counts as another endpoint")
  {
    EndpointRecord moved = a;
    moved.mService = "t";
    directory.Put(moved, 6, now);
    CHECK(usable() == 1);
    CHECK(directory.Usable("t", EndpointRole::General).size() == 1);
    CHECK(changes ==
          std::vector{ EndpointChange::Removed, EndpointChange::Added });
  }
  // Guards against dropping endpoints that still run: entries expire during an
  // outage of the registry.
  SUBCASE("after an outage a missing entry is kept for the grace period")
  {
    directory.OnRegistryRecovered(now);
    directory.Replace({ b }, 6, now);
    CHECK(directory.IsUsable("a"));
    CHECK(changes == std::vector{ EndpointChange::Missing });
    REQUIRE(directory.NextExpiry() == now + seconds(2));

    SUBCASE("it is removed after the grace period")
    {
      directory.Expire(now + milliseconds(1999));
      CHECK(directory.IsUsable("a"));
      directory.Expire(now + seconds(2));
      CHECK(directory.Find("a") == nullptr);
      CHECK_FALSE(directory.NextExpiry());
    }
    SUBCASE("it is kept if it is listed again")
    {
      directory.Put(a, 7, now + seconds(1));
      directory.Expire(now + seconds(2));
      CHECK(directory.IsUsable("a"));
    }
    SUBCASE("an entry that is removed after the grace period is not kept")
    {
      directory.Remove("b", 7, now + seconds(3));
      CHECK(directory.Find("b") == nullptr);
    }
  }
  // Guards against repeated requests to an outdated address. A daemon without
  // contact to the registry sent six requests to an endpoint that answered 421
  // to each.
  SUBCASE("an endpoint is not used when another one answers at its address")
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

TEST_CASE("An engine gets no new work until its role has changed")
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

  SUBCASE("the engine is usable when the registry lists the new role")
  {
    engine.mRole = EndpointRole::Decode;
    directory.Put(engine, 2, now + seconds(6));
    CHECK(directory.Usable("s", EndpointRole::Decode).size() == 1);
    // Guards against a late report of the order from a peer that has not seen
    // the change yet: the engine stayed unused for the rest of the 12 seconds.
    directory.OnRoleOrdered("e", order, now + seconds(6));
    CHECK(directory.IsUsable("e"));
  }
  SUBCASE("an order without effect expires")
  {
    directory.Expire(now + seconds(12));
    CHECK(directory.Usable("s", EndpointRole::Prefill).size() == 1);
  }
}

} // namespace bulrushfold
