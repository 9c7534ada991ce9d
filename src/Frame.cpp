#include "Frame.h"

#include <cstring>

namespace Camphor {

namespace {

/// "CSP1" in little-endian byte order.
constexpr std::uint32_t FrameMagic = 0x31505343;

template <typename T>
void append(std::string &bytes, T value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

template <typename T>
T take(std::string_view &bytes)
{
    T value{};
    std::memcpy(&value, bytes.data(), sizeof(value));
    bytes.remove_prefix(sizeof(value));
    return value;
}

} // namespace

std::string encodeFrame(FrameHeader header, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(FrameHeaderBytes + payload.size());
    append(bytes, FrameMagic);
    append(bytes, static_cast<std::uint32_t>(payload.size()));
    append(bytes, header.correlation);
    append(bytes, header.serverClockMs);
    append(bytes, static_cast<std::uint16_t>(header.kind));
    append(bytes, static_cast<std::uint16_t>(header.type));
    bytes += payload;
    return bytes;
}

Result<FrameHeader> decodeFrameHeader(std::string_view bytes, std::size_t maxPayloadBytes)
{
    if (bytes.size() != FrameHeaderBytes)
        return Error{ErrorCode::InvalidMessage, "frame header has the wrong size"};
    if (take<std::uint32_t>(bytes) != FrameMagic)
        return Error{ErrorCode::InvalidMessage, "frame has the wrong magic number"};
    FrameHeader header;
    header.payloadBytes = take<std::uint32_t>(bytes);
    header.correlation = take<std::uint64_t>(bytes);
    header.serverClockMs = take<std::uint64_t>(bytes);
    header.kind = static_cast<MessageKind>(take<std::uint16_t>(bytes));
    const auto type = take<std::uint16_t>(bytes);
    if (type > static_cast<std::uint16_t>(FrameType::Expired))
        return Error{ErrorCode::InvalidMessage, "unknown frame type"};
    header.type = static_cast<FrameType>(type);
    if (header.payloadBytes > maxPayloadBytes)
        return Error{ErrorCode::TooLarge, "frame payload exceeds the size limit"};
    return header;
}

} // namespace Camphor
