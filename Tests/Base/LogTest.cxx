#include "Base/Log.h"

#include <doctest/doctest.h>

namespace bulrushfold {

// Guards against log injection: a value from outside the process must not start
// a new line or add a field.
TEST_CASE("A log event is one line of key=value pairs")
{
  CHECK(FormatLogEvent("drain", { { "endpoint", "e1" }, { "n", 3 } }) ==
        "event=drain endpoint=e1 n=3");
  CHECK(FormatLogEvent("x", { { "text", "a b\nlevel=ERROR \"q\"" } }) ==
        "event=x text=\"a b\\nlevel=ERROR \\\"q\\\"\"");
  CHECK(FormatLogEvent("x", { { "text", "" } }) == "event=x text=\"\"");
}

} // namespace bulrushfold
