#include "Daemon/RequestContext.h"

#include <utility>

#include "Net/SseReader.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kStatusUnauthorized = 401;

HttpHeaders
ProblemHeaders(const Problem& aProblem, const std::string& aRequestId)
{
  HttpHeaders headers{ { "Content-Type", "application/problem+json" },
                       { "Request-Id", aRequestId } };
  if (aProblem.mRetryAfter) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aProblem.mRetryAfter);
    headers.Add("Retry-After", absl::StrCat(seconds.count()));
  }
  if (ProblemStatus(aProblem.mCode) == kStatusUnauthorized) {
    headers.Add("WWW-Authenticate", "Bearer");
  }
  return headers;
}
} // namespace

RequestContext::RequestContext(std::shared_ptr<HttpExchange> aExchange,
                               std::string aRequestId,
                               Instant aStart)
  : mExchange(std::move(aExchange))
  , mRequestId(std::move(aRequestId))
  , mStart(aStart)
{
}

void
RequestContext::Refuse(const Problem& aProblem)
{
  if (mExchange->HasStarted()) {
    BreakStream(aProblem);
    return;
  }
  const int status = ProblemStatus(aProblem.mCode);
  mExchange->Reply(status,
                   ProblemHeaders(aProblem, mRequestId),
                   FormatProblem(aProblem, mRequestId));
  Finish({ status, aProblem, false, 0 });
}

void
RequestContext::BreakStream(const Problem& aProblem)
{
  mExchange->SendChunk(FormatSseEvent(
    "", absl::StrCat("{\"error\":", FormatProblem(aProblem, mRequestId), "}")));
  mExchange->EndStream();
  Finish({ ProblemStatus(aProblem.mCode), aProblem, false, 0 });
}

void
RequestContext::Answer(int aStatus,
                       const std::string& aContentType,
                       const std::string& aBody)
{
  mExchange->Reply(
    aStatus,
    { { "Content-Type", aContentType }, { "Request-Id", mRequestId } },
    aBody);
}

void
RequestContext::Finish(const RequestResult& aResult)
{
  if (!std::exchange(mIsFinished, true)) {
    mOver.emit(*this, aResult);
  }
}

} // namespace bulrushfold
