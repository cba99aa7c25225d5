#ifndef BULRUSHFOLD_CONTROL_CONTROLPROGRAM_H
#define BULRUSHFOLD_CONTROL_CONTROLPROGRAM_H

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Control/ExitCode.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Event loop, streams and environment variables of a bulrushfoldctl run. */
struct ControlEnvironment
{
  EventLoop& mLoop;
  const Clock& mClock;
  Random& mRandom;
  std::istream& mIn;
  std::ostream& mOut;
  std::ostream& mErrors;
  /** Value of an environment variable; empty if it is not set. */
  std::function<std::optional<std::string>(const std::string&)> mGetVariable;
};

/** Runs the command in aArguments (without the program's name). */
ExitCode RunControl(const std::vector<std::string>& aArguments,
                    const ControlEnvironment& aEnvironment);

} // namespace bulrushfold

#endif
