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

TEST_CASE("Requests that cannot meet their targets are rejected early")
{
  Admission admission;
  admission.SetPreset(Preset());
  const auto interactive = MakeRequest(RequestClass::Interactive);
  const auto patient = MakeRequest(RequestClass::Patient);

  // Guards against work for a caller that no longer waits for the answer.
  SUBCASE("a request after its deadline is rejected at any load")
  {
    auto late = interactive;
    late.mDeadline = kNow;
    const auto decision = admission.Decide(late, Duration(1), kNow);
    CHECK(decision.mVerdict == AdmissionVerdict::Reject);
    CHECK(decision.mReason == RejectReason::DeadlinePassed);
  }

  SUBCASE("an interactive request that would be late is rejected with a time "
          "to retry")
  {
    const auto decision =
      admission.Decide(interactive, std::chrono::seconds(10), kNow);
    CHECK(decision.mVerdict == AdmissionVerdict::Reject);
    CHECK(decision.mRetryAfter > Duration::zero());
  }

  SUBCASE("a patient request waits where an interactive one is rejected")
  {
    const auto wait = Preset().mMaxPatientWait;
    CHECK(admission.Decide(patient, std::chrono::seconds(10), kNow).mVerdict ==
          AdmissionVerdict::Dispatch);
    CHECK(admission.Decide(patient, 10 * wait, kNow).mVerdict ==
          AdmissionVerdict::Wait);
  }
}

// Guards against one workspace using up the capacity of the others.
TEST_CASE("A workspace above its fair share is limited")
{
  Admission admission;
  const auto noisy = MakeRequest(RequestClass::Interactive, "noisy");
  const auto quiet = MakeRequest(RequestClass::Interactive, "quiet");

  SUBCASE("the only active workspace is not limited")
  {
    for (int n = 0; n < 100; ++n) {
      admission.OnDispatched(noisy, 1, kNow);
    }
    CHECK(admission.WaitShare(noisy, kNow) == doctest::Approx(1));
    CHECK(admission.MinFreeSlots(noisy, 20, kNow) == 0);
  }

  SUBCASE("a workspace above its share waits less and leaves slots free")
  {
    admission.OnDispatched(quiet, 1, kNow);
    for (int n = 0; n < 10; ++n) {
      admission.OnDispatched(noisy, 1, kNow);
    }
    CHECK(admission.WaitShare(noisy, kNow) < 1);
    CHECK(admission.MinFreeSlots(noisy, 20, kNow) > 0);
    CHECK(admission.WaitShare(quiet, kNow) == doctest::Approx(1));
    CHECK(admission.MinFreeSlots(quiet, 20, kNow) == 0);
  }
}

} // namespace bulrushfold
