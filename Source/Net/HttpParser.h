#ifndef BULRUSHFOLD_NET_HTTPPARSER_H
#define BULRUSHFOLD_NET_HTTPPARSER_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Net/HttpMessage.h"

namespace bulrushfold {

/** Which kind of message a parser reads. */
enum class HttpMessageKind
{
  Request,
  Reply,
};

/** Why a message was not accepted. */
enum class HttpParseError
{
  None,
  /** Not HTTP/1, or with framing that two readers could understand
   * differently. */
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /** A method that the project does not pass on. */
  UnknownMethod,
};

/** Name of aError in logs. */
std::string_view HttpParseErrorName(HttpParseError aError);

/** Start line and header of a message. */
struct HttpHead
{
  /** Requests only. */
  HttpMethod mMethod = HttpMethod::Get;
  std::string mTarget;
  /** Replies only. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  /** False for HTTP/1.0. */
  bool mIsVersion11 = true;
  /** The connection may carry another message after this one. */
  bool mKeepsAlive = false;
  /** A reply without length that ends with its connection. */
  bool mIsCloseDelimited = false;
};

/** Bounds on a message, in bytes. */
struct HttpParserLimits
{
  std::size_t mMaxHeaderBytes = 64 * 1024;
  std::size_t mMaxBodyBytes = 256 * 1024 * 1024;
};

/**
 * Reads HTTP/1 messages one after the other. Framing is strict: bare line
 * ends, folded header lines, repeated or contradicting lengths are errors,
 * because another reader of the same bytes could see other messages.
 */
class HttpParser
{
public:
  enum class State
  {
    /** No byte of a message has arrived. */
    Idle,
    Head,
    Body,
    Complete,
    Failed,
  };

  struct Hooks
  {
    /** The head is complete; Head() is set. */
    std::function<void()> mOnHead;
    std::function<void(std::string_view)> mOnBody;
  };

  HttpParser(HttpMessageKind aKind, HttpParserLimits aLimits, Hooks aHooks);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;
  ~HttpParser();

  /**
   * Takes bytes up to the end of the current message. Stops at Complete and
   * Failed.
   * @return the number of bytes taken.
   */
  std::size_t Feed(std::string_view aData);
  /** The other side closed its direction: completes a reply without length. */
  void FeedEof();
  /** Begins the next message. aIsReplyToHead: a reply that has no body. */
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
  /** Parses mHeadBytes, which hold a whole head. */
  void ParseHead();
  /** Checks what the library lets pass. */
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
  bool mIsReplyToHead = false;
};

} // namespace bulrushfold

#endif
