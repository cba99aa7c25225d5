#include "Net/HttpServerConnection.h"

#include <string>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;
} // namespace

void
HttpServerConnection::RefuseForParseError(HttpParseError aError)
{
  switch (aError) {
    case HttpParseError::HeaderTooLarge:
      Refuse(kHeaderTooLarge, HttpParseErrorName(aError));
      return;
    case HttpParseError::BodyTooLarge:
      Refuse(kContentTooLarge, HttpParseErrorName(aError));
      return;
    case HttpParseError::UnknownMethod:
      Refuse(kNotImplemented, HttpParseErrorName(aError));
      return;
    case HttpParseError::Malformed:
    case HttpParseError::None:
      Refuse(kBadRequest, HttpParseErrorName(aError));
      return;
  }
}

void
HttpServerConnection::Refuse(int aStatus, std::string_view aReason)
{
  mServer.ReportRefusal({ aStatus, aReason, mParser.Head() });
  mClosesAfterReply = true;
  const std::string status = std::to_string(aStatus);
  const std::string retryAfter =
    aStatus == kHttpUnavailable ? "Retry-After: 1\r\n" : "";
  Write("HTTP/1.1 " + status + " " + std::string(HttpReasonPhrase(aStatus)) +
        "\r\n" + retryAfter + "Content-Length: 0\r\nConnection: close\r\n\r\n");
  BeginLingeringClose();
}

} // namespace bulrushfold
