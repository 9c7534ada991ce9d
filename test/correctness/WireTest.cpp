#include "Wire.h"
#include "Frame.h"

#include <catch2/catch.hpp>

using namespace Camphor;

// Guards against a field that is lost or changed by encoding and decoding.
TEST_CASE("a message survives encoding and decoding", "[wire]")
{
    const Hello hello{WireVersion, "shop", "entry-1", 7};
    const auto decoded = decodeMessage<Hello>(encodeMessage(hello));
    REQUIRE(decoded.isOk());
    CHECK(decoded.value() == hello);
}

// Guards against a decoder that allocates before it checks a forged length.
TEST_CASE("a forged string length is refused", "[wire]")
{
    auto bytes = encodeMessage(std::string("abc"));
    bytes[3] = '\x7f';
    CHECK_FALSE(decodeMessage<std::string>(bytes).isOk());
}

// Guards against a vector that is sized by a forged count.
TEST_CASE("a forged element count is refused", "[wire]")
{
    auto bytes = encodeMessage(std::vector<std::string>{"a", "b"});
    bytes[2] = '\x7f';
    CHECK_FALSE(decodeMessage<std::vector<std::string>>(bytes).isOk());
}

// Guards against a message of another format that is accepted because its first bytes decode.
TEST_CASE("trailing bytes are refused", "[wire]")
{
    CHECK_FALSE(decodeMessage<std::string>(encodeMessage(std::string("abc")) + "x").isOk());
}

// Guards against a payload buffer that is sized by a forged frame length.
TEST_CASE("a frame header with a payload above the limit is refused", "[wire]")
{
    const auto frame = encodeFrame({0, 1, 0, MessageKind::Claim, FrameType::Request}, "payload");
    const auto header = frame.substr(0, FrameHeaderBytes);
    CHECK(decodeFrameHeader(header, 7).isOk());
    CHECK_FALSE(decodeFrameHeader(header, 6).isOk());
}

// Guards against undefined behaviour on empty lists of numbers, such as a job whose step depends on
// no other: memcpy gets a nullptr, and sanitizer builds abort.
TEST_CASE("an empty list of numbers survives encoding and decoding", "[wire]")
{
    const auto decoded =
        decodeMessage<std::vector<std::uint32_t>>(encodeMessage(std::vector<std::uint32_t>{}));
    REQUIRE(decoded.isOk());
    CHECK(decoded.value().empty());
}
