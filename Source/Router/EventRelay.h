#ifndef BULRUSHFOLD_ROUTER_EVENTRELAY_H
#define BULRUSHFOLD_ROUTER_EVENTRELAY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** What a relay passes on. */
enum class RelayMode
{
  /** Bytes as they come. */
  Bytes,
  /** Whole events only, and none that the caller already has. */
  WholeEvents,
};

/**
 * Passes the bytes of a stream of events on unchanged, counts the events and
 * remembers the last one, so that another run can go on after it.
 */
class EventRelay
{
public:
  using Sink = std::function<void(std::string_view)>;

  /** aMaxEventBytes bounds the bytes that wait for the end of an event. */
  EventRelay(std::size_t aMaxEventBytes, Sink aSink);

  /** WholeEvents at first. */
  void SetMode(RelayMode aMode) { mMode = aMode; }

  /** The caller already has everything up to aId. */
  void SetLastId(const std::string& aId);
  /** Takes the next bytes; false when an event exceeds the bound. */
  bool Feed(std::string_view aData);
  /** Another run follows: drops the part of an event that waits. */
  void Restart() { mPending.clear(); }

  /** Id of the last event passed on; empty when there is none. */
  const std::string& LastId() const { return mLastId; }
  /** Number in the id of the last event; 0 when there is none. */
  std::uint64_t LastNumber() const;
  /** Events passed on. */
  std::uint64_t Events() const { return mEvents; }
  /** Part of an event waits for its end and was not passed on. */
  bool HoldsPart() const
  {
    return mMode == RelayMode::WholeEvents && !mPending.empty();
  }

private:
  void TakeEvent(std::string_view aEvent);

  RelayMode mMode = RelayMode::WholeEvents;
  std::size_t mMaxEventBytes;
  Sink mSink;
  std::string mPending;
  std::string mLastId;
  std::optional<std::int64_t> mLastNumber;
  std::uint64_t mEvents = 0;
};

} // namespace bulrushfold

#endif
