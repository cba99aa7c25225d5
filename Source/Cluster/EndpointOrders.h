#ifndef BULRUSHFOLD_CLUSTER_ENDPOINTORDERS_H
#define BULRUSHFOLD_CLUSTER_ENDPOINTORDERS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Routing/OrderLease.h"

namespace bulrushfold {

/** Kinds of orders of POST /engine/order. */
enum class OrderKind
{
  Role,
  LoadModel,
  UnloadModel,
  Drain,
  Resume,
};

/** Name of aKind in the body of an order. */
std::string_view OrderKindName(OrderKind aKind);

/** An order to send now, with timeout OrderTiming::mOrderTimeout. */
struct OrderAction
{
  std::string mEndpoint;
  std::uint64_t mFencing = 0;
  OrderKind mKind = OrderKind::Role;
  EngineRole mRole = EngineRole::Both;
  std::string mModel;
};

/** State that an endpoint should have. */
struct DesiredState
{
  EngineRole mRole = EngineRole::Both;
  std::set<std::string> mModels;
  bool mIsDraining = false;
  /** True when the endpoint refuses old fencing numbers. */
  bool mChecksFencing = false;
};

/** State that an endpoint reported: GET /engine/load. */
struct ReportedState
{
  std::string mIncarnation;
  EngineRole mRole = EngineRole::Both;
  std::set<std::string> mModels;
  /** From the load report if it says so; true after a refusal with 409
   * "draining" since the last report. */
  std::optional<bool> mIsDraining;
};

/** What an event decided. */
struct OrderResult
{
  std::vector<OrderAction> mOrders;
  /** Endpoints whose object "orders/ENDPOINT" must be read. */
  std::vector<std::string> mReads;
  /** Objects to write; the answer goes to OnWritten. */
  struct Write
  {
    std::string mEndpoint;
    /** Number of the write, for OnWritten. */
    std::uint64_t mNumber = 0;
    std::string mBody;
    std::optional<std::uint64_t> mExpected;
  };
  std::vector<Write> mWrites;
};

/**
 * Orders of this daemon to the endpoints that it owns by rendezvous hashing.
 * An order is the difference between the desired and the reported state and is
 * sent again while they differ. Orders need the lease of the endpoint
 * (OrderLease), which is only taken while there is an order to send; 10,000
 * leases that are always held would need 1,000 store writes a second.
 *
 * Events to deliver: SetDesired for each endpoint that this daemon owns, when
 * the configuration or the ownership changes; Forget when it no longer owns an
 * endpoint; OnReported with each load report; OnRead and OnWritten with the
 * store's answers; OnOrderDone with each answer of an endpoint; OnClockGap when
 * MembershipResult::mHasClockGap is set, before any other event; Tick every
 * 100 ms. Orders must be sent in the same turn of the loop in which they are
 * returned.
 */
class EndpointOrders
{
public:
  /** aHolder: "DAEMON/INCARNATION". */
  EndpointOrders(std::string aHolder, OrderTiming aTiming);

  void SetDesired(const std::string& aEndpoint, const DesiredState& aState);
  void Forget(const std::string& aEndpoint);
  void OnReported(const std::string& aEndpoint, const ReportedState& aState);
  void OnRead(const std::string& aEndpoint,
              const absl::StatusOr<StoredObject>& aObject,
              Instant aNow);
  void OnWritten(const std::string& aEndpoint,
                 std::uint64_t aNumber,
                 const absl::StatusOr<std::uint64_t>& aVersion,
                 Instant aNow);
  /** aStatus: OK; FailedPrecondition for stale_fencing; others are repeated. */
  void OnOrderDone(const OrderAction& aOrder,
                   const absl::Status& aStatus,
                   Instant aNow);
  void OnClockGap(Instant aNow);
  OrderResult Tick(Instant aNow);

  /** Key of the store object that names the order holder of an endpoint. */
  static std::string ObjectKey(const std::string& aEndpoint);

private:
  struct Orders
  {
    explicit Orders(OrderLease aLease)
      : mLease(std::move(aLease))
    {
    }
    OrderLease mLease;
    DesiredState mDesired;
    std::optional<ReportedState> mReported;
    /** Process of the endpoint that confirmed mIsDraining; empty: none. */
    std::string mDrainIncarnation;
    bool mIsDraining = false;
    Instant mNextSend;
  };

  static std::vector<OrderAction> Difference(const std::string& aEndpoint,
                                             const Orders& aOrders);

  std::string mHolder;
  OrderTiming mTiming;
  std::map<std::string, Orders> mOrders;
};

} // namespace bulrushfold

#endif
