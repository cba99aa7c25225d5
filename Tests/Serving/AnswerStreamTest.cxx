#include "Serving/AnswerStream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

// Guards against tokens that are repeated, lost, reordered or from another
// attempt (invariants I2 and I3).
TEST_CASE("The tokens of an answer reach the caller once and in order")
{
  CHECK(rc::check([] {
    AnswerStream stream;
    stream.StartAttempt(2);
    const auto n = *rc::gen::inRange<std::uint64_t>(1, 20);
    std::string expected;
    std::uint64_t delivered = 0;
    const auto events = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(0, 2 * n));
    for (const auto event : events) {
      const std::uint32_t attempt = event % 3 == 0 ? 1 : 2;
      const std::uint64_t offset = event / 2;
      const std::string text = std::to_string(offset) + " ";
      const auto verdict = stream.Accept(attempt, offset, text);
      if (verdict == TokenVerdict::Deliver) {
        RC_ASSERT(attempt == 2u);
        RC_ASSERT(offset == delivered);
        ++delivered;
        expected += text;
      } else if (verdict == TokenVerdict::Gap) {
        RC_ASSERT(offset > delivered);
      }
    }
    RC_ASSERT(stream.NextOffset() == delivered);
    RC_ASSERT(stream.Text() == expected);
  }));
}

} // namespace bulrushfold
