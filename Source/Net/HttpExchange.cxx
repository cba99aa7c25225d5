#include "Net/HttpExchange.h"

#include <utility>

#include "Net/HttpServerConnection.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
} // namespace

HttpExchange::HttpExchange(HttpServerConnection& aConnection,
                           std::string aCallerAddress,
                           HttpRequest aRequest,
                           BodyTicket aBody,
                           Instant aArrival,
                           bool aIsVersion11)
  : mConnection(&aConnection)
  , mCallerAddress(std::move(aCallerAddress))
  , mRequest(std::move(aRequest))
  , mBody(std::move(aBody))
  , mArrival(aArrival)
  , mIsVersion11(aIsVersion11)
{
}

HttpExchange::~HttpExchange()
{
  // If a handler drops the exchange without a reply, the connection closes, so
  // that the caller does not wait forever.
  Abort();
}

bool
HttpExchange::MayHaveBody(int aStatus) const
{
  return mRequest.mMethod != HttpMethod::Head && aStatus != kNoContent &&
         aStatus != kNotModified;
}

void
HttpExchange::WriteHead(int aStatus,
                        const HttpHeaders& aHeaders,
                        std::string_view aFramingField)
{
  mHasStarted = true;
  std::string head = absl::StrCat(
    "HTTP/1.1 ", aStatus, " ", std::string(HttpReasonPhrase(aStatus)), "\r\n");
  for (const auto& [name, value] : aHeaders.Fields()) {
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&head, std::string(aFramingField));
  if (mConnection->ShouldCloseAfterReply()) {
    head += "Connection: close\r\n";
  } else if (!mIsVersion11) {
    head += "Connection: keep-alive\r\n";
  }
  head += "\r\n";
  mConnection->Write(head);
}

void
HttpExchange::Reply(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody)
{
  if (IsFinished()) {
    return;
  }
  const bool isEmpty = aStatus == kNoContent || aStatus == kNotModified;
  WriteHead(aStatus,
            aHeaders,
            isEmpty ? std::string()
                    : absl::StrCat("Content-Length: ", aBody.size(), "\r\n"));
  if (MayHaveBody(aStatus)) {
    mConnection->Write(aBody);
  }
  Finish();
}

void
HttpExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (IsFinished()) {
    return;
  }
  mIsBodyAllowed = MayHaveBody(aStatus);
  mIsChunked = mIsVersion11;
  if (!mIsChunked) {
    mConnection->CloseAfterReply();
  }
  WriteHead(
    aStatus, aHeaders, mIsChunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void
HttpExchange::SendChunk(std::string_view aData)
{
  if (IsFinished() || aData.empty() || !mIsBodyAllowed) {
    return;
  }
  if (!mIsChunked) {
    mConnection->Write(aData);
    return;
  }
  mConnection->Write(absl::StrCat(absl::Hex(aData.size()), "\r\n"));
  mConnection->Write(aData);
  mConnection->Write("\r\n");
}

void
HttpExchange::EndStream()
{
  if (IsFinished()) {
    return;
  }
  if (mIsChunked && mIsBodyAllowed) {
    mConnection->Write("0\r\n\r\n");
  }
  Finish();
}

void
HttpExchange::Finish()
{
  mClosedHook = nullptr;
  std::exchange(mConnection, nullptr)->FinishExchange();
}

void
HttpExchange::Abort()
{
  if (!IsFinished()) {
    mClosedHook = nullptr;
    HttpServerConnection* connection = std::exchange(mConnection, nullptr);
    if (mHasStarted && !mIsChunked) {
      connection->Reset();
    } else {
      connection->AbortReply();
    }
  }
}

std::size_t
HttpExchange::PendingBytes() const
{
  return IsFinished() ? 0 : mConnection->PendingBytes();
}

void
HttpExchange::HandleWritten()
{
  // The hook may replace itself.
  if (const auto hook = mWrittenHook; hook) {
    hook();
  }
}

void
HttpExchange::HandleClosed()
{
  mConnection = nullptr;
  if (const auto hook = std::exchange(mClosedHook, nullptr); hook) {
    hook();
  }
}

} // namespace bulrushfold
