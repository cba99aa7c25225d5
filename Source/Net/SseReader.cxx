#include "Net/SseReader.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Removes aFieldName and one space after it from the start of aLine; false
 * when aLine does not start with aFieldName. */
bool
ConsumeFieldName(std::string_view& aLine, std::string_view aFieldName)
{
  if (aLine.substr(0, aFieldName.size()) != aFieldName) {
    return false;
  }
  aLine.remove_prefix(aFieldName.size());
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
    ProcessLine(line);
  }
  return true;
}

void
SseReader::ProcessLine(std::string_view aLine)
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
  if (ConsumeFieldName(aLine, "data:")) {
    mEvent.mData += mEvent.mData.empty() ? "" : "\n";
    mEvent.mData += aLine;
  } else if (ConsumeFieldName(aLine, "id:")) {
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
