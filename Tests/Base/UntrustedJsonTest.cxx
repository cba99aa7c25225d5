#include "Base/UntrustedJson.h"

#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

std::string
NestedArrays(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}
} // namespace

TEST_CASE("Untrusted JSON text is parsed like other JSON text")
{
  const char* const text =
    R"({"a":[1,-2,3.5,null,true,"\ud83d\ude00 \\ud800"],"b":{"c":1e300},"":{}})";
  CHECK(ParseUntrustedJson(text) == Json::parse(text));
  CHECK_FALSE(HasDiscardedValue(ParseUntrustedJson(text)));
  for (const char* it : { "", "{", "[1,]", "1 2", "\xff", "{\"a\":1e999" }) {
    CAPTURE(it);
    CHECK(ParseUntrustedJson(it).is_discarded());
  }
}

// Guards against a value of one entry that hides all other entries, or whose
// depth overflows the stack when it is copied or written.
TEST_CASE("A value that can't be represented is discarded alone")
{
  const std::string deep = NestedArrays(1'000'000);
  for (const std::string& it : { std::string("1e999"),
                                 std::string("-1.5E+999"),
                                 std::string(400, '9'),
                                 std::string("\"\xff\""),
                                 std::string("\"a\\ud800\""),
                                 std::string("\"\\udc00\\ud800\""),
                                 std::string("\"\\ud800\\u0041\""),
                                 deep,
                                 NestedArrays(kMaxJsonDepth - 1) }) {
    CAPTURE(it.substr(0, 20));
    const Json json = ParseUntrustedJson(R"([{"odd":)" + it +
                                         R"(,"next":"\"1e999"},{"last":[2]}])");
    REQUIRE(json.size() == 2);
    CHECK(HasDiscardedValue(json[0].at("odd")));
    CHECK(json[0].at("next") == "\"1e999");
    CHECK(json[1] == Json{ { "last", { 2 } } });
    CHECK(HasDiscardedValue(json));
  }
  CHECK_FALSE(
    HasDiscardedValue(ParseUntrustedJson(NestedArrays(kMaxJsonDepth))));
}

TEST_CASE("Any text is parsed without an exception")
{
  CHECK(rc::check("any bytes", [](const std::string& aText) {
    static_cast<void>(ParseUntrustedJson(aText));
  }));
  // Guards against a text in an entry that ends the string around it.
  CHECK(rc::check("any bytes in a string", [](std::string aText) {
    for (char& it : aText) {
      if (it == '"' || it == '\\' || (it >= 0 && it < ' ')) {
        it = '\xff';
      }
    }
    const Json json = ParseUntrustedJson("[\"" + aText + "\",1]");
    RC_ASSERT(json.size() == 2);
    RC_ASSERT(json[1] == 1);
  }));
}

} // namespace bulrushfold
