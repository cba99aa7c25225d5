#ifndef BULRUSHFOLD_NET_HTTPMESSAGE_H
#define BULRUSHFOLD_NET_HTTPMESSAGE_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushfold {

/** Request methods that the servers and clients support. */
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

/** Header fields in order; names are compared case-insensitively. */
class HttpHeaders
{
public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> aFields)
    : mFields(aFields)
  {
  }

  void Add(std::string_view aName, std::string_view aValue);
  /** Value of the first field named aName; std::nullopt if there is none. */
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
  /** Path and query as received, percent-encoded. */
  std::string mTarget;
  /** Decoded path, without the query. */
  std::string mPath;
  std::vector<HttpParameter> mQuery;
  HttpHeaders mHeaders;
  std::string mBody;

  /** Value of the first query parameter named aName; std::nullopt if there is
   * none. */
  std::optional<std::string> Parameter(std::string_view aName) const;
};

/** Name of aMethod in a request line. */
std::string_view HttpMethodName(HttpMethod aMethod);

/** Method named aName; std::nullopt if the method is not supported. */
std::optional<HttpMethod> ParseHttpMethod(std::string_view aName);

/** Standard reason phrase of aStatus; "Status" for an unknown one. */
std::string_view HttpReasonPhrase(int aStatus);

/** True when aLeft and aRight name the same header field. */
bool IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

/** True when aName is a valid field name and aValue is a single-line value. */
bool IsValidHeader(std::string_view aName, std::string_view aValue);

/** Sets mPath and mQuery of aRequest from its mTarget. */
void DecodeTarget(HttpRequest& aRequest);

/** Percent-encodes all characters of aText except unreserved ones. */
std::string EncodeQueryValue(std::string_view aText);

} // namespace bulrushfold

#endif
