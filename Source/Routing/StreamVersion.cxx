#include "Routing/StreamVersion.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<VersionSource, 6> kSourceNames{
  { { VersionSource::NotBegun, "not_begun" },
    { VersionSource::Known, "known" },
    { VersionSource::Asked, "asked" },
    { VersionSource::Sole, "sole" },
    { VersionSource::Unasked, "unasked" },
    { VersionSource::Unknown, "unknown" } }
};
} // namespace

std::string_view
VersionSourceName(VersionSource aSource)
{
  return FindEnumName(kSourceNames, aSource);
}

VersionDecision
DecideVersion(const VersionFacts& aFacts)
{
  if (!aFacts.mHasBegun) {
    return { VersionSource::NotBegun, std::nullopt };
  }
  if (aFacts.mRecorded) {
    return { VersionSource::Known, aFacts.mRecorded };
  }
  if (aFacts.mAnswered) {
    return { VersionSource::Asked, aFacts.mAnswered };
  }
  if (aFacts.mSole) {
    return { VersionSource::Sole, aFacts.mSole };
  }
  const bool mayAsk = aFacts.mIsNamed && !aFacts.mWasAsked;
  return { mayAsk ? VersionSource::Unasked : VersionSource::Unknown,
           std::nullopt };
}

bool
MayContinueAt(const std::optional<std::string>& aBegunBy,
              const std::string& aSoftware)
{
  return !aBegunBy || *aBegunBy == aSoftware;
}

} // namespace bulrushfold
