#include "Policy/RoutingPolicy.h"

#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
std::map<std::string, Endpoint>
MakeEndpoints()
{
  std::map<std::string, Endpoint> endpoints;
  for (const auto* name : { "p1", "p2", "d1", "d2" }) {
    Endpoint endpoint;
    endpoint.mName = name;
    endpoint.mFailureDomain = name;
    endpoint.mLink = name;
    endpoint.mLinkBytesPerSecond = 1e10;
    endpoint.mModels = { "m" };
    endpoint.mRole = name[0] == 'p' ? EngineRole::Prefill : EngineRole::Decode;
    endpoints[name] = endpoint;
  }
  return endpoints;
}

/** Carries out actions in the simplest way and keeps count of what is held. */
struct Harness
{
  Harness()
    : mRandom(1)
    , mPolicy(PolicyOptions(), mRandom)
  {
    mPolicy.SetPreset(Preset());
    mPolicy.SetEndpoints(MakeEndpoints());
  }

  ModelRequest Request(const std::string& aId) const
  {
    ModelRequest request;
    request.mId = aId;
    request.mWorkspace = "w";
    request.mModel = "m";
    request.mPromptTokens = 1000;
    request.mMaxTokens = 100;
    request.mArrival = mNow;
    request.mDeadline = mNow + std::chrono::seconds(60);
    return request;
  }

  template<typename Kind>
  static const Kind* Get(const Actions& aActions)
  {
    for (const auto& it : aActions) {
      if (const auto* found = std::get_if<Kind>(&it)) {
        return found;
      }
    }
    return nullptr;
  }

  Grant GrantOf(const ReserveAction& aAction)
  {
    const auto& reserve = aAction.mReserve;
    Grant grant;
    grant.mRequest = reserve.mRequest;
    grant.mAttempt = reserve.mAttempt;
    grant.mEndpoint = reserve.mEndpoint;
    grant.mKind = reserve.mKind;
    grant.mTerm = 1;
    return grant;
  }

  /** Grants both reservations of aActions; the actions after the last. */
  Actions GrantBoth(const Actions& aActions)
  {
    const auto* prefill = Get<ReserveAction>(aActions);
    REQUIRE(prefill != nullptr);
    CHECK(prefill->mReserve.mKind == WorkKind::Prefill);
    const auto next = mPolicy.OnGrant(GrantOf(*prefill), mNow);
    const auto* decode = Get<ReserveAction>(next);
    REQUIRE(decode != nullptr);
    CHECK(decode->mReserve.mKind == WorkKind::Decode);
    return mPolicy.OnGrant(GrantOf(*decode), mNow);
  }

  static std::size_t Releases(const Actions& aActions)
  {
    std::size_t n = 0;
    for (const auto& it : aActions) {
      n += std::holds_alternative<ReleaseAction>(it) ? 1 : 0;
    }
    return n;
  }

  Instant mNow{ std::chrono::hours(1) };
  Random mRandom;
  RoutingPolicy mPolicy;
};
} // namespace

TEST_CASE("A request passes through prefill, transfer and decode")
{
  Harness harness;
  auto& policy = harness.mPolicy;
  const auto start =
    harness.GrantBoth(policy.OnRequest(harness.Request("r"), harness.mNow));
  const auto* prefill = Harness::Get<StartPrefillAction>(start);
  REQUIRE(prefill != nullptr);

  SUBCASE("nothing stays held after the last token")
  {
    const auto moved = policy.OnPrefillDone("r", 1, 0, harness.mNow);
    CHECK(Harness::Get<StartTransferAction>(moved) != nullptr);
    const auto there = policy.OnTransferDone("r", 1, 1e8, harness.mNow);
    CHECK(Harness::Get<StartDecodeAction>(there) != nullptr);
    CHECK(Harness::Releases(there) == 1);
    policy.OnFirstToken("r", 1, harness.mNow);
    const auto end = policy.OnFinished("r", 1, 50, harness.mNow);
    CHECK(Harness::Releases(end) == 1);
    CHECK(policy.Open() == 0);
  }

  // Guards against engine memory held for a caller that is gone (I1).
  SUBCASE("a caller that leaves frees engine and reservations")
  {
    const auto end = policy.OnCallerDisconnected("r", harness.mNow);
    const auto* cancel = Harness::Get<CancelAction>(end);
    REQUIRE(cancel != nullptr);
    CHECK(cancel->mEndpoint == prefill->mEndpoint);
    CHECK(Harness::Releases(end) == 2);
    CHECK(policy.Open() == 0);
  }

  // Guards against a grant that arrives after its request ended and stays held.
  SUBCASE("a late grant is returned")
  {
    policy.OnCallerDisconnected("r", harness.mNow);
    Grant grant;
    grant.mRequest = "r";
    grant.mAttempt = 1;
    grant.mEndpoint = "d1";
    grant.mKind = WorkKind::Decode;
    CHECK(Harness::Releases(policy.OnGrant(grant, harness.mNow)) == 1);
  }

  SUBCASE("a stalled transfer goes to another decode engine")
  {
    const auto moved = policy.OnPrefillDone("r", 1, 0, harness.mNow);
    const auto* first = Harness::Get<StartTransferAction>(moved);
    REQUIRE(first != nullptr);
    const auto after =
      policy.OnFailed("r", 1, FailureKind::Stalled, harness.mNow);
    const auto* reserve = Harness::Get<ReserveAction>(after);
    REQUIRE(reserve != nullptr);
    CHECK(reserve->mReserve.mEndpoint != first->mTo);
    CHECK(Harness::Get<CancelAction>(after)->mEndpoint == first->mTo);
    const auto again = policy.OnGrant(harness.GrantOf(*reserve), harness.mNow);
    CHECK(Harness::Get<StartTransferAction>(again) != nullptr);
  }

  SUBCASE("events of a former attempt are ignored")
  {
    policy.OnFailed("r", 1, FailureKind::Lost, harness.mNow);
    CHECK(policy.OnPrefillDone("r", 1, 0, harness.mNow).empty());
    CHECK(policy.OnFinished("r", 1, 5, harness.mNow).empty());
    CHECK(policy.Open() == 1);
  }
}

TEST_CASE("A request without hope costs no work")
{
  Harness harness;

  SUBCASE("its deadline has passed")
  {
    auto request = harness.Request("r");
    request.mDeadline = harness.mNow;
    const auto actions = harness.mPolicy.OnRequest(request, harness.mNow);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<RejectAction>(actions[0]).mReason ==
          RejectReason::DeadlinePassed);
  }

  SUBCASE("no endpoint has its model")
  {
    auto request = harness.Request("r");
    request.mModel = "other";
    const auto actions = harness.mPolicy.OnRequest(request, harness.mNow);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<RejectAction>(actions[0]).mReason ==
          RejectReason::NoEndpoint);
  }
}

// Guards against a silent owner that stops all routing: it is not needed for
// safety.
TEST_CASE("Without an answer from the owner the request goes on")
{
  Harness harness;
  auto actions = harness.mPolicy.OnRequest(harness.Request("r"), harness.mNow);
  for (int n = 0; n < 2; ++n) {
    const auto* reserve = Harness::Get<ReserveAction>(actions);
    REQUIRE(reserve != nullptr);
    Refusal refusal;
    refusal.mRequest = "r";
    refusal.mAttempt = 1;
    refusal.mEndpoint = reserve->mReserve.mEndpoint;
    refusal.mKind = reserve->mReserve.mKind;
    refusal.mReason = RefuseReason::NoAnswer;
    actions = harness.mPolicy.OnRefusal(refusal, harness.mNow);
  }
  CHECK(Harness::Get<StartPrefillAction>(actions) != nullptr);
}

// Guards against a reservation that is never released, whatever goes wrong.
TEST_CASE("Grants and releases balance under any order of events")
{
  CHECK(rc::check([] {
    Harness harness;
    auto& policy = harness.mPolicy;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
    std::multiset<std::string> held;
    std::vector<ReserveAction> asked;
    const auto apply = [&](const Actions& aActions) {
      for (const auto& it : aActions) {
        if (const auto* reserve = std::get_if<ReserveAction>(&it)) {
          asked.push_back(*reserve);
        } else if (const auto* release = std::get_if<ReleaseAction>(&it)) {
          const auto found = held.find(release->mRequest + release->mEndpoint);
          RC_ASSERT(found != held.end());
          held.erase(found);
        }
      }
    };
    int requests = 0;
    for (const int it : steps) {
      const std::string id = std::to_string(it / 16 % 4);
      const std::uint32_t attempt = 1 + it / 64 % 3;
      switch (it % 12) {
        case 0:
        case 1:
          ++requests;
          apply(policy.OnCallerDisconnected(id, harness.mNow));
          apply(policy.OnRequest(harness.Request(id), harness.mNow));
          break;
        case 2:
        case 3:
        case 4:
        case 5:
          if (!asked.empty()) {
            const auto reserve = asked.front();
            asked.erase(asked.begin());
            held.insert(reserve.mReserve.mRequest + reserve.mReserve.mEndpoint);
            apply(policy.OnGrant(harness.GrantOf(reserve), harness.mNow));
          }
          break;
        case 6:
          apply(policy.OnPrefillDone(id, attempt, 0, harness.mNow));
          break;
        case 7:
          apply(policy.OnTransferDone(id, attempt, 1e8, harness.mNow));
          break;
        case 8:
          apply(policy.OnFirstToken(id, attempt, harness.mNow));
          break;
        case 9:
          apply(policy.OnFailed(
            id, attempt, static_cast<FailureKind>(it / 192 % 6), harness.mNow));
          break;
        case 10:
          harness.mNow += std::chrono::milliseconds(it / 192 % 400);
          apply(policy.Tick(harness.mNow));
          break;
        default:
          apply(policy.OnFinished(id, attempt, 10, harness.mNow));
      }
    }
    for (int n = 0; n < 4; ++n) {
      apply(policy.OnCallerDisconnected(std::to_string(n), harness.mNow));
    }
    while (!asked.empty()) {
      const auto reserve = asked.front();
      asked.erase(asked.begin());
      held.insert(reserve.mReserve.mRequest + reserve.mReserve.mEndpoint);
      apply(policy.OnGrant(harness.GrantOf(reserve), harness.mNow));
    }
    RC_ASSERT(held.empty());
    RC_ASSERT(policy.Open() == 0U);
  }));
}

} // namespace bulrushfold
