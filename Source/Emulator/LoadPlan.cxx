#include "Emulator/LoadPlan.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "Base/Identifiers.h"
#include "Emulator/EngineSettings.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
constexpr std::uint64_t kBytesPerToken = 4;
} // namespace

LoadPlan::LoadPlan(const LoadSettings& aSettings,
                   const Clock& aClock,
                   Random& aRandom)
  : mSettings(aSettings)
  , mClock(aClock)
  , mRandom(aRandom)
{
}

Duration
LoadPlan::NextInterval()
{
  const double mean = 1 / mSettings.mRate;
  if (mSettings.mPattern == ArrivalPattern::Poisson) {
    return FromSeconds(mRandom.Exponential(mean));
  }
  const bool startsBurst = mNextArrival++ % mSettings.mBurst == 0;
  const double burst = static_cast<double>(mSettings.mBurst);
  return startsBurst ? FromSeconds(mRandom.Exponential(mean * burst))
                     : Duration(0);
}

LoadKind
LoadPlan::PickKind()
{
  double total = 0;
  for (const auto& it : mSettings.mMix) {
    total += it.mWeight;
  }
  double point = mRandom.UniformReal() * total;
  for (const auto& it : mSettings.mMix) {
    point -= it.mWeight;
    if (point < 0) {
      return it.mKind;
    }
  }
  return mSettings.mMix.back().mKind;
}

std::uint64_t
LoadPlan::PickSize(const SizeRange& aRange)
{
  // Log-uniform, because sizes range from tens to tens of thousands of tokens.
  const double low = std::log(static_cast<double>(aRange.mMin) + 1);
  const double high = std::log(static_cast<double>(aRange.mMax) + 1);
  const double size = std::exp(low + mRandom.UniformReal() * (high - low)) - 1;
  return std::min(aRange.mMax,
                  std::max(aRange.mMin, static_cast<std::uint64_t>(size)));
}

std::string
LoadPlan::MakePrompt(std::uint64_t aNumber)
{
  std::string prompt;
  if (mSettings.mSharedPrefixes > 0) {
    prompt = absl::StrCat(
      "prefix ", mRandom.UniformBelow(mSettings.mSharedPrefixes), " ");
    prompt.resize(mSettings.mSharedPrefixTokens * kBytesPerToken, 's');
  }
  absl::StrAppend(&prompt, "request ", aNumber, " ", mRandom.Bits(), " ");
  if (mRandom.Bernoulli(mSettings.mCrashProbability)) {
    absl::StrAppend(&prompt, kCrashMarker, " ");
  }
  const std::size_t bytes = PickSize(mSettings.mPromptTokens) * kBytesPerToken;
  prompt.resize(std::max(prompt.size(), bytes), 'p');
  return prompt;
}

void
LoadPlan::FillModelCall(LoadCall& aCall)
{
  aCall.mModel =
    mSettings.mModels[mRandom.UniformBelow(mSettings.mModels.size())];
  aCall.mMaxTokens = std::max<std::uint64_t>(1, PickSize(mSettings.mMaxTokens));
  const std::string text = MakePrompt(aCall.mNumber);
  Json body = { { "model", aCall.mModel },
                { "max_tokens", aCall.mMaxTokens },
                { "stream", aCall.IsStreamed() } };
  if (aCall.IsChat()) {
    aCall.mTarget = "/v1/chat/completions";
    body["messages"] = { { { "role", "system" },
                           { "content", "Answer briefly." } },
                         { { "role", "user" }, { "content", text } } };
    aCall.mPrompt = absl::StrCat("system: Answer briefly.\nuser: ", text, "\n");
  } else {
    aCall.mTarget = "/v1/completions";
    body["prompt"] = text;
    aCall.mPrompt = text;
  }
  aCall.mBody = body.dump();
}

void
LoadPlan::FillServiceCall(LoadCall& aCall)
{
  const bool isBooking = aCall.mKind == LoadKind::Booking;
  aCall.mTarget = absl::StrCat(
    "/services/", isBooking ? mSettings.mBookingPath : mSettings.mLookupPath);
  aCall.mBody = absl::StrCat(
    R"({"number":)", aCall.mNumber, R"(,"text":")", mRandom.Bits(), "\"}");
  if (isBooking) {
    aCall.mKey = MakeUuidV7(mClock.Wall(), mRandom);
  }
}

LoadCall
LoadPlan::NextCall()
{
  LoadCall call;
  call.mNumber = mNextNumber++;
  call.mKind = PickKind();
  if (call.IsModelCall()) {
    FillModelCall(call);
  } else {
    FillServiceCall(call);
  }
  call.mIsSlow =
    call.IsStreamed() && mRandom.Bernoulli(mSettings.mSlowProbability);
  if (mRandom.Bernoulli(mSettings.mCancelProbability)) {
    call.mCancelAfter =
      FromSeconds(mRandom.Exponential(ToSeconds(mSettings.mCancelAfter)));
  }
  return call;
}

} // namespace bulrushfold
