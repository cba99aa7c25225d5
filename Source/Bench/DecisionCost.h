#ifndef BULRUSHFOLD_BENCH_DECISIONCOST_H
#define BULRUSHFOLD_BENCH_DECISIONCOST_H

#include <cstddef>
#include <cstdint>

namespace bulrushfold {

/** Mean processor time, in microseconds, from a request's arrival to its two
 * reservations with aEndpoints endpoints in view. */
double DecisionMicroseconds(std::size_t aEndpoints, std::uint64_t aSeed);

} // namespace bulrushfold

#endif
