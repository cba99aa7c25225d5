#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

// Guards against "not run, try again" for a request that an endpoint ran.
TEST_CASE("A refusal that a faulty endpoint sends once more is not believed")
{
  PlatformFixture platform;

  SUBCASE("when it names no request")
  {
    RawEndpoint& endpoint = platform.AddRawEndpoint("i-a", "app");
    endpoint.OnRequest([&](const RawRequest& aRequest) {
      const bool isRefused =
        endpoint.Requests().size() == 1 || aRequest.mIndex > 0;
      endpoint.Send(aRequest.mConnection,
                    isRefused ? RawEndpoint::Answer(503, kNotRun, "")
                              : RawEndpoint::Answer(
                                  200, RawEndpoint::Proof(aRequest), "done"));
    });
    platform.Start();
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 503));
    CHECK(HasStatus(platform.Call("/unsafe/2", "r2"), 200));
    CHECK(endpoint.Requests().size() == 2);
  }
  SUBCASE("when it names an earlier request")
  {
    RawEndpoint& endpoint = platform.AddRawEndpoint("i-a", "app");
    endpoint.OnRequest([&](const RawRequest& aRequest) {
      endpoint.Send(
        aRequest.mConnection,
        RawEndpoint::Answer(
          503, kNotRun + RawEndpoint::Proof(endpoint.Requests()[0]), ""));
    });
    platform.Start();
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 503));
    CHECK(HasStatus(platform.Call("/unsafe/2", "r2"), 502));
    CHECK(endpoint.Requests().size() == 2);
  }
  SUBCASE("when it refused a reservation")
  {
    platform.AddEndpoint("i-p", "llm", "prefill");
    RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
    std::size_t reservations = 0;
    std::vector<std::size_t> refusedOn;
    decode.OnReservation([&](const RawRequest& aRequest) {
      const bool isRefused = reservations++ == 0;
      if (isRefused) {
        refusedOn.push_back(aRequest.mConnection);
      }
      decode.Send(aRequest.mConnection,
                  isRefused ? RawEndpoint::Answer(503, kNotRun, "")
                            : RawEndpoint::Answer(200, "", "{\"hold\":\"h\"}"));
    });
    decode.OnRequest([&](const RawRequest& aRequest) {
      const bool repeats =
        !refusedOn.empty() && aRequest.mConnection == refusedOn.front();
      decode.Send(
        aRequest.mConnection,
        repeats
          ? RawEndpoint::Answer(503, kNotRun, "")
          : RawEndpoint::Answer(
              200, RawEndpoint::Proof(aRequest) + kStreamType, Events(1, 3)));
    });
    platform.Start();
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(HasStatus(answer, 200));
    CHECK(IsEndedStream(answer));
    CHECK(decode.Requests().size() == 1);
  }
}

// Guards against an answer that is decoded from the KV cache of another prompt.
TEST_CASE("A repeated answer to a prefill is not used for another request")
{
  PlatformFixture platform;
  RawEndpoint& prefill = platform.AddRawEndpoint("i-p", "llm", "prefill");
  RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
  bool namesRequest = true;
  SUBCASE("when it names its request") {}
  SUBCASE("when it names no request")
  {
    namesRequest = false;
  }
  prefill.OnRequest([&](const RawRequest& aRequest) {
    const RawRequest& source =
      aRequest.mIndex > 0 ? prefill.Requests()[0] : aRequest;
    prefill.Send(
      aRequest.mConnection,
      Handle(source,
             namesRequest ? "X-Request-Id: " + source.mId + "\r\n" : ""));
  });
  decode.OnRequest([&](const RawRequest& aRequest) {
    decode.Send(aRequest.mConnection,
                RawEndpoint::Answer(200,
                                    RawEndpoint::Proof(aRequest) + kStreamType,
                                    Events(1, 3)));
  });
  platform.Start();
  CHECK(HasStatus(platform.Call("/stream/1", "r1"), 200));
  const std::string answer = platform.Call("/stream/2", "r2");
  CHECK(HasStatus(answer, 200));
  REQUIRE(decode.Requests().size() == 2);
  CHECK(decode.Requests()[1].mBytes.find("/h-r2") != std::string::npos);
}

// Guards against an answer to the first send of a request that is taken for the
// answer to its second send; both have the id of the request.
TEST_CASE("A second send of a request to an engine opens a new connection")
{
  PlatformFixture platform;
  RawEndpoint& prefill = platform.AddRawEndpoint("i-p", "llm", "prefill");
  RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
  prefill.OnRequest([&](const RawRequest& aRequest) {
    const bool hasFailed =
      prefill.Requests().size() == 1 || aRequest.mIndex > 0;
    prefill.Send(aRequest.mConnection,
                 hasFailed
                   ? RawEndpoint::Answer(500, RawEndpoint::Proof(aRequest), "")
                   : Handle(aRequest, RawEndpoint::Proof(aRequest)));
  });
  decode.OnRequest([&](const RawRequest& aRequest) {
    decode.Send(aRequest.mConnection,
                RawEndpoint::Answer(200,
                                    RawEndpoint::Proof(aRequest) + kStreamType,
                                    Events(1, 3)));
  });
  platform.Start();
  CHECK(HasStatus(platform.Call("/stream/1", "r1"), 200));
  REQUIRE(decode.Requests().size() == 1);
  CHECK(decode.Requests()[0].mBytes.find("/h-r1") != std::string::npos);
  CHECK(prefill.Requests().size() == 2);
}

} // namespace bulrushfold
