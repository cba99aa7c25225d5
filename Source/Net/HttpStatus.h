#ifndef BULRUSHFOLD_NET_HTTPSTATUS_H
#define BULRUSHFOLD_NET_HTTPSTATUS_H

namespace bulrushfold {

// Status codes of RFC 9110, section 15.
constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpAccepted = 202;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpMisdirected = 421;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpFirstServerError = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

} // namespace bulrushfold

#endif
