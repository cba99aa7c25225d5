#include "Emulator/EmulatorCall.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

void
ConnectionGroup::KeepOpen(std::shared_ptr<HttpExchange> aExchange)
{
  mOpenExchanges.erase(
    std::remove_if(mOpenExchanges.begin(),
                   mOpenExchanges.end(),
                   [](const auto& aIt) { return aIt->IsFinished(); }),
    mOpenExchanges.end());
  mOpenExchanges.push_back(std::move(aExchange));
}

EmulatorCall::EmulatorCall(std::shared_ptr<HttpExchange> aExchange,
                           std::shared_ptr<ConnectionGroup> aGroup)
  : mExchange(std::move(aExchange))
  , mGroup(std::move(aGroup))
{
}

EmulatorCall::~EmulatorCall()
{
  // Destroying the exchange would close the connection, but a silent connection
  // must stay open.
  mExchange->OnClosed(nullptr);
  if (IsSilent() && !IsFinished()) {
    mGroup->KeepOpen(std::move(mExchange));
  }
}

nlohmann::json
EmulatorCall::Body() const
{
  nlohmann::json body = nlohmann::json::parse(Request().mBody);
  // Throws for a body that is not an object.
  body.get_ref<const nlohmann::json::object_t&>();
  return body;
}

HttpHeaders
EmulatorCall::WithIncarnation(HttpHeaders aHeaders) const
{
  if (!mGroup->mIncarnation.empty()) {
    aHeaders.Add("Incarnation", mGroup->mIncarnation);
  }
  return aHeaders;
}

void
EmulatorCall::Reply(HttpStatus aStatus,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody)
{
  if (!IsSilent()) {
    mExchange->Reply(
      static_cast<int>(aStatus), WithIncarnation(aHeaders), aBody);
  }
}

void
EmulatorCall::ReplyJson(HttpStatus aStatus, const nlohmann::json& aBody)
{
  nlohmann::json body = aBody;
  if (!mGroup->mIncarnation.empty()) {
    body["incarnation"] = mGroup->mIncarnation;
  }
  Reply(aStatus, { { "Content-Type", "application/json" } }, body.dump());
}

void
EmulatorCall::ReplyProblem(HttpStatus aStatus,
                           std::string_view aCode,
                           std::string_view aDetail,
                           const nlohmann::json& aExtra)
{
  nlohmann::json body = aExtra;
  body["code"] = aCode;
  body["detail"] = aDetail;
  if (!mGroup->mIncarnation.empty()) {
    body["incarnation"] = mGroup->mIncarnation;
  }
  Reply(
    aStatus, { { "Content-Type", "application/problem+json" } }, body.dump());
}

void
EmulatorCall::StartStream(HttpStatus aStatus, const HttpHeaders& aHeaders)
{
  if (!IsSilent()) {
    mExchange->StartStream(static_cast<int>(aStatus),
                           WithIncarnation(aHeaders));
  }
}

void
EmulatorCall::SendChunk(std::string_view aData)
{
  if (!IsSilent()) {
    mExchange->SendChunk(aData);
  }
}

void
EmulatorCall::EndStream()
{
  if (!IsSilent()) {
    mExchange->EndStream();
  }
}

void
EmulatorCall::Abort()
{
  if (!IsSilent()) {
    mExchange->Abort();
  }
}

} // namespace bulrushfold
