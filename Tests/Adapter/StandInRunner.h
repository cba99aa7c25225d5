#ifndef BULRUSHFOLD_TESTS_ADAPTER_STANDINRUNNER_H
#define BULRUSHFOLD_TESTS_ADAPTER_STANDINRUNNER_H

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Net/EventLoop.h"
#include "Net/HttpServer.h"

namespace bulrushfold {

/** How a stand-in of a runner treats requests. */
enum class RunnerMode
{
  /** Runs and answers them. */
  Answer,
  /** Refuses them as if it were full. */
  Shed,
  /** Runs them and answers with its own 500. */
  Error,
  /** Takes them and never answers. */
  Mute,
  /** Runs them and closes the connection. */
  Lose,
  /** Answers without proof. */
  NoProof,
  /** Answers with the id of another request. */
  OtherId,
  /** Another runner has the address. */
  Misdirect,
};

/** Stand-in of one of the platform's runners, by its published protocol. */
class StandInRunner
{
public:
  /** aStage: "" for a plain service, else "prefill" or "decode". */
  StandInRunner(EventLoop& aLoop, std::string aId, std::string aStage);

  const SocketAddress& Address() const { return mAddress; }
  const std::string& Id() const { return mId; }
  void SetMode(RunnerMode aMode) { mMode = aMode; }
  /** Time between two events of a stream. */
  void SetPace(Duration aPace) { mPace = aPace; }
  /** Time that a prompt takes. */
  void SetPrefillTime(Duration aTime) { mPrefillTime = aTime; }
  /** Events of a stream; the stream breaks off after aBreakAfter of them. */
  void SetEvents(int aEvents, int aBreakAfter = 1'000'000)
  {
    mEvents = aEvents;
    mBreakAfter = aBreakAfter;
  }

  /** Name of a prompt's part that the engine lists as kept. */
  void Keep(const std::string& aPart, int aTokens) { mKept[aPart] = aTokens; }
  /** Calls for the list of what is kept. */
  std::size_t Lists() const { return mLists; }
  /** Orders that arrived, as they were sent. */
  const std::vector<HttpRequest>& Orders() const { return mOrders; }

  /** The entry that the runner writes into the store. */
  std::string Entry(const std::string& aService,
                    const std::string& aState = "ready") const;
  /** Requests that ran here, by id. */
  const std::vector<std::string>& Ran() const { return mRan; }
  /** All requests that arrived, refused ones included. */
  const std::vector<HttpRequest>& Received() const { return mReceived; }
  /** Requests whose connection closed before their answer was complete. */
  std::size_t Dropped() const { return mDropped; }
  std::size_t Open() const { return mOpen.size(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(const Exchange& aExchange);
  void HandleRequest(const Exchange& aExchange);
  void HandleCall(const Exchange& aExchange);
  void Prefill(const Exchange& aExchange);
  void Stream(const Exchange& aExchange);
  void NextEvent(const Exchange& aExchange, int aId);
  HttpHeaders Headers(const Exchange& aExchange) const;
  void Hold(const Exchange& aExchange);

  EventLoop& mLoop;
  std::string mId;
  std::string mStage;
  SocketAddress mAddress;
  RunnerMode mMode = RunnerMode::Answer;
  Duration mPace = std::chrono::milliseconds(2);
  Duration mPrefillTime{};
  int mEvents = 5;
  int mBreakAfter = 1'000'000;
  std::size_t mDropped = 0;
  std::size_t mLists = 0;
  std::vector<HttpRequest> mOrders;
  std::map<std::string, int> mKept;
  std::vector<std::string> mRan;
  std::vector<HttpRequest> mReceived;
  std::list<Exchange> mOpen;
  std::map<HttpExchange*, EventHandle> mTimers;
  HttpServer mServer;
};

} // namespace bulrushfold

#endif
