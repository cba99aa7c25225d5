#ifndef REVIEW_STANDINS_HTTP_H
#define REVIEW_STANDINS_HTTP_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Milliseconds since the start of the program. */
double Now();
void SleepMs(double aMilliseconds);

/** A request or an answer. */
struct Message
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /** The message ended as its framing says. */
  bool mIsComplete = false;
  /** The answer had neither a length nor chunks. */
  bool mIsUnframed = false;

  std::string Header(const std::string& aName) const;
  std::string Path() const;
  std::string Parameter(const std::string& aName) const;
};

/** A TCP channel with blocking calls. */
class Channel
{
public:
  explicit Channel(int aSocket);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /** Connects; nullptr when no channel is open after aTimeoutMs. */
  static std::unique_ptr<Channel> Connect(const std::string& aAddress,
                                          double aTimeoutMs);

  bool Write(const std::string& aBytes);
  bool ReadRequest(Message& aRequest);
  /** Reads an answer until aDeadline (see Now). aOnBody gets each part of the
   * body; the call ends when it returns false. */
  bool ReadAnswer(Message& aAnswer,
                  double aDeadline,
                  const std::function<bool(const std::string&)>& aOnBody = {});
  /** Answers with a length. */
  bool Answer(int aStatus,
              std::vector<std::pair<std::string, std::string>> aHeaders,
              const std::string& aBody);
  bool IsClosedByPeer();
  /** Waits for bytes; false after aTimeoutMs. */
  bool WaitForInput(double aTimeoutMs);
  /** Ends the channel in order. */
  void Close();
  /** Ends the channel with a reset. */
  void Reset();
  void Shutdown();

private:
  bool Fill(double aDeadline);
  bool ReadHead(Message& aMessage, double aDeadline, std::string& aFirstLine);
  bool ReadBody(Message& aMessage,
                double aDeadline,
                bool aIsAnswer,
                const std::function<bool(const std::string&)>& aOnBody);

  int mSocket;
  std::string mInput;
  bool mIsEnded = false;
};

/** HTTP server with a thread for each channel. */
class Server
{
public:
  /** Handles a request; false closes the channel. */
  using Handler = std::function<bool(Channel&, const Message&)>;

  Server(const std::string& aHost, Handler aHandler);
  ~Server();

  const std::string& Address() const { return mAddress; }
  /** Closes the listening socket and all channels, as a killed process does. */
  void Kill();
  /** Listens at the same address again. */
  void Restart();

private:
  void Listen();
  void Accept(int aListener);
  void Serve(int aSocket, std::uint64_t aGeneration);

  std::string mHost;
  int mPort = 0;
  std::string mAddress;
  Handler mHandler;
  std::mutex mMutex;
  int mListener = -1;
  std::uint64_t mGeneration = 0;
  std::set<int> mSockets;
  std::atomic<int> mThreads{ 0 };
};

/** A port of aHost that nobody listens at. */
int FreePort(const std::string& aHost);

/** Writes lines with the time to record.txt. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  void Add(const std::string& aLine);

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

} // namespace review

#endif
