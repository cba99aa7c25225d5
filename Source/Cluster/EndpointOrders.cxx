#include "Cluster/EndpointOrders.h"

#include <utility>

#include "Base/EnumNames.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<OrderKind, 5> kOrderKindNames{ {
  { OrderKind::Role, "role" },
  { OrderKind::LoadModel, "load_model" },
  { OrderKind::UnloadModel, "unload_model" },
  { OrderKind::Drain, "drain" },
  { OrderKind::Resume, "resume" },
} };
} // namespace

std::string_view
OrderKindName(OrderKind aKind)
{
  return FindEnumName(kOrderKindNames, aKind);
}

EndpointOrders::EndpointOrders(std::string aHolder, OrderTiming aTiming)
  : mHolder(std::move(aHolder))
  , mTiming(aTiming)
{
}

std::string
EndpointOrders::ObjectKey(const std::string& aEndpoint)
{
  return absl::StrCat("orders/", aEndpoint);
}

void
EndpointOrders::SetDesired(const std::string& aEndpoint,
                           const DesiredState& aState)
{
  const auto it =
    mOrders.insert({ aEndpoint, Orders(OrderLease(mHolder, mTiming)) }).first;
  it->second.mDesired = aState;
}

void
EndpointOrders::Forget(const std::string& aEndpoint)
{
  mOrders.erase(aEndpoint);
}

void
EndpointOrders::OnReported(const std::string& aEndpoint,
                           const ReportedState& aState)
{
  if (const auto it = mOrders.find(aEndpoint); it != mOrders.end()) {
    it->second.mReported = aState;
  }
}

void
EndpointOrders::OnRead(const std::string& aEndpoint,
                       const absl::StatusOr<StoredObject>& aObject,
                       Instant aNow)
{
  if (const auto it = mOrders.find(aEndpoint); it != mOrders.end()) {
    it->second.mLease.OnRead(aObject, aNow);
  }
}

void
EndpointOrders::OnWritten(const std::string& aEndpoint,
                          std::uint64_t aNumber,
                          const absl::StatusOr<std::uint64_t>& aVersion,
                          Instant aNow)
{
  if (const auto it = mOrders.find(aEndpoint); it != mOrders.end()) {
    it->second.mLease.OnWritten(aNumber, aVersion, aNow);
  }
}

void
EndpointOrders::OnOrderDone(const OrderAction& aOrder,
                            const absl::Status& aStatus,
                            Instant aNow)
{
  const auto it = mOrders.find(aOrder.mEndpoint);
  if (it == mOrders.end()) {
    return;
  }
  Orders& orders = it->second;
  if (absl::IsFailedPrecondition(aStatus)) {
    orders.mLease.OnStaleFencing(aNow);
    return;
  }
  const bool isDrain =
    aOrder.mKind == OrderKind::Drain || aOrder.mKind == OrderKind::Resume;
  if (aStatus.ok() && isDrain && orders.mReported) {
    orders.mDrainIncarnation = orders.mReported->mIncarnation;
    orders.mIsDraining = aOrder.mKind == OrderKind::Drain;
  }
}

void
EndpointOrders::OnClockGap(Instant aNow)
{
  for (auto& [endpoint, orders] : mOrders) {
    orders.mLease.OnClockGap(aNow);
  }
}

std::vector<OrderAction>
EndpointOrders::Difference(const std::string& aEndpoint, const Orders& aOrders)
{
  std::vector<OrderAction> difference;
  if (!aOrders.mReported) {
    return difference;
  }
  const auto add = [&](OrderKind aKind, const std::string& aModel) {
    difference.push_back({ aEndpoint,
                           aOrders.mLease.Fencing(),
                           aKind,
                           aOrders.mDesired.mRole,
                           aModel });
  };
  const ReportedState& reported = *aOrders.mReported;
  const DesiredState& desired = aOrders.mDesired;
  // A process that just started does not drain.
  const bool wasDrained =
    aOrders.mIsDraining && aOrders.mDrainIncarnation == reported.mIncarnation;
  const bool isDraining = reported.mIsDraining.value_or(wasDrained);
  if (desired.mIsDraining != isDraining) {
    add(desired.mIsDraining ? OrderKind::Drain : OrderKind::Resume, "");
  }
  if (reported.mRole != desired.mRole) {
    add(OrderKind::Role, "");
  }
  for (const auto& it : desired.mModels) {
    if (reported.mModels.count(it) == 0) {
      add(OrderKind::LoadModel, it);
    }
  }
  for (const auto& it : reported.mModels) {
    if (desired.mModels.count(it) == 0) {
      add(OrderKind::UnloadModel, it);
    }
  }
  return difference;
}

OrderResult
EndpointOrders::Tick(Instant aNow)
{
  OrderResult result;
  for (auto& [endpoint, orders] : mOrders) {
    auto difference = Difference(endpoint, orders);
    auto step = orders.mLease.Tick(
      !difference.empty(), orders.mDesired.mChecksFencing, aNow);
    if (step.mReads) {
      result.mReads.push_back(endpoint);
    }
    if (step.mWritten) {
      result.mWrites.push_back(
        { endpoint, step.mWrite, *std::move(step.mWritten), step.mExpected });
    }
    if (orders.mLease.CanOrder(aNow) && aNow >= orders.mNextSend) {
      orders.mNextSend = aNow + mTiming.mRetry;
      for (auto& it : difference) {
        result.mOrders.push_back(std::move(it));
      }
    }
  }
  return result;
}

} // namespace bulrushfold
