#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "LogCounter.h"
#include "PlatformFixture.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

struct OddEntry
{
  std::string mName;
  /** Text of the entry's "spec". */
  std::string mText;
};

std::string
Nested(std::size_t aDepth, const std::string& aOpen, const std::string& aClose)
{
  std::string text;
  for (std::size_t i = 0; i < aDepth; ++i) {
    text += aOpen;
  }
  text += "0";
  for (std::size_t i = 0; i < aDepth; ++i) {
    text += aClose;
  }
  return text;
}

/** Text of a readable entry in which aFrom is replaced by aTo. */
std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  const std::string entry = R"({"service":"app","address":"127.0.0.1:9",)"
                            R"("zone":"z","slots":8,"state":"ready",)"
                            R"("version":"v1","sequence":4})";
  REQUIRE(entry.find(aFrom) != std::string::npos);
  return absl::StrReplaceAll(entry, { { aFrom, aTo } });
}

std::vector<OddEntry>
OddEntries()
{
  // Depth at which recursion over the values overflows the stack of 8 MiB.
  constexpr std::size_t kDeep = 200'000;
  return {
    { "deep-arrays", Nested(kDeep, "[", "]") },
    { "deep-objects", Nested(kDeep, R"({"a":)", "}") },
    { "deep-field", Replaced(R"("v1")", Nested(kDeep, "[", "]")) },
    { "number-beyond-double", Replaced(":8", ":1e999") },
    { "unused-number-beyond-double", Replaced(":4", ":[-1E+4000, 5]") },
    { "many-digits", Replaced(":8", ":" + std::string(400, '9')) },
    { "number-beyond-uint64", Replaced(":8", ":99999999999999999999") },
    { "number-beyond-uint32", Replaced(":8", ":5000000000") },
    { "negative-number", Replaced(":8", ":-1") },
    { "fraction", Replaced(":8", ":7.5") },
    { "start-beyond-int64", Replaced(":4", R"(:4,"born":1e300)") },
    { "number-as-text", Replaced(":8", R"(:"8")") },
    { "port-0", Replaced(":9", ":0") },
    { "port-65536", Replaced(":9", ":65536") },
    { "port-large", Replaced(":9", ":99999999999") },
    { "no-port", Replaced(":9", "") },
    { "ipv6", Replaced("127.0.0.1", "[::1]") },
    { "not-utf8", Replaced("v1", "\xff\xfe\xc3") },
    { "lone-surrogate", Replaced("v1", "\\ud800") },
    { "reversed-surrogates", Replaced("v1", "\\udc00\\ud800") },
    { "null", "null" },
    { "text", R"("entry")" },
    { "list", "[1,2]" },
    { "huge", Json(std::string(1024 * 1024, 'x')).dump() },
    { "huge-address", Replaced("127.0.0.1", std::string(1024 * 1024, '1')) },
  };
}
} // namespace

// Guards against an odd entry of another writer that ends the process, or that
// hides all other entries because the listing or the watch can't be read.
TEST_CASE("An unreadable entry does not hide the entries next to it")
{
  for (const auto& it : OddEntries()) {
    CAPTURE(it.mName);
    EventLoop loop;
    HttpClient client(loop);
    FakePlatformStore fakeStore(loop);
    platform::PlatformStore store(loop, client, fakeStore.Address());
    fakeStore.Write("servers/a", Json::parse(Replaced("v1", "v1")));
    fakeStore.WriteText("servers/odd", it.mText);
    fakeStore.Write("servers/z", Json::parse(Replaced("v1", "v1")));
    std::optional<absl::StatusOr<StoreListing>> listing;
    store.List("servers/", [&](auto aResult) { listing = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return listing.has_value(); }));
    CHECK(listing->status().ToString() == "OK");
    if (!listing->ok()) {
      continue;
    }
    std::set<std::string> readable;
    for (const auto& object : (*listing)->mObjects) {
      if (platform::ReadEndpoint(object).ok()) {
        readable.insert(object.mKey);
      }
    }
    CHECK(readable == std::set<std::string>{ "servers/a", "servers/z" });
    std::optional<absl::StatusOr<StoredObject>> object;
    store.Get("servers/odd",
              [&](auto aResult) { object = std::move(aResult); });
    REQUIRE(RunUntil(loop, [&] { return object.has_value(); }));
    CHECK(object->ok());
  }
}

// Guards against a router that ends, does not become ready or no longer sees
// changes of the registry while it contains an odd entry.
TEST_CASE("A router serves and follows the registry despite odd entries")
{
  for (const auto& it : OddEntries()) {
    CAPTURE(it.mName);
    PlatformFixture platform;
    FakeEndpoint& a = platform.AddEndpoint("i-a", "app");
    platform.mFakeStore.WriteText("servers/i-b", it.mText);
    platform.Start();
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    FakeEndpoint* c = nullptr;
    platform.ChangeStore([&] { c = &platform.AddEndpoint("i-c", "app"); });
    platform.ChangeStore([&] {
      platform.mFakeStore.WriteText("servers/i-a", it.mText);
      platform.mFakeStore.WriteText("servers/i-d", it.mText);
    });
    // The next watch call follows once the router has applied the changes.
    REQUIRE(platform.WaitUntil(
      [&] { return platform.mFakeStore.PendingWatches() == 2; }));
    const std::size_t before = a.RunIds().size();
    for (int i = 0; i < 4; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r2"), 200));
    }
    CHECK(a.RunIds().size() == before);
    CHECK(c->RunIds().size() == 4);
    CHECK(platform.IsReady());
  }
}

// Guards against an odd entry of a daemon that ends the process, or that makes
// it call the store without a pause.
TEST_CASE("A router runs on despite odd entries of other daemons")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-a", "app");
  std::string key = R"({"key":"00"})";
  SUBCASE("an address that is a number")
  {
    platform.mFakeStore.Write("bulrushfold-daemons/front-2",
                              { { "address", 5 } });
  }
  SUBCASE("a key that is a list")
  {
    key = R"({"key":["00"]})";
  }
  SUBCASE("a key of the wrong length") {}
  platform.mFakeStore.WriteText("bulrushfold-daemons/shared-key", key);
  platform.Start();
  CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
  const std::size_t before = platform.mFakeStore.CountCalls("POST");
  for (int i = 0; i < 20; ++i) {
    CHECK(platform.IsReady());
  }
  CHECK(platform.mFakeStore.CountCalls("POST") - before <= 1);
}

// Guards against a log that fills with one entry that its writer repeats.
TEST_CASE("An unreadable entry is logged again only for another reason")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-a", "app");
  platform.mFakeStore.WriteText("servers/i-b", "[1]");
  const LogCounter counter("event=endpoint_unreadable");
  platform.Start();
  const auto write = [&](const std::string& aText) {
    platform.ChangeStore(
      [&] { platform.mFakeStore.WriteText("servers/i-b", aText); });
    REQUIRE(platform.WaitUntil(
      [&] { return platform.mFakeStore.PendingWatches() == 2; }));
  };
  write("[2]");
  write("[3]");
  CHECK(counter.Count() == 1);
  write("{}");
  CHECK(counter.Count() == 2);
  write(Replaced("v1", "v1"));
  write("{}");
  CHECK(counter.Count() == 3);
}

} // namespace bulrushfold
