#ifndef BULRUSHFOLD_NET_HTTPMESSAGE_H
#define BULRUSHFOLD_NET_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evkeyvalq;

namespace bulrushfold {

/** Methods that the project's servers and clients use. */
enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete,
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

/** Copies header fields of the HTTP library. */
HttpHeaders CopyHeaders(const evkeyvalq* aFields);

} // namespace bulrushfold

#endif
