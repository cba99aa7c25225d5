#include "Base/LogWriter.h"

#include <algorithm>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
/** A pipe that is read only by ReadAll. */
class Pipe
{
public:
  Pipe()
  {
    REQUIRE(pipe(mEnds) == 0);
    REQUIRE(fcntl(mEnds[0], F_SETFL, O_NONBLOCK) == 0);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  int WriteEnd() const { return mEnds[1]; }
  std::string ReadAll()
  {
    std::string text;
    char buffer[4096];
    for (;;) {
      const ssize_t n = read(mEnds[0], buffer, sizeof(buffer));
      if (n <= 0) {
        return text;
      }
      text.append(buffer, static_cast<std::size_t>(n));
    }
  }

private:
  int mEnds[2]{};
};

std::size_t
CountLines(const std::string& aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}
} // namespace

TEST_CASE("A log writer limits the volume of the log and never blocks")
{
  Pipe pipe;
  ManualClock clock;
  const std::string line(99, 'x');

  SUBCASE("ordinary lines beyond the rate are dropped and counted")
  {
    LogWriter writer(pipe.WriteEnd(), clock, { 10, 20, 1000 * 100 });
    for (int i = 0; i < 30; ++i) {
      writer.Write(line, false);
    }
    CHECK(CountLines(pipe.ReadAll()) == 10);
    CHECK(writer.Drops().mOrdinary == 20);
    // Guards against dropping warnings and errors because of too many ordinary
    // lines: failures under load could then not be explained.
    for (int i = 0; i < 20; ++i) {
      writer.Write(line, true);
    }
    CHECK(writer.Drops().mUrgent == 0);
    CHECK(writer.CheckNewDrops());
    CHECK_FALSE(writer.CheckNewDrops());
    clock.Advance(std::chrono::seconds(1));
    writer.Write(line, false);
    CHECK(writer.Drops().mOrdinary == 20);
  }
  // Guards against an event loop that blocks because nobody reads its log.
  SUBCASE("lines are dropped when the pipe is full, ordinary lines first")
  {
    constexpr std::size_t kMaxBufferedBytes = 100 * 100;
    LogWriter writer(pipe.WriteEnd(), clock, { 1e6, 1e6, kMaxBufferedBytes });
    while (writer.Drops().mOrdinary == 0) {
      writer.Write(line, false);
    }
    for (int i = 0; i < 50; ++i) {
      writer.Write(line, true);
    }
    CHECK(writer.Drops().mUrgent == 0);
    for (int i = 0; i < 50; ++i) {
      writer.Write(line, true);
    }
    CHECK(writer.Drops().mUrgent > 0);
    // The buffered lines are written completely once the pipe is read again.
    std::string text;
    for (std::string part = pipe.ReadAll(); !part.empty();
         part = pipe.ReadAll()) {
      text += part;
      writer.Flush();
    }
    CHECK(text.size() % 100 == 0);
    CHECK(CountLines(text) == text.size() / 100);
    CHECK(writer.Drops().mOrdinary == 1);
  }
}

} // namespace bulrushfold
