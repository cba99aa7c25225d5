#ifndef BULRUSHFOLD_BENCH_DECISIONCOST_H
#define BULRUSHFOLD_BENCH_DECISIONCOST_H

#include <cstddef>
#include <cstdint>

namespace bulrushfold {

/** Mean time in microseconds that the policy needs for a request from its
 * arrival to its two reservations, with aEndpoints endpoints. */
double DecisionMicroseconds(std::size_t aEndpoints, std::uint64_t aSeed);

} // namespace bulrushfold

#endif
