#include "Net/SseReader.h"

#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

TEST_CASE("Parsing a server-sent event stream")
{
  std::vector<SseEvent> events;
  SseReader reader(
    1024, [&events](const SseEvent& aEvent) { events.push_back(aEvent); });

  // Guards against tokens that are lost or joined where the network splits the
  // bytes.
  SUBCASE("the events do not depend on how the bytes are split")
  {
    CHECK(rc::check([] {
      const std::string text = FormatSseEvent("1", "one") +
                               ": comment\r\n\r\n" + FormatSseEvent("2", "two");
      std::string data;
      SseReader split(1024, [&data](const SseEvent& aEvent) {
        data += aEvent.mId + aEvent.mData + ";";
      });
      std::size_t at = 0;
      while (at < text.size()) {
        const auto n = *rc::gen::inRange<std::size_t>(1, 8);
        RC_ASSERT(split.Feed(std::string_view(text).substr(at, n)));
        at += n;
      }
      RC_ASSERT(data == "1one;2two;");
    }));
  }

  SUBCASE("several data lines form one event")
  {
    CHECK(reader.Feed("data: a\ndata: b\n\n"));
    REQUIRE(events.size() == 1);
    CHECK(events[0].mData == "a\nb");
  }

  // Guards against unlimited memory use when an endpoint does not end an event.
  SUBCASE("an event that exceeds the size limit is refused")
  {
    CHECK_FALSE(reader.Feed("data: " + std::string(2000, 'x')));
  }
}

} // namespace bulrushfold
