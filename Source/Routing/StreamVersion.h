#ifndef BULRUSHFOLD_ROUTING_STREAMVERSION_H
#define BULRUSHFOLD_ROUTING_STREAMVERSION_H

#include <optional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** How a daemon knows the version at which a stream may go on. */
enum class VersionSource
{
  /** The stream has not begun; every version may begin it. */
  NotBegun,
  /** This daemon began the stream, or was told who did. */
  Known,
  /** Another daemon answered the question. */
  Asked,
  /** All engines that may have begun the stream have one version. */
  Sole,
  /** Nobody knows; other daemons are still to be asked. */
  Unasked,
  /** Nobody knows, so that the stream must not go on. */
  Unknown,
};

std::string_view VersionSourceName(VersionSource aSource);

/** What a daemon knows of a stream that a caller begins or resumes. */
struct VersionFacts
{
  /** The caller has received events. */
  bool mHasBegun = false;
  /** The caller names the attempt that brought the first event. */
  bool mIsNamed = false;
  /** Version of the record of this daemon, if it has one. */
  std::optional<std::string> mRecorded;
  /** Version of the record of another daemon, if one has answered with it. */
  std::optional<std::string> mAnswered;
  /** The only version that may have begun the stream, if it is known. */
  std::optional<std::string> mSole;
  /** The other daemons were asked. */
  bool mWasAsked = false;
};

/** At which version a stream may go on. */
struct VersionDecision
{
  VersionSource mSource = VersionSource::Unknown;
  /** The version; empty when the stream is not bound to one, or it is unknown.
   */
  std::optional<std::string> mSoftware;
};

/** Decides at which version the stream of aFacts may go on. A stream whose
 * version is unknown goes on nowhere, because events of two versions do not fit
 * together. */
VersionDecision DecideVersion(const VersionFacts& aFacts);

/** True if an engine with the software version aSoftware may go on with an
 * answer that the version aBegunBy began; empty: the answer has not begun. */
bool MayContinueAt(const std::optional<std::string>& aBegunBy,
                   const std::string& aSoftware);

} // namespace bulrushfold

#endif
