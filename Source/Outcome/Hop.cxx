#include "Outcome/Hop.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<Hop, kHopCount> kHopNames{ {
  { Hop::Caller, "caller" },
  { Hop::Admission, "admission" },
  { Hop::Queue, "queue" },
  { Hop::Reservation, "reservation" },
  { Hop::Prefill, "prefill" },
  { Hop::Transfer, "transfer" },
  { Hop::Decode, "decode" },
  { Hop::Service, "service" },
  { Hop::Store, "store" },
  { Hop::Peer, "peer" },
  { Hop::Delivery, "delivery" },
} };
} // namespace

std::string_view
HopName(Hop aHop)
{
  return FindEnumName(kHopNames, aHop);
}

std::optional<Hop>
FindHop(std::string_view aName)
{
  return FindEnumValue(kHopNames, aName);
}

std::optional<Hop>
HopOfNumber(int aNumber)
{
  if (aNumber < 0 || aNumber >= static_cast<int>(kHopCount)) {
    return std::nullopt;
  }
  return static_cast<Hop>(aNumber);
}

} // namespace bulrushfold
