#include "Control/ControlProgram.h"

#include <ostream>
#include <utility>

#include "Control/AdminClient.h"
#include "Control/CommandLine.h"
#include "Control/LocalCommands.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace bulrushfold {

namespace {

absl::Status
FindDaemons(const ControlArguments& aParsed,
            const ControlEnvironment& aEnvironment,
            AdminClientOptions& aOptions)
{
  std::vector<std::string> texts = aParsed.mDaemons;
  if (texts.empty()) {
    texts = absl::StrSplit(
      aEnvironment.mGetVariable("BULRUSHFOLD_DAEMONS").value_or(""),
      absl::ByAnyChar(", "),
      absl::SkipEmpty());
  }
  if (texts.empty()) {
    return absl::InvalidArgumentError(
      "no daemon given; use --daemon or BULRUSHFOLD_DAEMONS");
  }
  for (const auto& it : texts) {
    SocketAddress address;
    if (!ParseAddress(it, address)) {
      return absl::InvalidArgumentError(
        absl::StrCat("daemon: expected IP:PORT, found \"", it, "\""));
    }
    aOptions.mDaemons.push_back(address);
  }
  return absl::OkStatus();
}

absl::Status
FindToken(const ControlArguments& aParsed,
          const ControlEnvironment& aEnvironment,
          AdminClientOptions& aOptions)
{
  const auto& getVariable = aEnvironment.mGetVariable;
  std::string file = aParsed.mTokenFile;
  if (file.empty()) {
    file = getVariable("BULRUSHFOLD_TOKEN_FILE").value_or("");
  }
  if (file.empty()) {
    aOptions.mToken = getVariable("BULRUSHFOLD_TOKEN").value_or("");
    return aOptions.mToken.empty()
             ? absl::InvalidArgumentError("no token given; use --token-file, "
                                          "BULRUSHFOLD_TOKEN_FILE or "
                                          "BULRUSHFOLD_TOKEN")
             : absl::OkStatus();
  }
  auto token = ReadTokenFile(file);
  if (!token.ok()) {
    return token.status();
  }
  aOptions.mToken = *std::move(token);
  return absl::OkStatus();
}

ExitCode
RunRemote(const ControlArguments& aParsed,
          const ControlEnvironment& aEnvironment)
{
  AdminClientOptions options;
  options.mChangeTimeout = FromSeconds(aParsed.mWaitSeconds);
  options.mCallTimeout = FromSeconds(aParsed.mTimeoutSeconds);
  auto status = FindDaemons(aParsed, aEnvironment, options);
  if (status.ok()) {
    status = FindToken(aParsed, aEnvironment, options);
  }
  if (!status.ok()) {
    ReportError(aEnvironment.mErrors, status);
    return ExitCode::Usage;
  }
  AdminClient admin(aEnvironment.mLoop,
                    aEnvironment.mClock,
                    aEnvironment.mRandom,
                    std::move(options));
  CommandContext context{
    admin, aEnvironment.mOut, aEnvironment.mErrors, aParsed.mFormat
  };
  return aParsed.mRemote(context);
}

} // namespace

ExitCode
RunControl(const std::vector<std::string>& aArguments,
           const ControlEnvironment& aEnvironment)
{
  ControlArguments parsed;
  CommandLine line(parsed, aEnvironment);
  if (const auto code = line.Parse(aArguments); code) {
    return *code;
  }
  return parsed.mLocal ? parsed.mLocal() : RunRemote(parsed, aEnvironment);
}

} // namespace bulrushfold
