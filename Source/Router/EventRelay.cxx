#include "Router/EventRelay.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace bulrushfold {

namespace {

/** Size of the first event of aData, including the blank line that ends it; 0
 * when the event is incomplete. aFrom: no event ends before this position. */
std::size_t
FirstEventSize(std::string_view aData, std::size_t aFrom)
{
  const std::size_t lf = aData.find("\n\n", aFrom);
  const std::size_t crlf = aData.find("\n\r\n", aFrom);
  const std::size_t lfEnd = lf == std::string_view::npos ? lf : lf + 2;
  const std::size_t crlfEnd = crlf == std::string_view::npos ? crlf : crlf + 3;
  const std::size_t end = std::min(lfEnd, crlfEnd);
  return end == std::string_view::npos ? 0 : end;
}

/** Value of the "id" field of an event; empty when it has none. */
std::string_view
FindEventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (line.substr(0, kField.size()) != kField) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    return line;
  }
  return {};
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  return absl::SimpleAtoi(absl::string_view(aText.data(), aText.size()),
                          &number)
           ? std::make_optional(number)
           : std::nullopt;
}

} // namespace

EventRelay::EventRelay(std::size_t aMaxEventBytes, Sink aSink)
  : mMaxEventBytes(aMaxEventBytes)
  , mSink(std::move(aSink))
{
}

void
EventRelay::SetLastId(const std::string& aId)
{
  mLastId = aId;
  mLastNumber = ParseNumber(aId);
}

std::uint64_t
EventRelay::LastNumber() const
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(mLastNumber.value_or(0), 0));
}

bool
EventRelay::Feed(std::string_view aData)
{
  if (mMode == RelayMode::Bytes) {
    mSink(aData);
  }
  // An event may end with the last two bytes of the earlier data. The rest of
  // them is not searched again, or small parts of a large event would take
  // quadratic time.
  constexpr std::size_t kMaxEndOverlap = 2;
  std::size_t from =
    mPending.size() - std::min(mPending.size(), kMaxEndOverlap);
  mPending.append(aData);
  std::size_t used = 0;
  while (true) {
    const std::string_view rest = std::string_view(mPending).substr(used);
    const std::size_t n = FirstEventSize(rest, std::exchange(from, 0));
    if (n == 0) {
      break;
    }
    HandleEvent(rest.substr(0, n));
    used += n;
  }
  mPending.erase(0, used);
  return mPending.size() <= mMaxEventBytes;
}

bool
EventRelay::EndsInsideEvent() const
{
  constexpr std::array<std::string_view, 4> kFields{
    "id:", "data:", "event:", "retry:"
  };
  return !mPending.empty() &&
         (mEvents > 0 ||
          std::any_of(kFields.begin(), kFields.end(), [this](auto aField) {
            return mPending.compare(0, aField.size(), aField) == 0;
          }));
}

void
EventRelay::HandleEvent(std::string_view aEvent)
{
  const std::string_view id = FindEventId(aEvent);
  const auto number = ParseNumber(id);
  const bool isDuplicate = number && mLastNumber && *number <= *mLastNumber;
  if (isDuplicate && mMode == RelayMode::WholeEvents) {
    return;
  }
  if (!id.empty()) {
    mLastId = std::string(id);
    mLastNumber = number;
  }
  ++mEvents;
  if (mMode == RelayMode::WholeEvents) {
    mSink(aEvent);
  }
}

} // namespace bulrushfold
