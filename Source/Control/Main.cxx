#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "Control/ControlProgram.h"

int
main(int aCount, char** aArguments)
{
  using namespace bulrushfold;
  // A daemon that closes its connection must not terminate this program.
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SystemClock clock;
  Random random(SystemSeed());
  const auto environment = [](const std::string& aName) {
    const char* value = std::getenv(aName.c_str());
    return value != nullptr ? std::make_optional<std::string>(value)
                            : std::nullopt;
  };
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const ExitCode code = RunControl(
    arguments,
    { loop, clock, random, std::cin, std::cout, std::cerr, environment });
  return static_cast<int>(code);
}
