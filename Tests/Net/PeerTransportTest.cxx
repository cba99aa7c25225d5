#include "Net/PeerTransport.h"

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {
DaemonSettings
MakeDaemon(const std::string& aName)
{
  DaemonSettings settings;
  settings.mName = aName;
  settings.mPeerAddress = FreeAddress();
  return settings;
}

PeerSettings
MakePeers()
{
  PeerSettings settings;
  settings.mKeys = { { "k", std::string(16, 'k') } };
  settings.mMaxFrameBytes = 100'000;
  return settings;
}

constexpr Duration kTimeout = std::chrono::milliseconds(300);
constexpr auto kKind = wire::MessageKind::HEARTBEAT;
} // namespace

TEST_CASE("Messages between daemons")
{
  EventLoop loop;
  const auto daemonA = MakeDaemon("a");
  const auto daemonB = MakeDaemon("b");
  PeerTransport a(loop, daemonA, MakePeers(), "ia");
  PeerTransport b(loop, daemonB, MakePeers(), "ib");
  const PeerTarget target{ "b", daemonB.mPeerAddress };
  std::vector<absl::StatusOr<std::string>> replies;
  const auto collect = [&](absl::StatusOr<std::string> aReply) {
    replies.push_back(std::move(aReply));
  };
  std::vector<PeerTransport::Responder> responders;
  b.Handle(kKind,
           [&](const std::string& aSender,
               const std::string& aPayload,
               PeerTransport::Responder aRespond) {
             CHECK(aSender == "a");
             if (aPayload == "wait") {
               responders.push_back(std::move(aRespond));
             } else if (aPayload == "refuse") {
               aRespond(absl::AbortedError("refused"));
             } else {
               aRespond("reply to " + aPayload);
             }
           });

  SUBCASE("a call to a daemon that is not there fails as unavailable")
  {
    a.Call(target, kKind, "x", kTimeout, collect);
    REQUIRE(RunUntil(loop, [&] { return replies.size() == 1; }));
    CHECK(absl::IsUnavailable(replies[0].status()));
  }

  SUBCASE("with both running")
  {
    REQUIRE(b.Listen().ok());
    SUBCASE("a call gets its own reply")
    {
      a.Call(target, kKind, "1", kTimeout, collect);
      a.Call(target, kKind, "refuse", kTimeout, collect);
      a.Call(target, kKind, "2", kTimeout, collect);
      REQUIRE(RunUntil(loop, [&] { return replies.size() == 3; }));
      CHECK(*replies[0] == "reply to 1");
      CHECK(absl::IsAborted(replies[1].status()));
      CHECK(*replies[2] == "reply to 2");
    }
    // Guards against waiting for ever on a connection that went silent.
    SUBCASE("a call without reply times out and the next one still works")
    {
      a.Call(target, kKind, "wait", kTimeout, collect);
      REQUIRE(RunUntil(loop, [&] { return replies.size() == 1; }));
      CHECK(absl::IsDeadlineExceeded(replies[0].status()));
      a.Call(target, kKind, "again", kTimeout, collect);
      REQUIRE(RunUntil(loop, [&] { return replies.size() == 2; }));
      CHECK(*replies[1] == "reply to again");
      responders[0]("late");
    }
    SUBCASE("a message that is too large is refused before it is sent")
    {
      a.Call(target, kKind, std::string(200'000, 'x'), kTimeout, collect);
      REQUIRE(RunUntil(loop, [&] { return replies.size() == 1; }));
      CHECK(absl::IsAborted(replies[0].status()));
      CHECK(a.Statistics().mFramesDropped == 1);
    }
    // Guards against a stranger that reaches the port of a daemon.
    SUBCASE("bytes from a stranger are refused and counted")
    {
      RawClient stranger(daemonB.mPeerAddress);
      stranger.Send(std::string("\0\0\0\5hello", 9));
      CHECK(RunUntil(loop, [&] { return stranger.IsClosedByServer(); }));
      CHECK(b.Statistics().mFramesRefused == 1);
      RawClient second(daemonB.mPeerAddress);
      second.Send("\xff\xff\xff\xff");
      CHECK(RunUntil(loop, [&] { return second.IsClosedByServer(); }));
      CHECK(b.Statistics().mFramesRefused == 2);
    }
  }
}

} // namespace bulrushfold
