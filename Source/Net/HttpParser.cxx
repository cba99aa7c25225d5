#include "Net/HttpParser.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <http_parser.h>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/** A server that sends more interim replies before a final one is faulty. */
constexpr std::uint32_t kMaxInterimReplies = 16;
/** Bytes of chunk headers and trailers that a body may have regardless of its
 * size. */
constexpr std::size_t kMinFramingLimit = 64 * 1024;
/** Bytes of chunk headers that a body may have for each byte of content; a
 * chunk of one byte has six. */
constexpr std::size_t kMaxFramingRatio = 16;
/** Value of http_parser::content_length when the message has no length. */
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

constexpr EnumNames<HttpParseError, 5> kErrorNames{ {
  { HttpParseError::None, "none" },
  { HttpParseError::Malformed, "malformed" },
  { HttpParseError::HeaderTooLarge, "header_too_large" },
  { HttpParseError::BodyTooLarge, "body_too_large" },
  { HttpParseError::UnknownMethod, "unknown_method" },
} };

/** True when aHead has a line feed without CR, a folded header line or a NUL.
 */
bool
HasAmbiguousLines(std::string_view aHead)
{
  for (std::size_t at = aHead.find('\n'); at != std::string_view::npos;
       at = aHead.find('\n', at + 1)) {
    const bool isBare = at == 0 || aHead[at - 1] != '\r';
    const char next = at + 1 < aHead.size() ? aHead[at + 1] : '\r';
    if (isBare || next == ' ' || next == '\t') {
      return true;
    }
  }
  return aHead.find('\0') != std::string_view::npos;
}

/**
 * Checks the line ends between the chunks of a body. The http_parser library,
 * as Debian builds it, skips them without a check.
 */
class ChunkFramingChecker
{
public:
  /** Starts the check of aPart, the bytes that the library parses next. */
  void BeginPart(std::string_view aPart)
  {
    mPart = aPart;
    mCheckedBytes = 0;
  }
  /** Starts a chunk with aSize bytes of content. */
  void BeginChunk(std::uint64_t aSize) { mRemainingBytes = aSize; }
  /** Skips aData, a range of the part that is content of a chunk. */
  void HandleContent(std::string_view aData)
  {
    CheckUntil(static_cast<std::size_t>(aData.data() - mPart.data()));
    mCheckedBytes += aData.size();
    mRemainingBytes -= std::min<std::uint64_t>(mRemainingBytes, aData.size());
    mIsAfterChunk = mRemainingBytes == 0;
  }
  /**
   * Checks the first aSize bytes of the part.
   * @return false when a line of the body so far did not end in CR LF.
   */
  bool FinishPart(std::size_t aSize)
  {
    CheckUntil(aSize);
    return mIsValid;
  }

private:
  void CheckUntil(std::size_t aEnd)
  {
    for (; mCheckedBytes < aEnd; ++mCheckedBytes) {
      const char c = mPart[mCheckedBytes];
      const bool mustBeLineFeed = mPrevious == '\r';
      mIsValid = mIsValid && (c == '\n') == mustBeLineFeed &&
                 (!mIsAfterChunk || c == '\r');
      mIsAfterChunk = false;
      mPrevious = c;
    }
  }

  std::string_view mPart;
  std::size_t mCheckedBytes = 0;
  std::uint64_t mRemainingBytes = 0;
  char mPrevious = 0;
  bool mIsAfterChunk = false;
  bool mIsValid = true;
};

} // namespace

std::string_view
HttpParseErrorName(HttpParseError aError)
{
  return FindEnumName(kErrorNames, aError);
}

/** State and callbacks of the http_parser library. */
struct HttpParser::LibraryAdapter
{
  explicit LibraryAdapter(HttpParser& aOwner)
    : mOwner(aOwner)
  {
    http_parser_settings_init(&mSettings);
    mSettings.on_url = &LibraryAdapter::HandleTarget;
    mSettings.on_header_field = &LibraryAdapter::HandleFieldName;
    mSettings.on_header_value = &LibraryAdapter::HandleFieldValue;
    mSettings.on_headers_complete = &LibraryAdapter::HandleHeadEnd;
    mSettings.on_body = &LibraryAdapter::HandleBody;
    mSettings.on_chunk_header = &LibraryAdapter::HandleChunkHeader;
    mSettings.on_message_complete = &LibraryAdapter::HandleEnd;
  }

  void Restart()
  {
    http_parser_init(&mParser,
                     mOwner.mKind == HttpMessageKind::Request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    mParser.data = this;
    mFields.clear();
    mIsReadingValue = false;
    mIsMessageComplete = false;
    mIsHeadComplete = false;
    mChunkChecker = ChunkFramingChecker();
  }

  std::size_t Execute(std::string_view aData)
  {
    mChunkChecker.BeginPart(aData);
    return http_parser_execute(
      &mParser, &mSettings, aData.data(), aData.size());
  }
  bool IsChunked() const { return (mParser.flags & F_CHUNKED) != 0; }
  bool HasFailed() const
  {
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    return error != HPE_OK && error != HPE_PAUSED;
  }

  /** True for a reply that has a body but no length. */
  bool IsCloseDelimited() const
  {
    const auto status = static_cast<int>(mParser.status_code);
    const bool mayHaveBody = mOwner.mKind == HttpMessageKind::Reply &&
                             !mOwner.mIsReplyToHead &&
                             status >= kFirstFinalStatus &&
                             status != kNoContent && status != kNotModified;
    return mayHaveBody && !IsChunked() && mParser.content_length == kNoLength;
  }

  static LibraryAdapter& Self(http_parser* aParser)
  {
    return *static_cast<LibraryAdapter*>(aParser->data);
  }
  static int HandleTarget(http_parser* aParser, const char* aAt, size_t aSize)
  {
    Self(aParser).mOwner.mHead.mTarget.append(aAt, aSize);
    return 0;
  }
  static int HandleFieldName(http_parser* aParser,
                             const char* aAt,
                             size_t aSize)
  {
    LibraryAdapter& self = Self(aParser);
    if (self.mFields.empty() || self.mIsReadingValue) {
      self.mFields.emplace_back();
      self.mIsReadingValue = false;
    }
    self.mFields.back().mName.append(aAt, aSize);
    return 0;
  }
  static int HandleFieldValue(http_parser* aParser,
                              const char* aAt,
                              size_t aSize)
  {
    LibraryAdapter& self = Self(aParser);
    self.mIsReadingValue = true;
    self.mFields.back().mValue.append(aAt, aSize);
    return 0;
  }
  static int HandleHeadEnd(http_parser* aParser)
  {
    LibraryAdapter& self = Self(aParser);
    HttpHead& head = self.mOwner.mHead;
    for (const auto& it : self.mFields) {
      head.mHeaders.Add(it.mName, it.mValue);
    }
    head.mStatus = aParser->status_code;
    head.mIsVersion11 = aParser->http_major == 1 && aParser->http_minor == 1;
    head.mKeepsAlive = http_should_keep_alive(aParser) != 0;
    head.mIsCloseDelimited = self.IsCloseDelimited();
    self.mIsHeadComplete = true;
    constexpr int kSkipBody = 1;
    return self.mOwner.mIsReplyToHead ? kSkipBody : 0;
  }
  static int HandleBody(http_parser* aParser, const char* aAt, size_t aSize)
  {
    LibraryAdapter& self = Self(aParser);
    HttpParser& owner = self.mOwner;
    self.mChunkChecker.HandleContent({ aAt, aSize });
    owner.mBodyBytes += aSize;
    if (owner.mBodyBytes > owner.mLimits.mMaxBodyBytes) {
      owner.mError = HttpParseError::BodyTooLarge;
      return -1;
    }
    if (owner.mHooks.mOnBody) {
      owner.mHooks.mOnBody({ aAt, aSize });
    }
    return 0;
  }
  static int HandleChunkHeader(http_parser* aParser)
  {
    Self(aParser).mChunkChecker.BeginChunk(aParser->content_length);
    return 0;
  }
  static int HandleEnd(http_parser* aParser)
  {
    Self(aParser).mIsMessageComplete = true;
    // Without the pause, the library would continue with the next message.
    http_parser_pause(aParser, 1);
    return 0;
  }

  HttpParser& mOwner;
  http_parser mParser{};
  http_parser_settings mSettings{};
  std::vector<HttpHeader> mFields;
  ChunkFramingChecker mChunkChecker;
  bool mIsReadingValue = false;
  bool mIsHeadComplete = false;
  bool mIsMessageComplete = false;
};

HttpParser::HttpParser(HttpMessageKind aKind,
                       HttpParserLimits aLimits,
                       Hooks aHooks)
  : mKind(aKind)
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
  , mAdapter(std::make_unique<LibraryAdapter>(*this))
{
  mAdapter->Restart();
}

HttpParser::~HttpParser() = default;

void
HttpParser::Restart(bool aIsReplyToHead)
{
  mState = State::Idle;
  mError = HttpParseError::None;
  mHead = HttpHead();
  mHeadBytes.clear();
  mBodyBytes = 0;
  mFramingBytes = 0;
  mInterimReplies = 0;
  mIsReplyToHead = aIsReplyToHead;
  mAdapter->Restart();
}

void
HttpParser::Fail(HttpParseError aError)
{
  mState = State::Failed;
  if (mError == HttpParseError::None) {
    mError = aError;
  }
}

std::size_t
HttpParser::Feed(std::string_view aData)
{
  std::size_t consumed = 0;
  while (consumed < aData.size() && mState != State::Complete &&
         mState != State::Failed) {
    const std::string_view rest = aData.substr(consumed);
    consumed += mState == State::Body ? FeedBody(rest) : FeedHead(rest);
  }
  return consumed;
}

std::size_t
HttpParser::FeedHead(std::string_view aData)
{
  std::size_t skipped = 0;
  if (mState == State::Idle && mKind == HttpMessageKind::Request) {
    // Empty lines before a request are allowed.
    while (aData.substr(skipped, 2) == "\r\n") {
      skipped += 2;
    }
    if (skipped == aData.size()) {
      return skipped;
    }
  }
  mState = State::Head;
  const std::string_view data = aData.substr(skipped);
  const std::size_t oldSize = mHeadBytes.size();
  const std::size_t capacity = mLimits.mMaxHeaderBytes + 1 - oldSize;
  mHeadBytes.append(data.substr(0, capacity));
  const std::size_t searchStart =
    oldSize < kHeadEnd.size() ? 0 : oldSize - kHeadEnd.size() + 1;
  const std::size_t end = mHeadBytes.find(kHeadEnd, searchStart);
  if (end != std::string::npos) {
    mHeadBytes.resize(end + kHeadEnd.size());
  }
  const std::size_t appended = mHeadBytes.size() - oldSize;
  if (HasAmbiguousLines(mHeadBytes)) {
    Fail(HttpParseError::Malformed);
  } else if (mHeadBytes.size() > mLimits.mMaxHeaderBytes) {
    Fail(HttpParseError::HeaderTooLarge);
  } else if (end != std::string::npos) {
    ParseHead();
  }
  return skipped + appended;
}

void
HttpParser::ParseHead()
{
  const std::size_t consumed = mAdapter->Execute(mHeadBytes);
  if (mError == HttpParseError::None && mAdapter->HasFailed()) {
    const bool isMethodError =
      HTTP_PARSER_ERRNO(&mAdapter->mParser) == HPE_INVALID_METHOD;
    Fail(isMethodError ? HttpParseError::UnknownMethod
                       : HttpParseError::Malformed);
    return;
  }
  if (!mAdapter->mIsHeadComplete || consumed != mHeadBytes.size()) {
    Fail(HttpParseError::Malformed);
    return;
  }
  if (const auto error = CheckHead(); error != HttpParseError::None) {
    Fail(error);
    return;
  }
  if (mKind == HttpMessageKind::Reply && mHead.mStatus < kFirstFinalStatus) {
    // This is an interim reply; the final reply follows.
    const bool isReplyToHead = mIsReplyToHead;
    const std::uint32_t interimReplies = mInterimReplies + 1;
    Restart(isReplyToHead);
    mInterimReplies = interimReplies;
    if (mInterimReplies > kMaxInterimReplies) {
      Fail(HttpParseError::Malformed);
    }
    return;
  }
  if (mKind == HttpMessageKind::Request) {
    const auto name =
      http_method_str(static_cast<http_method>(mAdapter->mParser.method));
    mHead.mMethod = *ParseHttpMethod(name);
  }
  mHeadBytes.clear();
  mState = State::Body;
  if (mHooks.mOnHead) {
    mHooks.mOnHead();
  }
  if (mState == State::Body && mAdapter->mIsMessageComplete) {
    mState = State::Complete;
  }
}

HttpParseError
HttpParser::CheckHead() const
{
  const auto& parser = mAdapter->mParser;
  const bool isVersion10 = parser.http_major == 1 && parser.http_minor == 0;
  if (!mHead.mIsVersion11 && !isVersion10) {
    return HttpParseError::Malformed;
  }
  for (const auto& [name, value] : mHead.mHeaders.Fields()) {
    if (!IsValidHeader(name, value)) {
      return HttpParseError::Malformed;
    }
  }
  const std::size_t lengths = mHead.mHeaders.Count("Content-Length");
  const std::size_t codings = mHead.mHeaders.Count("Transfer-Encoding");
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1)) {
    return HttpParseError::Malformed;
  }
  if (const auto coding = mHead.mHeaders.Find("Transfer-Encoding");
      coding && !IsSameHeaderName(*coding, "chunked")) {
    return HttpParseError::Malformed;
  }
  if (const auto length = mHead.mHeaders.Find("Content-Length"); length) {
    const bool isNumber =
      !length->empty() &&
      std::all_of(length->begin(), length->end(), [](char aDigit) {
        return aDigit >= '0' && aDigit <= '9';
      });
    if (!isNumber) {
      return HttpParseError::Malformed;
    }
    // The library decreases content_length as it parses the body. It has not
    // parsed any byte of the body yet, so the value is the full length.
    if (parser.content_length != kNoLength &&
        parser.content_length > mLimits.mMaxBodyBytes && !mIsReplyToHead) {
      return HttpParseError::BodyTooLarge;
    }
  }
  if (mKind == HttpMessageKind::Request) {
    const auto name = http_method_str(static_cast<http_method>(parser.method));
    const bool hasHost = mHead.mHeaders.Count("Host") == 1;
    if (!ParseHttpMethod(name)) {
      return HttpParseError::UnknownMethod;
    }
    if (mHead.mHeaders.Count("Host") > 1 || (mHead.mIsVersion11 && !hasHost) ||
        mHead.mTarget.empty() || mHead.mTarget.front() != '/') {
      return HttpParseError::Malformed;
    }
  }
  const bool isValidStatus = parser.status_code >= kFirstStatus &&
                             parser.status_code != kSwitchingProtocols;
  return mKind == HttpMessageKind::Reply && !isValidStatus
           ? HttpParseError::Malformed
           : HttpParseError::None;
}

std::size_t
HttpParser::FeedBody(std::string_view aData)
{
  const std::size_t oldBodyBytes = mBodyBytes;
  const std::size_t consumed = mAdapter->Execute(aData);
  mFramingBytes += consumed - std::min(consumed, mBodyBytes - oldBodyBytes);
  const bool isFramingValid =
    mFramingBytes <= kMinFramingLimit + kMaxFramingRatio * mBodyBytes &&
    (!mAdapter->IsChunked() || mAdapter->mChunkChecker.FinishPart(consumed));
  if (mError != HttpParseError::None || mAdapter->HasFailed() ||
      !isFramingValid) {
    Fail(HttpParseError::Malformed);
  } else if (mAdapter->mIsMessageComplete) {
    mState = State::Complete;
  }
  return consumed;
}

void
HttpParser::FeedEof()
{
  if (mState == State::Body && mHead.mIsCloseDelimited) {
    mAdapter->Execute({});
    mState = State::Complete;
  } else if (mState != State::Complete) {
    Fail(HttpParseError::Malformed);
  }
}

} // namespace bulrushfold
