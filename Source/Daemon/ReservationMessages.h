#ifndef BULRUSHFOLD_DAEMON_RESERVATIONMESSAGES_H
#define BULRUSHFOLD_DAEMON_RESERVATIONMESSAGES_H

#include <variant>

#include "Policy/PolicyTypes.h"
#include "Reservation_types.h"

namespace bulrushfold {

/** Conversions between reservation messages and their Thrift types. */
wire::Reserve ToWire(const ReserveRequest& aRequest);
wire::ReserveReply ToWire(const std::variant<Grant, Refusal>& aReply);
wire::Release ToWire(const ReleaseAction& aRelease);
wire::Claim ToWire(const Claim& aClaim);

ReserveRequest FromWire(const wire::Reserve& aMessage);
ReleaseAction FromWire(const wire::Release& aMessage);
Claim FromWire(const wire::Claim& aMessage);
/** The reply to aRequest. */
std::variant<Grant, Refusal> FromWire(const wire::ReserveReply& aMessage,
                                      const ReserveRequest& aRequest);

/** A refusal of aRequest that the entry daemon creates itself. */
Refusal MakeRefusal(const ReserveRequest& aRequest, RefuseReason aReason);

} // namespace bulrushfold

#endif
