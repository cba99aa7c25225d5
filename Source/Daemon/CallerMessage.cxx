#include "Daemon/CallerMessage.h"

#include <vector>

#include <nlohmann/json.hpp>

#include "Net/SseReader.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kMaxMaxTokens = 131'072;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
ReadMessages(const Json& aJson, std::string& aPrompt)
{
  if (!aJson.is_array() || aJson.empty()) {
    return false;
  }
  for (const auto& it : aJson) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string() ||
        !it.contains("content") || !it["content"].is_string()) {
      return false;
    }
    absl::StrAppend(&aPrompt,
                    it["role"].get<std::string>(),
                    ": ",
                    it["content"].get<std::string>(),
                    "\n");
  }
  return true;
}

void
ReadPrompt(const Json& aJson,
           CompletionRequest& aRequest,
           std::vector<std::string>& aProblems)
{
  if (aRequest.mKind == CompletionKind::Chat) {
    if (!aJson.contains("messages") ||
        !ReadMessages(aJson["messages"], aRequest.mPrompt)) {
      aProblems.emplace_back(
        "messages: expected a list of objects with role and content");
    }
    return;
  }
  if (!aJson.contains("prompt") || !aJson["prompt"].is_string() ||
      aJson["prompt"].get<std::string>().empty()) {
    aProblems.emplace_back("prompt: expected a text");
    return;
  }
  aRequest.mPrompt = aJson["prompt"].get<std::string>();
}

Json
MakeChoice(const CompletionRequest& aRequest,
           const std::string& aText,
           bool aIsWhole)
{
  Json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aRequest.mKind == CompletionKind::Completion) {
    choice["text"] = aText;
  } else if (aIsWhole) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["delta"] = { { "content", aText } };
  }
  return choice;
}

Json
MakeAnswer(const CompletionRequest& aRequest,
           const std::string& aRequestId,
           bool aIsWhole,
           Json aChoice)
{
  const bool isChat = aRequest.mKind == CompletionKind::Chat;
  const char* object = !isChat    ? "text_completion"
                       : aIsWhole ? "chat.completion"
                                  : "chat.completion.chunk";
  return { { "id", aRequestId },
           { "object", object },
           { "model", aRequest.mModel },
           { "choices", Json::array({ std::move(aChoice) }) } };
}

} // namespace

absl::StatusOr<CompletionRequest>
ParseCompletionRequest(CompletionKind aKind, const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return absl::InvalidArgumentError("body: expected a JSON object");
  }
  CompletionRequest request;
  request.mKind = aKind;
  std::vector<std::string> problems;
  if (json.contains("model") && json["model"].is_string()) {
    request.mModel = json["model"].get<std::string>();
  } else {
    problems.emplace_back("model: expected a text");
  }
  ReadPrompt(json, request, problems);
  request.mMaxTokens = kDefaultMaxTokens;
  if (json.contains("max_tokens")) {
    const Json& it = json["max_tokens"];
    request.mMaxTokens = it.is_number_unsigned() ? it.get<std::uint64_t>() : 0;
    if (request.mMaxTokens == 0 || request.mMaxTokens > kMaxMaxTokens) {
      problems.push_back(
        absl::StrCat("max_tokens: expected a count, 1 to ", kMaxMaxTokens));
    }
  }
  if (json.contains("stream")) {
    if (json["stream"].is_boolean()) {
      request.mIsStreamed = json["stream"].get<bool>();
    } else {
      problems.emplace_back("stream: expected true or false");
    }
  }
  if (!problems.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(problems, "; "));
  }
  return request;
}

std::string
FormatTokenEvent(const CompletionRequest& aRequest,
                 const std::string& aRequestId,
                 std::uint64_t aOffset,
                 const std::string& aText)
{
  return FormatSseEvent(
    absl::StrCat(aOffset),
    Dump(MakeAnswer(
      aRequest, aRequestId, false, MakeChoice(aRequest, aText, false))));
}

std::string
FormatEndEvents(const CompletionRequest& aRequest,
                const std::string& aRequestId)
{
  Json choice = MakeChoice(aRequest, "", false);
  choice["finish_reason"] = "length";
  return FormatSseEvent(
           "",
           Dump(MakeAnswer(aRequest, aRequestId, false, std::move(choice)))) +
         FormatSseEvent("", "[DONE]");
}

std::string
FormatWholeAnswer(const CompletionRequest& aRequest,
                  const std::string& aRequestId,
                  const std::string& aText,
                  std::uint64_t aTokens)
{
  Json choice = MakeChoice(aRequest, aText, true);
  choice["finish_reason"] = "length";
  Json answer = MakeAnswer(aRequest, aRequestId, true, std::move(choice));
  answer["usage"] = { { "completion_tokens", aTokens } };
  return Dump(answer);
}

} // namespace bulrushfold
