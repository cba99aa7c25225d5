#ifndef BULRUSHFOLD_NET_HTTPPARSER_H
#define BULRUSHFOLD_NET_HTTPPARSER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Net/HttpMessage.h"

namespace bulrushfold {

/** Kind of message that a parser reads. */
enum class HttpMessageKind
{
  Request,
  Reply,
};

/** Reason why a message was refused. */
enum class HttpParseError
{
  None,
  /** The message is not HTTP/1, or its framing is ambiguous: two parsers could
   * disagree on where the message ends. */
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /** The method of the request is not supported. */
  UnknownMethod,
};

/** Name of aError in logs. */
std::string_view HttpParseErrorName(HttpParseError aError);

/** Start line and header fields of a message. */
struct HttpHead
{
  /** Requests only. */
  HttpMethod mMethod = HttpMethod::Get;
  /** Requests only. */
  std::string mTarget;
  /** Replies only. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  /** False for HTTP/1.0. */
  bool mIsVersion11 = true;
  /** The connection may carry another message after this one. */
  bool mKeepsAlive = false;
  /** True for a reply without a length, which ends when the server closes the
   * connection. */
  bool mIsCloseDelimited = false;
};

/** Size limits for a message, in bytes. */
struct HttpParserLimits
{
  std::size_t mMaxHeaderBytes = 64 * 1024;
  std::size_t mMaxBodyBytes = 256 * 1024 * 1024;
};

/**
 * Incremental parser for a sequence of HTTP/1 messages. Framing is strict:
 * line feeds without CR, folded header lines, and repeated or contradicting
 * lengths are errors, because another parser could split the same bytes into
 * different messages (request smuggling).
 */
class HttpParser
{
public:
  enum class State
  {
    /** No byte of the current message has been received. */
    Idle,
    Head,
    Body,
    Complete,
    Failed,
  };

  struct Hooks
  {
    /** Called when the head is complete and Head() is set. Optional. */
    std::function<void()> mOnHead;
    /** Called for each part of the body. Optional. */
    std::function<void(std::string_view)> mOnBody;
  };

  HttpParser(HttpMessageKind aKind, HttpParserLimits aLimits, Hooks aHooks);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;
  ~HttpParser();

  /**
   * Parses bytes up to the end of the current message. Stops when the state
   * becomes Complete or Failed.
   * @return the number of bytes consumed.
   */
  std::size_t Feed(std::string_view aData);
  /** Reports the end of the input. Completes a reply without a length, and
   * fails any other message that is not complete. */
  void FeedEof();
  /** Resets the parser for the next message. aIsReplyToHead: the message
   * answers a HEAD request and has no body. */
  void Restart(bool aIsReplyToHead = false);

  void SetLimits(HttpParserLimits aLimits) { mLimits = aLimits; }
  State CurrentState() const { return mState; }
  HttpParseError Error() const { return mError; }
  const HttpHead& Head() const { return mHead; }
  HttpHead ReleaseHead() { return std::move(mHead); }

private:
  struct LibraryAdapter;

  std::size_t FeedHead(std::string_view aData);
  std::size_t FeedBody(std::string_view aData);
  /** Parses mHeadBytes, which contains a complete head. */
  void ParseHead();
  /** Applies the checks that the http_parser library does not make. */
  HttpParseError CheckHead() const;
  void Fail(HttpParseError aError);

  HttpMessageKind mKind;
  HttpParserLimits mLimits;
  Hooks mHooks;
  std::unique_ptr<LibraryAdapter> mAdapter;
  State mState = State::Idle;
  HttpParseError mError = HttpParseError::None;
  HttpHead mHead;
  std::string mHeadBytes;
  std::size_t mBodyBytes = 0;
  /** Bytes of chunk headers and trailers. */
  std::size_t mFramingBytes = 0;
  std::uint32_t mInterimReplies = 0;
  bool mIsReplyToHead = false;
};

} // namespace bulrushfold

#endif
