#include "Policy/PrefixIndex.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
const std::vector<PromptPrefix> kPrompt = { { 1, 512 }, { 2, 1024 } };
} // namespace

TEST_CASE("The index finds endpoints that cache a prefix")
{
  PrefixIndex index(100);
  index.OnEvents(1, { { 0, true, 1, 512 }, { 1, true, 2, 1024 } });
  index.OnEvents(2, { { 0, true, 1, 512 } });

  SUBCASE("the longest prefix comes first")
  {
    const auto hits = index.Find(kPrompt, 5);
    REQUIRE(hits.size() == 2);
    CHECK(hits[0].mEndpoint == 1);
    CHECK(hits[0].mTokens == doctest::Approx(1024));
    CHECK(hits[1].mTokens == doctest::Approx(512));
  }

  // Guards against requests that pile up where nothing is cached any more.
  SUBCASE("a gap in the events makes older entries doubtful")
  {
    index.OnEvents(1, { { 7, true, 99, 512 } });
    CHECK(index.Find(kPrompt, 5)[0].mTokens < 1024);
    const auto newer = index.Find({ { 99, 512 } }, 5);
    REQUIRE(newer.size() == 1);
    CHECK(newer[0].mTokens == doctest::Approx(512));
  }

  SUBCASE("an eviction removes the entry, a repeated event changes nothing")
  {
    index.OnEvents(1, { { 2, false, 2, 1024 } });
    index.OnEvents(1, { { 1, true, 2, 1024 } });
    for (const auto& hit : index.Find(kPrompt, 5)) {
      CHECK(hit.mTokens <= 512);
    }
  }

  SUBCASE("prefills that find less than expected lower the trust")
  {
    for (int n = 0; n < 50; ++n) {
      index.OnPrefill(1, kPrompt, 0);
    }
    CHECK(index.Find(kPrompt, 5)[0].mTokens < 200);
    for (int n = 0; n < 50; ++n) {
      index.OnPrefill(1, kPrompt, 1024);
    }
    CHECK(index.Find(kPrompt, 5)[0].mTokens > 900);
  }

  SUBCASE("a removed endpoint is forgotten")
  {
    index.Forget(1);
    for (const auto& hit : index.Find(kPrompt, 5)) {
      CHECK(hit.mEndpoint == 2);
    }
  }
}

// Guards against memory that grows with the number of prompts seen.
TEST_CASE("The index stays within its bound under any events")
{
  CHECK(rc::check([] {
    PrefixIndex index(16);
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::arbitrary<std::uint32_t>());
    for (const auto it : steps) {
      const std::uint64_t hash = it % 64;
      const std::uint32_t endpoint = it / 64 % 5;
      switch (it / 1024 % 4) {
        case 0:
          index.OnEvents(endpoint, { { it / 4096 % 32, true, hash, 512 } });
          break;
        case 1:
          index.OnEvents(endpoint, { { it / 4096 % 32, false, hash, 512 } });
          break;
        case 2:
          index.OnPrefill(
            endpoint, { { hash, 512 }, { hash + 64, 1024 } }, 512);
          break;
        default:
          index.Forget(endpoint);
      }
      RC_ASSERT(index.size() <= 16U);
      RC_ASSERT(index.Find({ { hash, 512 } }, 3).size() <= 3U);
    }
  }));
}

TEST_CASE("Marks depend on all bytes before them and on the model")
{
  const std::string prompt(3 * kPrefixStepTokens * 4, 'x');
  std::string other = prompt;
  other[0] = 'y';
  const auto prefixes = HashPrefixes("m", prompt, 10);
  REQUIRE(prefixes.size() == 3);
  CHECK(prefixes[2].mTokens == 3 * kPrefixStepTokens);
  CHECK(HashPrefixes("m", other, 10)[2].mHash != prefixes[2].mHash);
  CHECK(HashPrefixes("n", prompt, 10)[0].mHash != prefixes[0].mHash);
  CHECK(HashPrefixes("m", prompt, 2).size() == 2);
}

} // namespace bulrushfold
