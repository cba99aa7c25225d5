#include "Net/HttpMessage.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "Base/EnumNames.h"
#include "absl/strings/match.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<HttpMethod, 7> kMethodNames{ {
  { HttpMethod::Get, "GET" },
  { HttpMethod::Head, "HEAD" },
  { HttpMethod::Post, "POST" },
  { HttpMethod::Put, "PUT" },
  { HttpMethod::Patch, "PATCH" },
  { HttpMethod::Delete, "DELETE" },
  { HttpMethod::Options, "OPTIONS" },
} };

struct StatusPhrase
{
  int mStatus;
  std::string_view mPhrase;
};

constexpr std::array<StatusPhrase, 19> kPhrases{ {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 410, "Gone" },
  { 412, "Precondition Failed" },
  { 413, "Content Too Large" },
  { 421, "Misdirected Request" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
} };

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         kSymbols.find(aCharacter) != std::string_view::npos;
}

/** A string that libevent allocated with malloc. */
using MallocString = std::unique_ptr<char, decltype(&std::free)>;
} // namespace

void
HttpHeaders::Add(std::string_view aName, std::string_view aValue)
{
  mFields.push_back({ std::string(aName), std::string(aValue) });
}

std::optional<std::string>
HttpHeaders::Find(std::string_view aName) const
{
  for (const auto& it : mFields) {
    if (IsSameHeaderName(it.mName, aName)) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

std::size_t
HttpHeaders::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::count_if(mFields.begin(), mFields.end(), [aName](const auto& aField) {
      return IsSameHeaderName(aField.mName, aName);
    }));
}

std::optional<std::string>
HttpRequest::Parameter(std::string_view aName) const
{
  for (const auto& it : mQuery) {
    if (it.mName == aName) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

std::string_view
HttpMethodName(HttpMethod aMethod)
{
  return FindEnumName(kMethodNames, aMethod);
}

std::optional<HttpMethod>
ParseHttpMethod(std::string_view aName)
{
  return FindEnumValue(kMethodNames, aName);
}

std::string_view
HttpReasonPhrase(int aStatus)
{
  for (const auto& it : kPhrases) {
    if (it.mStatus == aStatus) {
      return it.mPhrase;
    }
  }
  return "Status";
}

bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(
    absl::string_view(aLeft.data(), aLeft.size()),
    absl::string_view(aRight.data(), aRight.size()));
}

bool
IsValidHeader(std::string_view aName, std::string_view aValue)
{
  const auto isControl = [](char aCharacter) {
    return (static_cast<unsigned char>(aCharacter) < ' ' &&
            aCharacter != '\t') ||
           aCharacter == '\x7f';
  };
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), IsTokenCharacter) &&
         std::none_of(aValue.begin(), aValue.end(), isControl);
}

void
DecodeTarget(HttpRequest& aRequest)
{
  const std::string& target = aRequest.mTarget;
  const std::size_t queryMark = target.find('?');
  std::size_t n = 0;
  const MallocString path(
    evhttp_uridecode(target.substr(0, queryMark).c_str(), 0, &n), &std::free);
  aRequest.mPath = path ? std::string(path.get(), n) : std::string("/");
  aRequest.mQuery.clear();
  evkeyvalq fields{};
  if (queryMark == std::string::npos ||
      evhttp_parse_query_str(target.c_str() + queryMark + 1, &fields) != 0) {
    return;
  }
  for (const evkeyval* it = fields.tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    aRequest.mQuery.push_back({ it->key, it->value });
  }
  evhttp_clear_headers(&fields);
}

std::string
EncodeQueryValue(std::string_view aText)
{
  const MallocString encoded(
    evhttp_uriencode(
      aText.data(), static_cast<ev_ssize_t>(aText.size()), /*space_as_plus*/ 0),
    &std::free);
  return encoded ? std::string(encoded.get()) : std::string();
}

} // namespace bulrushfold
