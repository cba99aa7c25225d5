#ifndef BULRUSHFOLD_NET_HTTPMESSAGE_H
#define BULRUSHFOLD_NET_HTTPMESSAGE_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushfold {

/** Methods that the project's servers and clients pass on. */
enum class HttpMethod
{
  Get,
  Head,
  Post,
  Put,
  Patch,
  Delete,
  Options,
};

/** One header field. */
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/** Header fields in order; names compare without regard to case. */
class HttpHeaders
{
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> aFields)
    : mFields(aFields)
  {
  }

  void Add(std::string_view aName, std::string_view aValue);
  /** Value of the first field named aName; empty if there is none. */
  std::optional<std::string> Find(std::string_view aName) const;
  /** Number of fields named aName. */
  std::size_t Count(std::string_view aName) const;
  const std::vector<HttpHeader>& Fields() const { return mFields; }

private:
  std::vector<HttpHeader> mFields;
};

/** One parameter of a query string, decoded. */
struct HttpParameter
{
  std::string mName;
  std::string mValue;
};

/** A request that a server received. */
struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::Get;
  /** Path and query as they were sent. */
  std::string mTarget;
  /** Decoded path, without the query. */
  std::string mPath;
  std::vector<HttpParameter> mQuery;
  HttpHeaders mHeaders;
  std::string mBody;

  /** Value of the first query parameter named aName. */
  std::optional<std::string> Parameter(std::string_view aName) const;
};

/** Name of aMethod in a request line. */
std::string_view HttpMethodName(HttpMethod aMethod);

/** Method named aName; empty when the project does not pass it on. */
std::optional<HttpMethod> ParseHttpMethod(std::string_view aName);

/** Standard reason phrase of aStatus; "Status" for an unknown one. */
std::string_view HttpReasonPhrase(int aStatus);

/** True when aLeft and aRight name the same header field. */
bool IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

/** True when aName is a header field name and aValue a value of one line. */
bool IsValidHeader(std::string_view aName, std::string_view aValue);

/** Sets mPath and mQuery from mTarget. */
void DecodeTarget(HttpRequest& aRequest);

/** aText with all but unreserved characters percent-encoded. */
std::string EncodeQueryValue(std::string_view aText);

} // namespace bulrushfold

#endif
