#ifndef BULRUSHFOLD_NET_SSEREADER_H
#define BULRUSHFOLD_NET_SSEREADER_H

#include <functional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** An event of a server-sent event stream. */
struct SseEvent
{
  std::string mId;
  std::string mData;
};

/** Incremental parser for a server-sent event stream. */
class SseReader
{
public:
  using Handler = std::function<void(const SseEvent&)>;

  /** aMaxEventBytes limits the size of an event that is not yet complete. */
  SseReader(std::size_t aMaxEventBytes, Handler aHandler);

  /** Parses the next bytes; false when an event exceeds the size limit. */
  bool Feed(std::string_view aData);

private:
  void ProcessLine(std::string_view aLine);

  std::size_t mMaxEventBytes;
  Handler mHandler;
  std::string mLine;
  SseEvent mEvent;
};

/** Formats an event for the stream; aData must not contain a line break. */
std::string FormatSseEvent(std::string_view aId, std::string_view aData);

} // namespace bulrushfold

#endif
