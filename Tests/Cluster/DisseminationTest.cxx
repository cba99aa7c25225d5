#include "Cluster/Dissemination.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "Cluster/MergePatch.h"
#include "ClusterFixture.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kKey = "config/endpoints/a";

/** Version n of an object of which each version changes one member. */
std::string
BodyOf(std::uint64_t aVersion)
{
  nlohmann::json json;
  for (std::uint64_t i = 0; i < 10; ++i) {
    json[absl::StrCat("e", i)] =
      aVersion > i ? aVersion - (aVersion - i) % 10 : 0;
  }
  json["version"] = aVersion;
  return json.dump();
}

HashRings
TwoRings()
{
  HashRings rings;
  rings.Insert("a", "x");
  rings.Insert("b", "y");
  return rings;
}

Dissemination
MakeDaemon(const std::string& aName, const HashRings& aRings)
{
  return Dissemination(
    aName, aRings, [] { return std::string(); }, Instant());
}

/** The update messages of aResult. */
std::vector<wire::ConfigUpdate>
UpdatesOf(const DisseminationResult& aResult)
{
  std::vector<wire::ConfigUpdate> updates;
  for (const auto& it : aResult.mMessages) {
    if (const auto* update = std::get_if<wire::ConfigUpdate>(&it.mMessage)) {
      updates.push_back(*update);
    }
  }
  return updates;
}
} // namespace

TEST_CASE("Versioned objects")
{
  const HashRings rings = TwoRings();
  auto sender = MakeDaemon("a", rings);
  auto receiver = MakeDaemon("b", rings);
  std::vector<wire::ConfigUpdate> updates;
  for (std::uint64_t i = 1; i <= 12; ++i) {
    for (const auto& it : UpdatesOf(sender.Learn(kKey, i, BodyOf(i)))) {
      updates.push_back(it);
    }
  }
  REQUIRE(updates.size() == 12);

  SUBCASE("changes travel as patches that are smaller than the object")
  {
    CHECK(updates.back().baseVersion == 11);
    CHECK(updates.back().body.size() < BodyOf(12).size() / 2);
  }

  // Guards against a daemon that falls back to an older configuration (I8).
  SUBCASE("versions never go back, whatever is lost, repeated or reordered")
  {
    CHECK(rc::check([&] {
      auto daemon = MakeDaemon("b", rings);
      const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, updates.size()));
      std::uint64_t held = 0;
      Instant now{ seconds(100) };
      for (const auto at : order) {
        now += milliseconds(50);
        auto result = daemon.OnUpdate("a", updates[at], now);
        const auto tick = daemon.Tick(now);
        for (const auto& it : tick.mMessages) {
          if (const auto* fetch =
                std::get_if<wire::ConfigFetch>(&it.mMessage)) {
            for (const auto& whole : UpdatesOf(sender.OnFetch("b", *fetch))) {
              const auto more = daemon.OnUpdate("a", whole, now).mAdopted;
              result.mAdopted.insert(
                result.mAdopted.end(), more.begin(), more.end());
            }
          }
        }
        for (const auto& it : result.mAdopted) {
          RC_ASSERT(it.mVersion > held);
          RC_ASSERT(it.mBody == CanonicalJson(BodyOf(it.mVersion)));
          held = it.mVersion;
        }
        RC_ASSERT(daemon.Version(kKey) == held);
      }
    }));
  }

  SUBCASE("an update that overtook its base is applied after the base")
  {
    const Instant now{ seconds(100) };
    CHECK(receiver.OnUpdate("a", updates[0], now).mAdopted.size() == 1);
    CHECK(receiver.OnUpdate("a", updates[3], now).mAdopted.empty());
    CHECK(receiver.OnUpdate("a", updates[2], now).mAdopted.empty());
    CHECK(receiver.OnUpdate("a", updates[1], now).mAdopted.size() == 3);
    CHECK(receiver.Version(kKey) == 4);
  }

  SUBCASE("an update whose base does not come is fetched whole")
  {
    const Instant now{ seconds(100) };
    receiver.OnUpdate("a", updates[0], now);
    CHECK(receiver.OnUpdate("a", updates[5], now).mMessages.empty());
    const auto result = receiver.Tick(now + Dissemination::kBaseWait);
    REQUIRE(result.mMessages.size() == 1);
    const auto& fetch =
      std::get<wire::ConfigFetch>(result.mMessages[0].mMessage);
    const auto whole = UpdatesOf(sender.OnFetch("b", fetch));
    REQUIRE(whole.size() == 1);
    const auto adopted = receiver.OnUpdate("a", whole[0], now);
    CHECK(receiver.Version(kKey) == 12);
    // Guards against whole objects that multiply: the neighbours get a patch.
    const auto forwarded = UpdatesOf(adopted);
    for (const auto& it : forwarded) {
      CHECK(it.baseVersion == 1);
    }
  }

  // Guards against content that differs under one version.
  SUBCASE("an update whose content does not match its hash is not adopted")
  {
    const Instant now{ seconds(100) };
    receiver.OnUpdate("a", updates[0], now);
    auto damaged = updates[1];
    damaged.body = R"({"version":999})";
    CHECK(receiver.OnUpdate("a", damaged, now).mAdopted.empty());
    CHECK(receiver.Version(kKey) == 1);
  }

  SUBCASE("a digest exchange repairs the older side, whichever asks")
  {
    const Instant now{ seconds(100) };
    for (std::size_t i = 0; i < 9; ++i) {
      receiver.OnUpdate("a", updates[i], now);
    }
    const auto question = receiver.MakeDigest(false, false);
    const auto answer = sender.OnDigest("b", question, now);
    REQUIRE(answer.mMessages.size() == 1);
    const auto& digest =
      std::get<wire::ConfigDigest>(answer.mMessages[0].mMessage);
    CHECK(digest.isComplete);
    const auto fetch = receiver.OnDigest("a", digest, now);
    REQUIRE(fetch.mMessages.size() == 1);
    CHECK(
      std::holds_alternative<wire::ConfigFetch>(fetch.mMessages[0].mMessage));
    // In the other direction the patches are sent at once.
    const auto patches =
      UpdatesOf(sender.OnDigest("b", receiver.MakeDigest(true, false), now));
    CHECK(patches.size() == 3);
    for (const auto& it : patches) {
      receiver.OnUpdate("a", it, now);
    }
    CHECK(receiver.Version(kKey) == 12);
  }
}

// Guards against accepted changes that are lost or reverted when messages are
// lost, repeated and overtaken while daemons pause and restart (I8).
TEST_CASE("Accepted changes hold under loss, duplication, pauses and restarts")
{
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    ClusterFixture cluster(seed, SixNames());
    cluster.StartAll();
    cluster.mLoss = 0.2;
    cluster.mDuplication = 0.2;
    cluster.mJitter = milliseconds(400);
    Random random(seed);
    std::map<std::string, std::string> changes;
    for (int i = 0; i < 12; ++i) {
      const auto names = cluster.UpNames();
      const auto& name = names[random.UniformBelow(names.size())];
      const auto& other = names[random.UniformBelow(names.size())];
      cluster.mStore.mLosesAnswers = random.Bernoulli(0.2);
      cluster.mStore.mIsUp = !random.Bernoulli(0.2);
      const auto version = cluster.Version(name, kPresetsKey);
      changes[cluster.PutInForce(
        name, random.Bernoulli(0.5) ? "night" : "storm", version)] = name;
      if (random.Bernoulli(0.2)) {
        cluster.Pause(other, seconds(4));
      } else if (random.Bernoulli(0.2) && other != name) {
        cluster.Kill(other);
        cluster.Start(other);
      }
      cluster.RunFor(FromSeconds(random.UniformReal() * 3));
    }
    cluster.mStore.mIsUp = true;
    cluster.mStore.mLosesAnswers = false;
    cluster.mLoss = 0;
    cluster.RunFor(seconds(60));
    RC_ASSERT(cluster.mRegressions == 0U);
    const auto final =
      cluster.mStore.Objects().at(std::string(kPresetsKey)).mVersion;
    RC_ASSERT(cluster.AllHave(kPresetsKey, final));
    std::set<std::uint64_t> versions;
    for (const auto& [id, name] : changes) {
      const auto& known = cluster.At(name).mChanges;
      const auto it = known.find(id);
      if (it != known.end() && it->second.mState == ChangeState::Accepted) {
        RC_ASSERT(it->second.mVersion <= final);
        // Of the changes over one version exactly one wins.
        RC_ASSERT(versions.insert(it->second.mVersion).second);
      }
    }
  }));
}

TEST_CASE("Merge patches")
{
  SUBCASE("a patch turns the base into the target or there is none")
  {
    // Members 0 to 5 with a nested object, a list or null.
    const auto draw = [] {
      nlohmann::json json = nlohmann::json::object();
      for (const int it : *rc::gen::arbitrary<std::vector<int>>()) {
        const auto name = absl::StrCat("k", it & 3);
        if (it % 3 == 0) {
          json[name] = { { absl::StrCat("n", it & 1), it } };
        } else if (it % 3 == 1) {
          json[name] = { it, it };
        } else {
          json[name] = nullptr;
        }
      }
      return json.dump();
    };
    CHECK(rc::check([&] {
      const std::string base = draw();
      const std::string target = draw();
      const auto patch = MakeMergePatch(base, target);
      const bool isSound = !patch || ApplyMergePatch(base, *patch) == target;
      RC_ASSERT(isSound);
    }));
  }

  SUBCASE("any bytes are handled")
  {
    CHECK(rc::check([](const std::string& aLeft, const std::string& aRight) {
      MakeMergePatch(aLeft, aRight);
      ApplyMergePatch(aLeft, aRight);
      CanonicalJson(aLeft);
    }));
  }
}

} // namespace bulrushfold
