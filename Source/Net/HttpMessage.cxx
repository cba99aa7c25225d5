#include "Net/HttpMessage.h"

#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "Base/EnumNames.h"
#include "absl/strings/match.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<HttpMethod, 4> kMethodNames{ {
  { HttpMethod::Get, "GET" },
  { HttpMethod::Post, "POST" },
  { HttpMethod::Put, "PUT" },
  { HttpMethod::Delete, "DELETE" },
} };
} // namespace

void
HttpHeaders::Add(std::string_view aName, std::string_view aValue)
{
  mFields.push_back({ std::string(aName), std::string(aValue) });
}

std::optional<std::string>
HttpHeaders::Find(std::string_view aName) const
{
  const absl::string_view name(aName.data(), aName.size());
  for (const auto& it : mFields) {
    if (absl::EqualsIgnoreCase(it.mName, name)) {
      return it.mValue;
    }
  }
  return std::nullopt;
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

HttpHeaders
CopyHeaders(const evkeyvalq* aFields)
{
  HttpHeaders headers;
  for (const evkeyval* it = aFields->tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    headers.Add(it->key, it->value);
  }
  return headers;
}

} // namespace bulrushfold
