#include "Settings/Settings.h"

#include <arpa/inet.h>

#include "Settings/Finding.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

std::string
FormatAddress(const SocketAddress& aAddress)
{
  return absl::StrCat(aAddress.mHost, ":", aAddress.mPort);
}

bool
ParseAddress(const std::string& aText, SocketAddress& aAddress)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string host = aText.substr(0, colon);
  std::uint32_t port = 0;
  in_addr buf{};
  if (inet_pton(AF_INET, host.c_str(), &buf) != 1 ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port == 0 ||
      port > UINT16_MAX) {
    return false;
  }
  aAddress = { host, static_cast<std::uint16_t>(port) };
  return true;
}

std::string
FormatFinding(const Finding& aFinding)
{
  const std::string key =
    aFinding.mKey.empty() ? "" : absl::StrCat(aFinding.mKey, ": ");
  return absl::StrCat(aFinding.mFile,
                      ":",
                      aFinding.mLine,
                      ": ",
                      key,
                      "expected ",
                      aFinding.mExpected,
                      ", found ",
                      aFinding.mFound.empty() ? "nothing" : aFinding.mFound);
}

} // namespace bulrushfold
