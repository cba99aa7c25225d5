#include "Router/EventRelay.h"

#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxEventBytes = 1000;

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t" + std::to_string(aId) +
         "\n\n";
}
} // namespace

TEST_CASE("A stream of events is passed on unchanged")
{
  std::string passed;
  EventRelay relay(kMaxEventBytes,
                   [&](std::string_view aData) { passed.append(aData); });

  SUBCASE("in whole events only")
  {
    CHECK(relay.Feed(Event(1) + "id: 2\nda"));
    CHECK(passed == Event(1));
    CHECK(relay.HoldsPart());
    CHECK(relay.LastId() == "1");
    CHECK(relay.Feed("ta: t2\n\n"));
    CHECK(passed == Event(1) + Event(2));
    CHECK_FALSE(relay.HoldsPart());
    CHECK(relay.Events() == 2);
  }
  // Guards against events joined from two runs, and against repeated ones.
  SUBCASE("and goes on with another run after the last whole event")
  {
    relay.Feed(Event(1) + Event(2) + "id: 3\nda");
    relay.Restart();
    relay.Feed(Event(2) + Event(3));
    CHECK(passed == Event(1) + Event(2) + Event(3));
  }
  SUBCASE("without those that the caller has already")
  {
    relay.SetLastId("5");
    relay.Feed(Event(5) + Event(6));
    CHECK(passed == Event(6));
  }
  SUBCASE("with any line ends and fields")
  {
    const std::string odd = "x-weight-versions: 3\r\nid:7\r\ndata: a\r\n\r\n"
                            ": comment\n\n"
                            "data: without id\n\n";
    relay.Feed(odd);
    CHECK(passed == odd);
    CHECK(relay.LastId() == "7");
  }
  SUBCASE("up to a bound for one event")
  {
    CHECK(relay.Feed("data: " + std::string(kMaxEventBytes - 10, 'x')));
    CHECK_FALSE(relay.Feed(std::string(20, 'x')));
  }
  SUBCASE("or byte by byte, if it is no stream of events")
  {
    relay.SetMode(RelayMode::Bytes);
    relay.Feed("any ");
    CHECK(passed == "any ");
    CHECK_FALSE(relay.HoldsPart());
  }
  SUBCASE("however the bytes are split")
  {
    std::string all;
    for (int i = 1; i <= 5; ++i) {
      all += Event(i);
    }
    CHECK(rc::check("any step", [&](std::uint8_t aStep) {
      std::string out;
      EventRelay other(kMaxEventBytes,
                       [&](std::string_view aData) { out.append(aData); });
      const std::size_t step = 1 + aStep % all.size();
      for (std::size_t at = 0; at < all.size(); at += step) {
        RC_ASSERT(other.Feed(std::string_view(all).substr(at, step)));
      }
      RC_ASSERT(out == all);
      RC_ASSERT(other.Events() == 5U);
    }));
  }
}

} // namespace bulrushfold
