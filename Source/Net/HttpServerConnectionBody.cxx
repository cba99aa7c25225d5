#include "Net/HttpServerConnection.h"

#include <algorithm>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "Net/HttpStatus.h"
#include "absl/strings/numbers.h"

namespace bulrushfold {

namespace {
/** Reason of a refusal for lack of memory in logs. */
constexpr std::string_view kNoBodyMemory = "no_body_memory";
/** Received part of a body from which on all its memory is reserved. */
constexpr std::size_t kReserveBytes = 64 * 1024;
} // namespace

void
HttpServerConnection::HandleHead()
{
  const HttpHead& head = mParser.Head();
  if (const auto expect = head.mHeaders.Find("Expect");
      expect && IsSameHeaderName(*expect, "100-continue") &&
      head.mIsVersion11) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  // The parser has checked that the length is a number within the limit.
  const auto length = head.mHeaders.Find("Content-Length");
  if (!length || !absl::SimpleAtoi(*length, &mAnnouncedBytes)) {
    mAnnouncedBytes = 0;
  }
}

void
HttpServerConnection::HandleBody(std::string_view aData)
{
  if (mBody.size() >= kReserveBytes && mBody.capacity() < mAnnouncedBytes) {
    mBody.reserve(mAnnouncedBytes);
  }
  mBody.append(aData);
}

bool
HttpServerConnection::ReserveBody()
{
  const std::size_t bytes = std::max(mAnnouncedBytes, mBody.capacity());
  if (mBody.empty() && mAnnouncedBytes == 0) {
    return true;
  }
  if (!mBodyTicket) {
    mBodyTicket = mServer.AddBody(
      [this](BodyVerdict aVerdict) { HandleBodyDecision(aVerdict); });
  }
  const Instant now = mClock.Now();
  mBodyTicket->OnReceived(mBodyTicket.Body(), mBody.size(), now);
  switch (mBodyTicket->Request(mBodyTicket.Body(), bytes, now)) {
    case BodyVerdict::Granted:
      return true;
    case BodyVerdict::Waits:
      PauseReading();
      return false;
    case BodyVerdict::Refused:
      Refuse(kHttpUnavailable, kNoBodyMemory);
      return false;
  }
  return false;
}

void
HttpServerConnection::HandleBodyDecision(BodyVerdict aVerdict)
{
  if (aVerdict == BodyVerdict::Granted) {
    ResumeReading();
  } else {
    Refuse(kHttpUnavailable, kNoBodyMemory);
  }
}

void
HttpServerConnection::PauseReading()
{
  mIsPaused = true;
  bufferevent_disable(mBufferevent, EV_READ);
}

void
HttpServerConnection::ResumeReading()
{
  mIsPaused = false;
  SetDeadline(mClock.Now() + mServer.Limits().mReadTimeout);
  bufferevent_enable(mBufferevent, EV_READ);
  DeferRead();
}

void
HttpServerConnection::DiscardBody()
{
  mBodyTicket.Reset();
  mBody = std::string();
  mAnnouncedBytes = 0;
}

} // namespace bulrushfold
