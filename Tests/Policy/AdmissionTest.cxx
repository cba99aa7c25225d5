#include "Policy/Admission.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
const Instant kNow{ std::chrono::hours(1) };

ModelRequest
MakeRequest(RequestClass aClass, const std::string& aWorkspace = "w")
{
  ModelRequest request;
  request.mId = "r";
  request.mWorkspace = aWorkspace;
  request.mClass = aClass;
  request.mArrival = kNow;
  request.mDeadline = kNow + std::chrono::seconds(60);
  return request;
}
} // namespace

TEST_CASE("Admission refuses early what cannot meet its targets")
{
  Admission admission;
  admission.SetPreset(Preset());
  const auto interactive = MakeRequest(RequestClass::Interactive);
  const auto patient = MakeRequest(RequestClass::Patient);

  // Guards against work for callers that have already given up.
  SUBCASE("a passed deadline is refused whatever the load")
  {
    auto late = interactive;
    late.mDeadline = kNow;
    const auto decision = admission.Decide(late, Duration(1), kNow);
    CHECK(decision.mVerdict == AdmissionVerdict::Reject);
    CHECK(decision.mReason == RejectReason::DeadlinePassed);
  }

  SUBCASE("a hopeless interactive request is refused with a time to retry")
  {
    const auto decision =
      admission.Decide(interactive, std::chrono::seconds(10), kNow);
    CHECK(decision.mVerdict == AdmissionVerdict::Reject);
    CHECK(decision.mRetryAfter > Duration::zero());
  }

  SUBCASE("a patient request waits where an interactive one is refused")
  {
    const auto wait = Preset().mMaxPatientWait;
    CHECK(admission.Decide(patient, std::chrono::seconds(10), kNow).mVerdict ==
          AdmissionVerdict::Dispatch);
    CHECK(admission.Decide(patient, 10 * wait, kNow).mVerdict ==
          AdmissionVerdict::Wait);
  }
}

// Guards against one workspace taking the capacity of the others.
TEST_CASE("Admission holds back a workspace above its fair share")
{
  Admission admission;
  const auto noisy = MakeRequest(RequestClass::Interactive, "noisy");
  const auto quiet = MakeRequest(RequestClass::Interactive, "quiet");

  SUBCASE("a workspace that is alone is not held back")
  {
    for (int n = 0; n < 100; ++n) {
      admission.OnDispatched(noisy, 1, kNow);
    }
    CHECK(admission.WaitShare(noisy, kNow) == doctest::Approx(1));
    CHECK(admission.SpareSlots(noisy, 20, kNow) == 0);
  }

  SUBCASE("next to another one it waits less and leaves slots free")
  {
    admission.OnDispatched(quiet, 1, kNow);
    for (int n = 0; n < 10; ++n) {
      admission.OnDispatched(noisy, 1, kNow);
    }
    CHECK(admission.WaitShare(noisy, kNow) < 1);
    CHECK(admission.SpareSlots(noisy, 20, kNow) > 0);
    CHECK(admission.WaitShare(quiet, kNow) == doctest::Approx(1));
    CHECK(admission.SpareSlots(quiet, 20, kNow) == 0);
  }
}

} // namespace bulrushfold
