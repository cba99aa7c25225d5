#ifndef BULRUSHFOLD_ROUTING_STREAMORIGINS_H
#define BULRUSHFOLD_ROUTING_STREAMORIGINS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"

namespace bulrushfold {

/** The software version that begins a stream, or has begun it. */
struct StreamOrigin
{
  /** Hash of the attempt that began the stream and of its request; see
   * RoutedRequest::StreamKey. */
  std::uint64_t mStream = 0;
  std::string mService;
  std::string mSoftware;
  /** The caller does not resume the stream later. */
  Instant mUntil;
  /** The caller has received an event; the version does not change then. */
  bool mHasBegun = false;
};

/**
 * The versions that began the streams of this daemon, and what other daemons
 * told of theirs. A caller may resume its stream at any daemon, also when the
 * one that began it is gone, so an origin is told to others before the first
 * event, and is kept until the caller gives up. The number is bounded; the
 * oldest origins are dropped first.
 */
class StreamOrigins
{
public:
  static constexpr std::size_t kMaxOrigins = 16384;

  /** A run of a stream of this daemon is sent to an engine, or has begun its
   * answer. aIsTold: the daemon that placed it knows that. */
  void OnBegun(const StreamOrigin& aOrigin, bool aIsTold, Instant aNow);
  /** Another daemon told of its streams. */
  void Merge(const std::vector<StreamOrigin>& aOrigins, Instant aNow);
  /** The origin of aStream; null when it is unknown. */
  const StreamOrigin* Find(std::uint64_t aStream, Instant aNow) const;

  /** Origins of this daemon that the others have to be told of. Each one is
   * told several times, because a message may be lost. */
  std::vector<StreamOrigin> Untold(Instant aNow);
  /** A daemon that knows none of them has to be told of all again. */
  void TellAgain(Instant aNow);
  /** All origins that became known, or changed, at aSince or later. */
  std::vector<StreamOrigin> KnownSince(Instant aSince, Instant aNow) const;
  std::size_t Size() const { return mEntries.size(); }
  /** Emitted when an origin became known, or changed. */
  sigc::signal<void()>& OnChange() { return mOnChange; }
  /** Emitted when the others have to be told of an origin. */
  sigc::signal<void()>& OnUntold() { return mOnUntold; }

private:
  struct Entry
  {
    StreamOrigin mOrigin;
    Instant mKnownAt;
    bool mIsOwn = false;
  };

  /** True when aOrigin was new or has changed. */
  bool Put(const StreamOrigin& aOrigin, Instant aNow);
  void DropOldest(Instant aNow);
  /** Forgets which streams were told to the others for long enough. */
  void ForgetTold(Instant aNow);

  std::unordered_map<std::uint64_t, Entry> mEntries;
  /** Streams in the order in which they became known. */
  std::deque<std::pair<std::uint64_t, Instant>> mOrder;
  /** Streams that the others are told of, and until when. */
  std::unordered_map<std::uint64_t, Instant> mTelling;
  sigc::signal<void()> mOnChange;
  sigc::signal<void()> mOnUntold;
};

} // namespace bulrushfold

#endif
