#include "Net/HttpParser.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {

/** Feeds a parser and collects the body that it parses. */
struct Reader
{
  explicit Reader(HttpMessageKind aKind, HttpParserLimits aLimits = {})
    : mParser(aKind,
              aLimits,
              { [this] { ++mHeads; },
                [this](std::string_view aData) { mBody.append(aData); } })
  {
  }

  /** Feeds aData in parts of aStep bytes; returns the bytes that were not
   * consumed. */
  std::string Feed(const std::string& aData, std::size_t aStep = 1U << 20U)
  {
    std::size_t consumed = 0;
    while (consumed < aData.size()) {
      const std::string part = aData.substr(consumed, aStep);
      const std::size_t n = mParser.Feed(part);
      consumed += n;
      if (n < part.size()) {
        break;
      }
    }
    return aData.substr(consumed);
  }

  int mHeads = 0;
  std::string mBody;
  HttpParser mParser;
};

using State = HttpParser::State;

HttpParseError
ErrorOf(const std::string& aRequest)
{
  Reader reader(HttpMessageKind::Request);
  reader.Feed(aRequest);
  return reader.mParser.Error();
}

} // namespace

TEST_CASE("HTTP request parser")
{
  const std::string start = "POST /a/b?c HTTP/1.1\r\nHost: x\r\n";

  SUBCASE("a request with a length is parsed to its end and no further")
  {
    Reader reader(HttpMessageKind::Request);
    CHECK(reader.Feed(start + "Content-Length: 4\r\n\r\nbodyGET") == "GET");
    CHECK(reader.mParser.CurrentState() == State::Complete);
    CHECK(reader.mParser.Head().mMethod == HttpMethod::Post);
    CHECK(reader.mParser.Head().mTarget == "/a/b?c");
    CHECK(reader.mParser.Head().mKeepsAlive);
    CHECK(reader.mBody == "body");
  }
  SUBCASE("a chunked request is parsed to its end and no further")
  {
    Reader reader(HttpMessageKind::Request);
    CHECK(reader.Feed(start + "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nbod\r\n1\r\ny\r\n0\r\n\r\nrest") == "rest");
    CHECK(reader.mBody == "body");
  }
  // Guards against a parsed head or body that depends on how the network splits
  // the bytes.
  SUBCASE("the result does not depend on how the bytes are split")
  {
    const std::string request =
      "\r\n" + start +
      "Transfer-Encoding: chunked\r\n\r\n"
      "a\r\n0123456789\r\n2\r\nxy\r\n0\r\nT: v\r\n\r\n";
    const auto step = rc::check(
      "the message is the same for any step", [&](std::uint8_t aStep) {
        Reader reader(HttpMessageKind::Request);
        RC_ASSERT(reader.Feed(request, 1U + aStep % request.size()).empty());
        RC_ASSERT(reader.mParser.CurrentState() == State::Complete);
        RC_ASSERT(reader.mBody == "0123456789xy");
        RC_ASSERT(reader.mHeads == 1);
      });
    CHECK(step);
  }
  // Guards against request smuggling: two parsers of the same bytes must not
  // see different messages.
  SUBCASE("ambiguous framing is refused")
  {
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<std::string> bad{
      post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
      post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
      post + "Content-Length: +4\r\n\r\nbody",
      post + "Content-Length: 4, 4\r\n\r\nbody",
      post + "Content-Length: 0x4\r\n\r\nbody",
      post + "Content-Length: \r\n\r\n",
      post + "Content-Length : 4\r\n\r\nbody",
      post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
      post + "Transfer-Encoding: xchunked\r\n\r\n",
      post +
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
      post + "Transfer-Encoding:\r\n chunked\r\n\r\n",
      "GET / HTTP/1.1\nHost: x\n\n",
      "GET / HTTP/1.1\r\nHost: x\n\r\n",
      "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: x\r\nA b: c\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: x\r\n: c\r\n\r\n",
      std::string("GET / HTTP/1.1\r\nHost: x\r\nA: b") + '\0' + "c\r\n\r\n",
      "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
      "GET /\r\n\r\n",
      "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
    };
    for (const auto& it : bad) {
      CAPTURE(it);
      CHECK(ErrorOf(it) == HttpParseError::Malformed);
    }
    CHECK(ErrorOf("BREW / HTTP/1.1\r\nHost: x\r\n\r\n") ==
          HttpParseError::UnknownMethod);
  }
  SUBCASE("malformed chunks are refused")
  {
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string body :
         { "g\r\n", "-1\r\n", "3\r\nbody", "3\nbod", "\r\n" }) {
      CAPTURE(body);
      CHECK(ErrorOf(chunked + body) == HttpParseError::Malformed);
    }
  }
  SUBCASE("size limits apply before the bytes are stored")
  {
    const HttpParserLimits limits{ 100, 10 };
    Reader header(HttpMessageKind::Request, limits);
    header.Feed("GET / HTTP/1.1\r\nA: " + std::string(1000, 'a'));
    CHECK(header.mParser.Error() == HttpParseError::HeaderTooLarge);
    Reader length(HttpMessageKind::Request, limits);
    length.Feed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
    CHECK(length.mParser.Error() == HttpParseError::BodyTooLarge);
    Reader chunks(HttpMessageKind::Request, limits);
    chunks.Feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                "\r\n\r\nb\r\n01234567890\r\n");
    CHECK(chunks.mParser.Error() == HttpParseError::BodyTooLarge);
  }
}

TEST_CASE("HTTP reply parser")
{
  Reader reader(HttpMessageKind::Reply);

  SUBCASE("a reply with a length is complete before the connection closes")
  {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP") ==
          "HTTP");
    CHECK(reader.mParser.CurrentState() == State::Complete);
  }
  // Guards against a truncated reply that looks complete.
  SUBCASE("a reply without a length is complete when the connection closes")
  {
    reader.Feed("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK(reader.mParser.CurrentState() == State::Body);
    CHECK(reader.mParser.Head().mIsCloseDelimited);
    reader.mParser.FeedEof();
    CHECK(reader.mParser.CurrentState() == State::Complete);
  }
  SUBCASE("a reply with a length is incomplete if the connection closes early")
  {
    reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    reader.mParser.FeedEof();
    CHECK(reader.mParser.CurrentState() == State::Failed);
  }
  SUBCASE("a reply to a HEAD request has no body")
  {
    reader.mParser.Restart(true);
    reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    CHECK(reader.mParser.CurrentState() == State::Complete);
  }
  SUBCASE("interim replies before the final reply are skipped")
  {
    reader.Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    CHECK(reader.mParser.CurrentState() == State::Complete);
    CHECK(reader.mParser.Head().mStatus == 204);
    CHECK(reader.mHeads == 1);
  }
  // Guards against a server that keeps the parser busy without an answer.
  SUBCASE("interim replies without end fail")
  {
    std::string interim;
    for (int i = 0; i < 16; ++i) {
      interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    reader.Feed(interim);
    CHECK(reader.mParser.CurrentState() != State::Failed);
    reader.Feed("HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(reader.mParser.CurrentState() == State::Failed);
  }
  SUBCASE("chunks that consist mostly of extensions fail")
  {
    reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "1;" + std::string(30'000, 'a') + "\r\nx\r\n";
    reader.Feed(chunk);
    CHECK(reader.mParser.CurrentState() == State::Body);
    reader.Feed(chunk + chunk);
    CHECK(reader.mParser.CurrentState() == State::Failed);
  }
  SUBCASE("chunks of one byte do not fail")
  {
    std::string chunks;
    for (int i = 0; i < 100'000; ++i) {
      chunks += "1\r\nx\r\n";
    }
    reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunks + "0\r\n\r\n");
    CHECK(reader.mParser.CurrentState() == State::Complete);
  }
  SUBCASE("bytes that are not an HTTP reply fail")
  {
    for (const std::string bad : { "garbage\r\n\r\n",
                                   "HTTP/1.1 20 OK\r\n\r\n",
                                   "HTTP/1.1 101 Switching\r\n\r\n" }) {
      CAPTURE(bad);
      Reader other(HttpMessageKind::Reply);
      other.Feed(bad);
      CHECK(other.mParser.CurrentState() == State::Failed);
    }
  }
  SUBCASE("arbitrary bytes do not crash the parser")
  {
    CHECK(rc::check("arbitrary bytes", [](const std::string& aBytes) {
      Reader other(HttpMessageKind::Reply);
      other.Feed("HTTP/1.1 200 OK\r\n" + aBytes, 7);
      other.mParser.FeedEof();
    }));
  }
}

} // namespace bulrushfold
