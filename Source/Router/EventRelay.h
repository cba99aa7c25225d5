#ifndef BULRUSHFOLD_ROUTER_EVENTRELAY_H
#define BULRUSHFOLD_ROUTER_EVENTRELAY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** Unit in which a relay passes data on. */
enum class RelayMode
{
  /** Every byte when it arrives. */
  Bytes,
  /** Complete events that the caller has not received yet. */
  WholeEvents,
};

/**
 * Passes the bytes of an event stream on unchanged, counts the events and
 * stores the id of the last one, so that another run can continue after it.
 */
class EventRelay
{
public:
  using Sink = std::function<void(std::string_view)>;

  /** aMaxEventBytes: maximum size of an incomplete event in the buffer. */
  EventRelay(std::size_t aMaxEventBytes, Sink aSink);

  /** The initial mode is WholeEvents. */
  void SetMode(RelayMode aMode) { mMode = aMode; }

  /** The caller has already received the events up to aId. */
  void SetLastId(const std::string& aId);
  /** Processes the next bytes; false when an event exceeds the maximum size. */
  bool Feed(std::string_view aData);
  /** Discards an incomplete event that was not passed on, before the data of
   * another run follows. */
  void DiscardPartialEvent()
  {
    if (mMode == RelayMode::WholeEvents) {
      mPending.clear();
    }
  }
  /** False when a part of an event was passed on, so that the data of another
   * run can't follow. */
  bool MayContinue() const
  {
    return mMode == RelayMode::WholeEvents || mPending.empty();
  }

  /** Id of the last event that the caller received; empty if there is none. */
  const std::string& LastId() const { return mLastId; }
  /** Number in the id of the last event; 0 when there is none. */
  std::uint64_t LastNumber() const;
  /** Number of events that were passed on. */
  std::uint64_t Events() const { return mEvents; }
  /** The buffer has an incomplete event that was not passed on. */
  bool HasPartialEvent() const
  {
    return mMode == RelayMode::WholeEvents && !mPending.empty();
  }
  /** Bytes of an incomplete event in the buffer. */
  std::size_t PendingBytes() const { return mPending.size(); }
  /** In either mode, the last bytes are the start of an event. */
  bool EndsInsideEvent() const;

private:
  void HandleEvent(std::string_view aEvent);

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
