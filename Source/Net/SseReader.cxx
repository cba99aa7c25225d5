#include "Net/SseReader.h"

#include <utility>

namespace bulrushfold {

namespace {
bool
TakePrefix(std::string_view& aLine, std::string_view aPrefix)
{
  if (aLine.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  aLine.remove_prefix(aPrefix.size());
  if (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  return true;
}
} // namespace

SseReader::SseReader(std::size_t aMaxEventBytes, Handler aHandler)
  : mMaxEventBytes(aMaxEventBytes)
  , mHandler(std::move(aHandler))
{
}

bool
SseReader::Feed(std::string_view aData)
{
  while (!aData.empty()) {
    const auto end = aData.find('\n');
    mLine.append(aData.substr(0, end));
    if (mLine.size() + mEvent.mData.size() > mMaxEventBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    aData.remove_prefix(end + 1);
    const std::string line = std::exchange(mLine, {});
    TakeLine(line);
  }
  return true;
}

void
SseReader::TakeLine(std::string_view aLine)
{
  if (!aLine.empty() && aLine.back() == '\r') {
    aLine.remove_suffix(1);
  }
  if (aLine.empty()) {
    const SseEvent event = std::exchange(mEvent, {});
    if (!event.mData.empty()) {
      mHandler(event);
    }
    return;
  }
  if (TakePrefix(aLine, "data:")) {
    mEvent.mData += mEvent.mData.empty() ? "" : "\n";
    mEvent.mData += aLine;
  } else if (TakePrefix(aLine, "id:")) {
    mEvent.mId = aLine;
  }
}

std::string
FormatSseEvent(std::string_view aId, std::string_view aData)
{
  std::string text;
  if (!aId.empty()) {
    text.append("id: ").append(aId).append("\n");
  }
  text.append("data: ").append(aData).append("\n\n");
  return text;
}

} // namespace bulrushfold
