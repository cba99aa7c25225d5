#ifndef BULRUSHFOLD_OUTCOME_OUTCOMECODEC_H
#define BULRUSHFOLD_OUTCOME_OUTCOMECODEC_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Outcome/OutcomeRecord.h"
#include "Outcome_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Table of the names in one message. */
class NameTable
{
public:
  explicit NameTable(std::vector<std::string>& aNames)
    : mNames(aNames)
  {
  }
  std::int32_t IndexOf(const std::string& aName);

private:
  std::vector<std::string>& mNames;
  std::map<std::string, std::int32_t> mIndices;
};

/** Decoded records of one daemon's incarnation. */
struct OutcomeRecords
{
  std::string mDaemon;
  std::string mIncarnation;
  std::vector<BeginRecord> mBegins;
  std::vector<OutcomeRecord> mEnds;
};

/**
 * Size in the compact protocol, names included, in batches of 100 records as
 * OutcomeCodecTest prints it: served 44 bytes, late with one retry 94, refused
 * 41, begin 23.
 *
 * Times are rounded to 100 microseconds. Served requests lose their times by
 * hop. Records whose request id is no UUID are left out.
 */
wire::OutcomeBatch EncodeOutcomes(const OutcomeRecords& aRecords);

/**
 * One record in the same form, without its daemon; empty when the request id
 * is no UUID. A store keeps records in this form: 94,000 of them, an hour at 26
 * a second, took 109 MB as OutcomeRecord and 35 MB packed, counts included.
 */
std::string PackOutcome(const OutcomeRecord& aRecord);

/** Inverse of PackOutcome; empty when aPacked holds no record. */
std::optional<OutcomeRecord> UnpackOutcome(const std::string& aPacked,
                                           const std::string& aDaemon);

/** InvalidArgument: an index, number or id in aBatch is not valid. */
absl::StatusOr<OutcomeRecords> DecodeOutcomes(const wire::OutcomeBatch& aBatch);

} // namespace bulrushfold

#endif
