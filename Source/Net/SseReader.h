#ifndef BULRUSHFOLD_NET_SSEREADER_H
#define BULRUSHFOLD_NET_SSEREADER_H

#include <functional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** One event of a server-sent event stream. */
struct SseEvent
{
  std::string mId;
  std::string mData;
};

/** Splits the bytes of a server-sent event stream into events. */
class SseReader
{
public:
  using Handler = std::function<void(const SseEvent&)>;

  /** aMaxEventBytes bounds the bytes that wait for the end of an event. */
  SseReader(std::size_t aMaxEventBytes, Handler aHandler);

  /** Takes the next bytes; false when an event exceeds the bound. */
  bool Feed(std::string_view aData);

private:
  void ProcessLine(std::string_view aLine);

  std::size_t mMaxEventBytes;
  Handler mHandler;
  std::string mLine;
  SseEvent mEvent;
};

/** Wire form of an event; aData must contain no line break. */
std::string FormatSseEvent(std::string_view aId, std::string_view aData);

} // namespace bulrushfold

#endif
