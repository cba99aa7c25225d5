#ifndef BULRUSHFOLD_BASE_IDENTIFIERS_H
#define BULRUSHFOLD_BASE_IDENTIFIERS_H

#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** Makes a UUID of version 7 (RFC 9562); its first 48 bits are aTime. */
std::string MakeUuidV7(WallTime aTime, Random& aRandom);

/** Time of a UUID of version 7; empty when aText is not such a UUID. */
std::optional<WallTime> UuidV7Time(std::string_view aText);

/** Sixteen hexadecimal digits, not all zero: a span id of W3C trace context. */
std::string MakeSpanId(Random& aRandom);

/** 32 hexadecimal digits, not all zero: a trace id of W3C trace context. */
std::string MakeTraceId(Random& aRandom);

} // namespace bulrushfold

#endif
