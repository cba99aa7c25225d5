#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "CrowdClient.h"
#include "PlatformFixture.h"
#include "RouterProcess.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMemory = 48 * 1024 * 1024;
/** Part of the memory of its VM that a daemon may use. */
constexpr double kMemoryPart = 0.8;
constexpr std::size_t kDescriptors = 600;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr std::size_t kCrowd = 60;
/** One client of the crowd in so many sends its whole request. */
constexpr std::size_t kWholeRequests = 10;
constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kChunkBytes = 64 * 1024;
/** Content of a body in chunks of one byte. */
constexpr std::size_t kSmallChunksBytes = 32 * 1024;
/** Requests that are sent until the router has started. */
constexpr int kMaxStartAttempts = 200;
/** Time without progress of any client after which the crowd has sent what it
 * can. */
constexpr Duration kStillTime = milliseconds(500);

Json
CrowdConfig()
{
  return { { "version", 3 },
           { "routes", { MakeRoute("upload", "unsafe", "app") } },
           { "services", { { { "name", "app" } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", kMaxBodyBytes },
               { "header_timeout_ms", 20000 },
               { "idle_timeout_ms", 20000 } } } };
}

std::string
Head(const std::string& aId, const std::string& aFraming)
{
  return "POST /upload/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aId +
         "\r\n" + aFraming + "\r\n\r\n";
}

std::string
WithLength(const std::string& aId, std::size_t aBytes)
{
  return Head(aId, "Content-Length: " + std::to_string(aBytes)) +
         std::string(aBytes, 'x');
}

std::string
InChunks(const std::string& aId, std::size_t aBytes, std::size_t aChunkBytes)
{
  std::string text = Head(aId, "Transfer-Encoding: chunked");
  std::string size(16, 0);
  size.resize(static_cast<std::size_t>(
    std::snprintf(size.data(), size.size(), "%zx", aChunkBytes)));
  const std::string chunk =
    size + "\r\n" + std::string(aChunkBytes, 'x') + "\r\n";
  for (std::size_t i = 0; i < aBytes / aChunkBytes; ++i) {
    text += chunk;
  }
  return text + "0\r\n\r\n";
}

/** A router with little memory, the service behind it and a crowd of clients.
 */
class CrowdFixture
{
public:
  CrowdFixture()
  {
    mStore.Write("config/main", CrowdConfig());
    mStore.WriteText("servers/i-1", mEndpoint.RegistryEntry("app"));
    mRouter.Start();
    bool isServed = false;
    for (int i = 0; i < kMaxStartAttempts && !isServed; ++i) {
      RunFor(mLoop, milliseconds(50));
      isServed = Ask(Head("ready", "Connection: close\r\nContent-Length: 0"))
                   .find("HTTP/1.1 200") == 0;
    }
    REQUIRE(isServed);
    mCalmDescriptors = mRouter.OpenDescriptors();
  }

  /** Adds a client that sends aRequest, most of them without its last byte.
   * aPieceBytes: most bytes sent at once; 0: as many as possible. */
  void AddClient(const std::string& aRequest, std::size_t aPieceBytes = 0)
  {
    const bool isWhole = mCrowd.size() % kWholeRequests == 0;
    mCrowd.push_back(std::make_unique<CrowdClient>(
      mRouter.CallerAddress(),
      isWhole ? aRequest : aRequest.substr(0, aRequest.size() - 1),
      aPieceBytes));
  }
  /** Sends until the clients have sent all, or the router reads no more. */
  void SendAll()
  {
    SystemClock clock;
    Instant progress = clock.Now();
    while (clock.Now() - progress < kStillTime && mRouter.IsRunning()) {
      for (const auto& it : mCrowd) {
        if (it->Send()) {
          progress = clock.Now();
        }
      }
      RunFor(mLoop, milliseconds(2));
    }
  }
  /** Closes the connections of the crowd; returns false if the router still has
   * some of them open after a long time. */
  bool CloseCrowd()
  {
    mCrowd.clear();
    return RunUntil(
      mLoop, [&] { return mRouter.OpenDescriptors() <= mCalmDescriptors; });
  }
  /** The answer to aRequest, which asks to close the connection. */
  std::string Ask(const std::string& aRequest)
  {
    CrowdClient client(mRouter.CallerAddress(), aRequest, 0);
    RunUntil(mLoop, [&] {
      client.Send();
      return client.IsClosed();
    });
    return client.Received();
  }
  RouterProcess& Router() { return mRouter; }

private:
  EventLoop mLoop;
  FakePlatformStore mStore{ mLoop };
  FakeEndpoint mEndpoint{ mLoop, "i-1", "" };
  RouterProcess mRouter{
    "front-1",
    mStore.Address(),
    "limits.memory_mb=" + std::to_string(kMemory / 1024 / 1024) +
      "\nlimits.max_fds=" + std::to_string(kDescriptors) + "\n"
  };
  std::vector<std::unique_ptr<CrowdClient>> mCrowd;
  /** Open descriptors of the router before there is a crowd. */
  std::size_t mCalmDescriptors = 0;
};

void
AddCrowd(CrowdFixture& aFixture,
         const std::function<std::string(const std::string&)>& aRequest,
         std::size_t aPieceBytes = 0)
{
  for (std::size_t i = 0; i < kCrowd; ++i) {
    aFixture.AddClient(aRequest("crowd-" + std::to_string(i)), aPieceBytes);
  }
}
} // namespace

// Guards against clients whose unfinished bodies end the process.
TEST_CASE("A crowd of clients with large bodies does not end a router")
{
  CrowdFixture fixture;
  SUBCASE("that come whole")
  {
    AddCrowd(fixture, [](const std::string& aId) {
      return WithLength(aId, kMaxBodyBytes);
    });
  }
  SUBCASE("that come piece by piece")
  {
    AddCrowd(
      fixture,
      [](const std::string& aId) { return WithLength(aId, kMaxBodyBytes); },
      kPieceBytes);
  }
  SUBCASE("that come in large chunks")
  {
    AddCrowd(fixture, [](const std::string& aId) {
      return InChunks(aId, kMaxBodyBytes, kChunkBytes);
    });
  }
  SUBCASE("that come in chunks of one byte")
  {
    AddCrowd(fixture, [](const std::string& aId) {
      return InChunks(aId, kSmallChunksBytes, 1);
    });
  }
  SUBCASE("that are announced far over the limit")
  {
    AddCrowd(fixture, [](const std::string& aId) {
      return Head(aId, "Content-Length: 1000000000") +
             std::string(4 * kMaxBodyBytes, 'x');
    });
  }
  SUBCASE("that are sent far over the limit")
  {
    AddCrowd(fixture, [](const std::string& aId) {
      return InChunks(aId, 4 * kMaxBodyBytes, kChunkBytes);
    });
  }
  fixture.SendAll();
  REQUIRE(fixture.Router().IsRunning());
  CHECK(fixture.Router().OpenDescriptors() <= kDescriptors);
  CHECK(
    fixture
      .Ask(Head("ordinary", "Connection: close\r\nContent-Length: 5") + "hello")
      .find("HTTP/1.1 200") == 0);
  CHECK(fixture.CloseCrowd());
  CHECK(fixture
          .Ask(Head("largest",
                    "Connection: close\r\nContent-Length: " +
                      std::to_string(kMaxBodyBytes)) +
               std::string(kMaxBodyBytes, 'x'))
          .find("HTTP/1.1 200") == 0);
  REQUIRE(fixture.Router().IsRunning());
  const std::size_t peak = fixture.Router().PeakMemory();
  MESSAGE("peak memory in KB: ", peak / 1024);
#ifndef __SANITIZE_ADDRESS__
  // AddressSanitizer keeps freed memory and a shadow of all memory resident.
  CHECK(peak <= static_cast<std::size_t>(kMemoryPart * kMemory));
#endif
}

} // namespace bulrushfold
