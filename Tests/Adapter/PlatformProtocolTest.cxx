#include "PlatformProtocol.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

HttpRequest
MakeRequest()
{
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mTarget = "/x/1?a=b";
  request.mBody = "body";
  request.mHeaders = {
    { "Host", "a.example" },      { "X-Request-Id", "r1" },
    { "X-Deadline-Ms", "14000" }, { "X-Token-Count", "1460,80" },
    { "X-Length-Hint", "50" },    { "X-Prompt-Prefix", "5c1e07a2:800" },
    { "X-Own", "kept" }
  };
  return request;
}

EndpointRecord
MakeEndpoint()
{
  EndpointRecord endpoint;
  endpoint.mId = "i-1";
  endpoint.mAddress = { "10.0.0.1", 8080 };
  endpoint.mIncarnation = 5;
  return endpoint;
}

SendParameters
MakeParameters()
{
  SendParameters parameters;
  parameters.mTimeLeft = milliseconds(700);
  return parameters;
}
} // namespace

TEST_CASE("The headers of a request are parsed")
{
  const platform::PlatformProtocol protocol;
  const RequestMetadata metadata = protocol.ReadRequest(MakeRequest());
  CHECK(metadata.mId == "r1");
  CHECK(metadata.mCallerTimeout == milliseconds(14'000));
  CHECK(metadata.mResumedAttempt.empty());
  HttpRequest resuming = MakeRequest();
  resuming.mHeaders.Add("Resumes", "r0");
  CHECK(protocol.ReadRequest(resuming).mResumedAttempt == "r0");
  REQUIRE(metadata.mTokens);
  CHECK(metadata.mTokens->mPrompt == 1460);
  CHECK(metadata.mTokens->mMaxAnswer == 80);
  CHECK(metadata.mTokens->mEstimatedAnswer == 50);
  REQUIRE(metadata.mUniquePromptPart);
  CHECK(metadata.mUniquePromptPart->mTokens == 800);
  HttpRequest shared = MakeRequest();
  shared.mHeaders = { { "X-Prompt-Prefix", "aa:100, 5c1e07a2:800" } };
  CHECK(protocol.ReadRequest(shared).mUniquePromptPart->mKey ==
        metadata.mUniquePromptPart->mKey);
  REQUIRE(protocol.ReadRequest(shared).mSharedPromptParts.size() == 1);
  CHECK(metadata.mSharedPromptParts.empty());
  HttpRequest reordered = MakeRequest();
  reordered.mHeaders = { { "X-Prompt-Prefix", "bb:7, aa:100 ,cc, dd:1" } };
  REQUIRE(protocol.ReadRequest(reordered).mSharedPromptParts.size() == 2);
  CHECK(protocol.ReadRequest(reordered).mSharedPromptParts[1] ==
        protocol.ReadRequest(shared).mSharedPromptParts[0]);

  HttpRequest malformed = MakeRequest();
  malformed.mHeaders = { { "X-Deadline-Ms", "soon" },
                         { "X-Token-Count", "1460" },
                         { "X-Prompt-Prefix", "5c1e07a2" } };
  CHECK_FALSE(protocol.ReadRequest(malformed).mUniquePromptPart);
  CHECK_FALSE(protocol.ReadRequest(malformed).mCallerTimeout);
  CHECK_FALSE(protocol.ReadRequest(malformed).mTokens);
}

TEST_CASE("Calls made from a caller's request")
{
  const platform::PlatformProtocol protocol;
  HttpRequest request = MakeRequest();
  const EndpointRecord endpoint = MakeEndpoint();

  SUBCASE("contain the request, the remaining time and the endpoint's id")
  {
    const HttpCallRequest call =
      protocol.Forward(request, endpoint, MakeParameters());
    CHECK(call.mMethod == HttpMethod::Post);
    CHECK(call.mTarget == "/x/1?a=b");
    CHECK(call.mBody == "body");
    CHECK(call.mHeaders.Find("X-Own") == "kept");
    CHECK(call.mHeaders.Find("Host") == "a.example");
    CHECK(call.mHeaders.Find("X-Prompt-Prefix") == "5c1e07a2:800");
    CHECK(call.mHeaders.Find("X-Deadline-Ms") == "700");
    CHECK(call.mHeaders.Count("X-Deadline-Ms") == 1);
    CHECK(call.mHeaders.Find("X-Expect-Instance") == "i-1");
  }
  // Guards against callers that control the engines by headers of their own.
  SUBCASE("contain no headers that only the router may set")
  {
    for (const std::string name : { "X-Serving-Stage",
                                    "x-kv-source",
                                    "X-Kv-Hold",
                                    "X-Pin-Ms",
                                    "X-Kv-Backup",
                                    "X-Request-Priority",
                                    "X-Expect-Instance",
                                    "X-Expect-Version",
                                    "Kv-Fetch",
                                    "X-Not-Run" }) {
      CAPTURE(name);
      request.mHeaders.Add(name, "forged");
      const auto value = protocol.Forward(request, endpoint, MakeParameters())
                           .mHeaders.Find(name);
      CHECK(value.value_or("") != "forged");
    }
  }
  SUBCASE("contain no connection headers, nor those listed in Connection")
  {
    request.mHeaders.Add("Connection", "close, X-Own, X-Request-Id");
    request.mHeaders.Add("Transfer-Encoding", "chunked");
    request.mHeaders.Add("Content-Length", "4");
    const HttpHeaders headers =
      protocol.Forward(request, endpoint, MakeParameters()).mHeaders;
    CHECK_FALSE(headers.Find("Connection"));
    CHECK_FALSE(headers.Find("Transfer-Encoding"));
    CHECK_FALSE(headers.Find("Content-Length"));
    CHECK_FALSE(headers.Find("X-Own"));
    CHECK(headers.Find("X-Request-Id") == "r1");
  }
  SUBCASE("name cache, reservation and last event for a decode engine")
  {
    request.mHeaders.Add("Last-Event-Id", "3");
    SendParameters parameters = MakeParameters();
    parameters.mCache = KvCache{ "i-2", { "10.0.0.2", 8080 }, "h1" };
    parameters.mReservation = "hold1";
    parameters.mLastEventId = "7";
    const HttpHeaders headers =
      protocol.Forward(request, endpoint, parameters).mHeaders;
    CHECK(headers.Find("X-Kv-Source") == "10.0.0.2:8080/h1");
    CHECK(headers.Find("X-Kv-Hold") == "hold1");
    CHECK(headers.Find("Last-Event-Id") == "7");
    CHECK(headers.Count("Last-Event-Id") == 1);
  }
  SUBCASE("name the prefill stage for a prefill engine")
  {
    const HttpHeaders headers =
      protocol.Prefill(request, endpoint, MakeParameters()).mHeaders;
    CHECK(headers.Find("X-Serving-Stage") == "prefill");
  }
  SUBCASE("use no connections to an earlier process of the endpoint")
  {
    EndpointRecord restarted = endpoint;
    restarted.mIncarnation = 6;
    CHECK(protocol.Forward(request, endpoint, MakeParameters()).mServer !=
          protocol.Forward(request, restarted, MakeParameters()).mServer);
  }
}

TEST_CASE("Calls that control engines")
{
  using Json = nlohmann::json;
  const platform::PlatformProtocol protocol;
  const EndpointRecord endpoint = MakeEndpoint();
  EndpointRecord target = MakeEndpoint();
  target.mAddress = { "10.0.0.9", 80 };

  const auto reservation = protocol.Reserve(endpoint, 5600, milliseconds(2000));
  CHECK(reservation.mTarget == "/api/hold-take");
  CHECK(Json::parse(reservation.mBody) ==
        Json{ { "tokens", 5600 }, { "ttl_ms", 2000 } });
  const auto move = *protocol.MoveCache(endpoint, "r1", target);
  CHECK(Json::parse(move.mBody) ==
        Json{ { "id", "r1" }, { "target", "10.0.0.9:80" }, { "last", true } });
  // Guards against a run that continues from the memory of another request: a
  // repeated answer to an earlier move arrives on the same connection.
  CHECK(move.mMaxIdleTime == Duration::zero());
  // Guards against a process that ends because of a caller's request id.
  SUBCASE("a move of a request whose id JSON can't carry is not sent")
  {
    for (const std::string id : { "caf\xe9", "\xff", "a\xc3" }) {
      CHECK(protocol.MoveCache(endpoint, id, target).status().code() ==
            absl::StatusCode::kInvalidArgument);
    }
    CHECK(protocol.MoveCache(endpoint, "caf\u00e9", target).ok());
  }
  const auto order =
    protocol.OrderRole(endpoint, EndpointRole::Decode, "front-1", 41, 2);
  CHECK(order.mTarget == "/api/order");
  CHECK(order.mHeaders.Find("X-Expect-Instance") == "i-1");
  CHECK(Json::parse(order.mBody) == Json{ { "op", "stage" },
                                          { "stage", "decode" },
                                          { "holder", "front-1" },
                                          { "fence", 41 },
                                          { "expect", 2 } });
  const auto list = protocol.ListCachedParts(endpoint);
  CHECK(list.mMethod == HttpMethod::Get);
  CHECK(list.mTarget == "/api/kv-list");
  CHECK(list.mHeaders.Find("X-Expect-Instance") == "i-1");
  CHECK(protocol.DropCache(endpoint, "a/b").mTarget == "/api/kv-handle/a%2Fb");
}

TEST_CASE("Answers of endpoints and of the router")
{
  const platform::PlatformProtocol protocol;

  SUBCASE("of endpoints have a stamp, a request id and a load")
  {
    const AnswerMetadata metadata =
      protocol.ReadAnswer(200,
                          { { "X-Server-Stamp", "s" },
                            { "X-Request-Id", "r1" },
                            { "X-Server-Load", "3,1,8" } });
    CHECK(metadata.mHasServerStamp);
    CHECK(metadata.mRequestId == "r1");
    REQUIRE(metadata.mLoad);
    CHECK(metadata.mLoad->mWaiting == 1);
    CHECK_FALSE(metadata.mIsNotRun);
  }
  SUBCASE("of endpoints may state that the request was not run")
  {
    CHECK(protocol.ReadAnswer(503, { { "X-Not-Run", "1" } }).mIsNotRun);
    CHECK(protocol.ReadAnswer(421, {}).mIsMisdirected);
    CHECK_FALSE(protocol.ReadAnswer(503, {}).mIsNotRun);
  }
  SUBCASE("of endpoints that refuse a request may keep others away")
  {
    const auto read = [&](int aStatus, const std::string& aText) {
      return protocol.ReadAnswer(aStatus, { { "Retry-After", aText } })
        .mRetryAfter;
    };
    CHECK(read(503, "3") == std::chrono::seconds(3));
    CHECK(read(503, "0.25") == std::chrono::milliseconds(250));
    CHECK(read(503, "7200") == std::chrono::minutes(10));
    CHECK_FALSE(read(200, "3"));
    CHECK_FALSE(read(429, "3"));
    for (const std::string text : { "",
                                    "0",
                                    "-3",
                                    "1e9",
                                    "nan",
                                    "inf",
                                    "99999999999",
                                    "1.2.3",
                                    "Fri, 31 Dec 1999 23:59:59 GMT" }) {
      CAPTURE(text);
      CHECK_FALSE(read(503, text));
    }
    // The caller gets the header as it is.
    CHECK(protocol.ForwardedHeaders({ { "Retry-After", "3" } })
            .Find("Retry-After") == "3");
  }
  SUBCASE("of endpoints may state that the endpoint leaves")
  {
    CHECK(protocol.ReadAnswer(200, { { "Server-Leaving", "1" } }).mIsLeaving);
    CHECK(protocol.ReadAnswer(503, { { "server-leaving", "1" } }).mIsLeaving);
    CHECK_FALSE(
      protocol.ReadAnswer(200, { { "Server-Leaving", "0" } }).mIsLeaving);
    CHECK_FALSE(protocol.ReadAnswer(200, {}).mIsLeaving);
    // The caller gets the header as well.
    CHECK(protocol.ForwardedHeaders({ { "Server-Leaving", "1" } })
            .Find("Server-Leaving") == "1");
  }
  SUBCASE("are forwarded without connection headers and the load")
  {
    const HttpHeaders headers =
      protocol.ForwardedHeaders({ { "X-Server-Stamp", "s" },
                                  { "Keep-Alive", "timeout=4" },
                                  { "Connection", "keep-alive" },
                                  { "X-Server-Load", "3,1,8" },
                                  { "Content-Type", "text/plain" } });
    CHECK(headers.Find("X-Server-Stamp") == "s");
    CHECK(headers.Find("Content-Type") == "text/plain");
    CHECK_FALSE(headers.Find("Keep-Alive"));
    CHECK_FALSE(headers.Find("X-Server-Load"));
  }
  SUBCASE("to control calls are parsed, and malformed ones rejected")
  {
    CHECK(*protocol.ReadCacheHandle(R"({"handle":"h1","tokens":1})") == "h1");
    CHECK_FALSE(protocol.ReadCacheHandle(R"({"handle":7})").ok());
    CHECK_FALSE(protocol.ReadCacheHandle("nonsense").ok());
    CHECK(*protocol.ReadReservation(R"({"hold":"x"})") == "x");
    const auto state =
      protocol.ReadState(R"({"stage":"prefill","busy":true,"sequence":2})");
    REQUIRE(state.ok());
    CHECK(state->mRole == EndpointRole::Prefill);
    CHECK(state->mIsBusy);
    CHECK(state->mOrdersAccepted == 2);
    CHECK_FALSE(protocol.ReadState("{}").ok());
    // Guards against a negative count that is read as a huge one.
    CHECK_FALSE(
      protocol.ReadState(R"({"stage":"decode","busy":true,"sequence":-2})")
        .ok());
    CHECK_FALSE(protocol.ReadCachedParts(R"({"held":[["","a",-7,"m"]]})").ok());
    const auto parts = protocol.ReadCachedParts(
      R"({"epoch":1,"next":7,"held":[["","5c1e07a2",800,"m"]]})");
    REQUIRE(parts.ok());
    REQUIRE(parts->size() == 1);
    CHECK((*parts)[0].mTokens == 800);
    // The key of the same prompt part in a request.
    CHECK((*parts)[0].mKey ==
          protocol.ReadRequest(MakeRequest()).mUniquePromptPart->mKey);
    CHECK_FALSE(protocol.ReadCachedParts(R"({"held":[["","a"]]})").ok());
    CHECK_FALSE(protocol.ReadCachedParts("{}").ok());
  }
  SUBCASE("of the router contain the request id and Retry-After")
  {
    RequestMetadata metadata;
    metadata.mId = "r1";
    const HttpHeaders headers =
      protocol.RouterAnswerHeaders(metadata, milliseconds(250));
    CHECK(headers.Find("Retry-After") == "0.25");
    CHECK(headers.Find("X-Request-Id") == "r1");
    CHECK_FALSE(protocol.RouterAnswerHeaders(metadata, Duration::zero())
                  .Find("Retry-After"));
  }
}

} // namespace bulrushfold
