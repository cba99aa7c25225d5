#ifndef BULRUSHFOLD_WIRE_THRIFTCODEC_H
#define BULRUSHFOLD_WIRE_THRIFTCODEC_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

/** Maximum length of a string and of a container that a decoder accepts. */
constexpr std::int32_t kMaxThriftString = 64 * 1024 * 1024;
constexpr std::int32_t kMaxThriftContainer = 1024 * 1024;

/** Encodes aMessage in the Thrift compact protocol. */
template<typename Message>
std::string
EncodeThrift(const Message& aMessage)
{
  auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>
    protocol(buf);
  aMessage.write(&protocol);
  return buf->getBufferAsString();
}

/** Decodes one message; InvalidArgument when aData is malformed. */
template<typename Message>
absl::StatusOr<Message>
DecodeThrift(std::string_view aData)
{
  using apache::thrift::transport::TMemoryBuffer;
  auto buf = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aData.data())),
    static_cast<std::uint32_t>(aData.size()),
    TMemoryBuffer::OBSERVE);
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
    buf, kMaxThriftString, kMaxThriftContainer);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
      absl::StrCat("malformed message: ", e.what()));
  }
  return message;
}

} // namespace bulrushfold

#endif
