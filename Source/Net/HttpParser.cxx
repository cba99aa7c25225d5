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
/** Value of the library's length field when the message states none. */
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

constexpr EnumNames<HttpParseError, 5> kErrorNames{ {
  { HttpParseError::None, "none" },
  { HttpParseError::Malformed, "malformed" },
  { HttpParseError::HeaderTooLarge, "header_too_large" },
  { HttpParseError::BodyTooLarge, "body_too_large" },
  { HttpParseError::UnknownMethod, "unknown_method" },
} };

/** True when a line of aHead ends without CR or continues the one before. */
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
 * Checks the line ends between the chunks of a body, which the library as
 * Debian builds it skips unseen.
 */
class ChunkFraming
{
public:
  /** The library is about to read aPart. */
  void Begin(std::string_view aPart)
  {
    mPart = aPart;
    mChecked = 0;
  }
  void OnChunk(std::uint64_t aSize) { mLeft = aSize; }
  /** aData, inside the part, is content of a chunk. */
  void OnData(std::string_view aData)
  {
    CheckUntil(static_cast<std::size_t>(aData.data() - mPart.data()));
    mChecked += aData.size();
    mLeft -= std::min<std::uint64_t>(mLeft, aData.size());
    mIsAfterChunk = mLeft == 0;
  }
  /** False when a line did not end as it must in the first aSize bytes. */
  bool End(std::size_t aSize)
  {
    CheckUntil(aSize);
    return mIsGood;
  }

private:
  void CheckUntil(std::size_t aEnd)
  {
    for (; mChecked < aEnd; ++mChecked) {
      const char c = mPart[mChecked];
      const bool mustBeLineFeed = mPrevious == '\r';
      mIsGood = mIsGood && (c == '\n') == mustBeLineFeed &&
                (!mIsAfterChunk || c == '\r');
      mIsAfterChunk = false;
      mPrevious = c;
    }
  }

  std::string_view mPart;
  std::size_t mChecked = 0;
  std::uint64_t mLeft = 0;
  char mPrevious = 0;
  bool mIsAfterChunk = false;
  bool mIsGood = true;
};

} // namespace

std::string_view
HttpParseErrorName(HttpParseError aError)
{
  return FindEnumName(kErrorNames, aError);
}

/** State of the parser library, and its callbacks. */
struct HttpParser::Library
{
  explicit Library(HttpParser& aOwner)
    : mOwner(aOwner)
  {
    http_parser_settings_init(&mSettings);
    mSettings.on_url = &Library::HandleTarget;
    mSettings.on_header_field = &Library::HandleFieldName;
    mSettings.on_header_value = &Library::HandleFieldValue;
    mSettings.on_headers_complete = &Library::HandleHeadEnd;
    mSettings.on_body = &Library::HandleBody;
    mSettings.on_chunk_header = &Library::HandleChunkHeader;
    mSettings.on_message_complete = &Library::HandleEnd;
  }

  void Restart()
  {
    http_parser_init(&mParser,
                     mOwner.mKind == HttpMessageKind::Request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    mParser.data = this;
    mFields.clear();
    mIsValueOpen = false;
    mIsComplete = false;
    mIsHeadDone = false;
    mFraming = ChunkFraming();
  }

  std::size_t Execute(std::string_view aData)
  {
    mFraming.Begin(aData);
    return http_parser_execute(
      &mParser, &mSettings, aData.data(), aData.size());
  }
  bool IsChunked() const { return (mParser.flags & F_CHUNKED) != 0; }
  bool HasFailed() const
  {
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    return error != HPE_OK && error != HPE_PAUSED;
  }

  /** True for a reply with a body of which no length is stated. */
  bool EndsWithConnection() const
  {
    const auto status = static_cast<int>(mParser.status_code);
    const bool mayHaveBody = mOwner.mKind == HttpMessageKind::Reply &&
                             !mOwner.mIsReplyToHead &&
                             status >= kFirstFinalStatus &&
                             status != kNoContent && status != kNotModified;
    return mayHaveBody && !IsChunked() && mParser.content_length == kNoLength;
  }

  static Library& Self(http_parser* aParser)
  {
    return *static_cast<Library*>(aParser->data);
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
    Library& self = Self(aParser);
    if (self.mFields.empty() || self.mIsValueOpen) {
      self.mFields.emplace_back();
      self.mIsValueOpen = false;
    }
    self.mFields.back().mName.append(aAt, aSize);
    return 0;
  }
  static int HandleFieldValue(http_parser* aParser,
                              const char* aAt,
                              size_t aSize)
  {
    Library& self = Self(aParser);
    self.mIsValueOpen = true;
    self.mFields.back().mValue.append(aAt, aSize);
    return 0;
  }
  static int HandleHeadEnd(http_parser* aParser)
  {
    Library& self = Self(aParser);
    HttpHead& head = self.mOwner.mHead;
    for (const auto& it : self.mFields) {
      head.mHeaders.Add(it.mName, it.mValue);
    }
    head.mStatus = aParser->status_code;
    head.mIsVersion11 = aParser->http_major == 1 && aParser->http_minor == 1;
    head.mKeepsAlive = http_should_keep_alive(aParser) != 0;
    head.mEndsWithConnection = self.EndsWithConnection();
    self.mIsHeadDone = true;
    constexpr int kSkipBody = 1;
    return self.mOwner.mIsReplyToHead ? kSkipBody : 0;
  }
  static int HandleBody(http_parser* aParser, const char* aAt, size_t aSize)
  {
    Library& self = Self(aParser);
    HttpParser& owner = self.mOwner;
    self.mFraming.OnData({ aAt, aSize });
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
    Self(aParser).mFraming.OnChunk(aParser->content_length);
    return 0;
  }
  static int HandleEnd(http_parser* aParser)
  {
    Self(aParser).mIsComplete = true;
    // The library would go on with the next message.
    http_parser_pause(aParser, 1);
    return 0;
  }

  HttpParser& mOwner;
  http_parser mParser{};
  http_parser_settings mSettings{};
  std::vector<HttpHeader> mFields;
  ChunkFraming mFraming;
  bool mIsValueOpen = false;
  bool mIsHeadDone = false;
  bool mIsComplete = false;
};

HttpParser::HttpParser(HttpMessageKind aKind,
                       HttpParserLimits aLimits,
                       Hooks aHooks)
  : mKind(aKind)
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
  , mLibrary(std::make_unique<Library>(*this))
{
  mLibrary->Restart();
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
  mIsReplyToHead = aIsReplyToHead;
  mLibrary->Restart();
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
  std::size_t used = 0;
  while (used < aData.size() && mState != State::Complete &&
         mState != State::Failed) {
    const std::string_view rest = aData.substr(used);
    used += mState == State::Body ? FeedBody(rest) : FeedHead(rest);
  }
  return used;
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
  const std::size_t before = mHeadBytes.size();
  const std::size_t room = mLimits.mMaxHeaderBytes + 1 - before;
  mHeadBytes.append(data.substr(0, room));
  const std::size_t from =
    before < kHeadEnd.size() ? 0 : before - kHeadEnd.size() + 1;
  const std::size_t end = mHeadBytes.find(kHeadEnd, from);
  if (end != std::string::npos) {
    mHeadBytes.resize(end + kHeadEnd.size());
  }
  const std::size_t taken = mHeadBytes.size() - before;
  if (HasAmbiguousLines(mHeadBytes)) {
    Fail(HttpParseError::Malformed);
  } else if (mHeadBytes.size() > mLimits.mMaxHeaderBytes) {
    Fail(HttpParseError::HeaderTooLarge);
  } else if (end != std::string::npos) {
    ParseHead();
  }
  return skipped + taken;
}

void
HttpParser::ParseHead()
{
  const std::size_t used = mLibrary->Execute(mHeadBytes);
  if (mError == HttpParseError::None && mLibrary->HasFailed()) {
    const bool isMethod =
      HTTP_PARSER_ERRNO(&mLibrary->mParser) == HPE_INVALID_METHOD;
    Fail(isMethod ? HttpParseError::UnknownMethod : HttpParseError::Malformed);
    return;
  }
  if (!mLibrary->mIsHeadDone || used != mHeadBytes.size()) {
    Fail(HttpParseError::Malformed);
    return;
  }
  if (const auto error = CheckHead(); error != HttpParseError::None) {
    Fail(error);
    return;
  }
  if (mKind == HttpMessageKind::Reply && mHead.mStatus < kFirstFinalStatus) {
    // An interim reply; the final one follows.
    const bool isReplyToHead = mIsReplyToHead;
    Restart(isReplyToHead);
    return;
  }
  if (mKind == HttpMessageKind::Request) {
    const auto name =
      http_method_str(static_cast<http_method>(mLibrary->mParser.method));
    mHead.mMethod = *ParseHttpMethod(name);
  }
  mHeadBytes.clear();
  mState = State::Body;
  if (mHooks.mOnHead) {
    mHooks.mOnHead();
  }
  if (mState == State::Body && mLibrary->mIsComplete) {
    mState = State::Complete;
  }
}

HttpParseError
HttpParser::CheckHead() const
{
  const auto& parser = mLibrary->mParser;
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
    // The library's count is reduced as the body arrives; none has yet.
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
  const bool isStatus = parser.status_code >= kFirstStatus &&
                        parser.status_code != kSwitchingProtocols;
  return mKind == HttpMessageKind::Reply && !isStatus
           ? HttpParseError::Malformed
           : HttpParseError::None;
}

std::size_t
HttpParser::FeedBody(std::string_view aData)
{
  const std::size_t used = mLibrary->Execute(aData);
  const bool isFramed = !mLibrary->IsChunked() || mLibrary->mFraming.End(used);
  if (mError != HttpParseError::None || mLibrary->HasFailed() || !isFramed) {
    Fail(HttpParseError::Malformed);
  } else if (mLibrary->mIsComplete) {
    mState = State::Complete;
  }
  return used;
}

void
HttpParser::FeedEnd()
{
  if (mState == State::Body && mHead.mEndsWithConnection) {
    mLibrary->Execute({});
    mState = State::Complete;
  } else if (mState != State::Complete) {
    Fail(HttpParseError::Malformed);
  }
}

} // namespace bulrushfold
