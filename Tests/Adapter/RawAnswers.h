#ifndef BULRUSHFOLD_TESTS_ADAPTER_RAWANSWERS_H
#define BULRUSHFOLD_TESTS_ADAPTER_RAWANSWERS_H

#include <string>

#include "Net/LoopFixture.h"
#include "RawEndpoint.h"

namespace bulrushfold {

inline const std::string kStreamType = "Content-Type: text/event-stream\r\n";
inline const std::string kNotRun = "X-Not-Run: 1\r\n";

/** aText, repeated to about 12 kB. */
inline std::string
Repeat(const std::string& aText)
{
  std::string text;
  while (text.size() < 12'000) {
    text += aText;
  }
  return text;
}

inline std::string
Event(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + number + "\n\n";
}

inline std::string
Events(int aFirst, int aLast)
{
  std::string text;
  for (int i = aFirst; i <= aLast; ++i) {
    text += Event(i);
  }
  return text;
}

/** Head of an answer with neither a length nor chunks. */
inline std::string
UnframedHead(const RawRequest& aRequest,
             int aStatus,
             const std::string& aFields = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" +
         RawEndpoint::Proof(aRequest) + aFields + "\r\n";
}

inline std::string
Handle(const RawRequest& aRequest, const std::string& aFields)
{
  return RawEndpoint::Answer(
    200, aFields, "{\"handle\":\"h-" + aRequest.mId + "\"}");
}

inline bool
IsEndedStream(const std::string& aAnswer)
{
  return CountOccurrences(aAnswer, "\r\n0\r\n\r\n") == 1;
}

} // namespace bulrushfold

#endif
