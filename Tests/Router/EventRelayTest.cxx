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

TEST_CASE("An event stream is passed on unchanged")
{
  std::string passed;
  EventRelay relay(kMaxEventBytes,
                   [&](std::string_view aData) { passed.append(aData); });

  SUBCASE("an incomplete event is buffered until it is complete")
  {
    CHECK(relay.Feed(Event(1) + "id: 2\nda"));
    CHECK(passed == Event(1));
    CHECK(relay.HasPartialEvent());
    CHECK(relay.LastId() == "1");
    CHECK(relay.Feed("ta: t2\n\n"));
    CHECK(passed == Event(1) + Event(2));
    CHECK_FALSE(relay.HasPartialEvent());
    CHECK(relay.Events() == 2);
  }
  // Guards against an event that consists of parts from two runs, and against
  // events that are sent twice. Both happen when another run continues the
  // stream after an interruption in the middle of an event.
  SUBCASE("another run continues the stream after the last complete event")
  {
    relay.Feed(Event(1) + Event(2) + "id: 3\nda");
    relay.DiscardPartialEvent();
    relay.Feed(Event(2) + Event(3));
    CHECK(passed == Event(1) + Event(2) + Event(3));
  }
  // Guards against a search that starts anew with each part: it took quadratic
  // time for an event that arrives byte by byte.
  SUBCASE("a large event may arrive byte by byte")
  {
    EventRelay large(1'000'000,
                     [&](std::string_view aData) { passed.append(aData); });
    const std::string event = "data: " + std::string(500'000, 'x') + "\r\n\r\n";
    for (const char it : event) {
      large.Feed(std::string_view(&it, 1));
    }
    CHECK(passed == event);
    CHECK_FALSE(large.HasPartialEvent());
  }
  SUBCASE("events that the caller has already received are left out")
  {
    relay.SetLastId("5");
    relay.Feed(Event(5) + Event(6));
    CHECK(passed == Event(6));
  }
  SUBCASE("events may have any line endings and fields")
  {
    const std::string odd = "x-weight-versions: 3\r\nid:7\r\ndata: a\r\n\r\n"
                            ": comment\n\n"
                            "data: without id\n\n";
    relay.Feed(odd);
    CHECK(passed == odd);
    CHECK(relay.LastId() == "7");
  }
  SUBCASE("an event that exceeds the maximum size is an error")
  {
    CHECK(relay.Feed("data: " + std::string(kMaxEventBytes - 10, 'x')));
    CHECK_FALSE(relay.Feed(std::string(20, 'x')));
  }
  SUBCASE("in byte mode data is passed on before an event is complete")
  {
    relay.SetMode(RelayMode::Bytes);
    relay.Feed("any ");
    CHECK(passed == "any ");
    CHECK_FALSE(relay.HasPartialEvent());
  }
  SUBCASE("the size of the received parts does not matter")
  {
    std::string all;
    for (int i = 1; i <= 5; ++i) {
      all += Event(i);
    }
    CHECK(rc::check("any size of the parts", [&](std::uint8_t aStep) {
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
