/// @file cereal archives for the messages between processes of the cluster. Values are
/// little-endian. Every length is checked against the remaining bytes, so that a forged length
/// allocates no memory.
#pragma once

#include "Result.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace Camphor {

static_assert(std::endian::native == std::endian::little,
              "the wire format copies little-endian values");

/// Maximum number of elements of a container (other than a string) in a message.
inline constexpr std::size_t MaxWireElements = 65536;

/// Serializes values into a string.
class WireOutput : public cereal::OutputArchive<WireOutput, cereal::AllowEmptyClassElision>
{
public:
    WireOutput()
        : OutputArchive(this)
    {
    }

    void write(const void *data, std::size_t size)
    {
        m_bytes.append(static_cast<const char *>(data), size);
    }
    [[nodiscard]] std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// Deserializes values from a buffer. Throws cereal::Exception if the buffer is too short or a
/// length is out of bounds.
class WireInput : public cereal::InputArchive<WireInput, cereal::AllowEmptyClassElision>
{
public:
    explicit WireInput(std::string_view bytes)
        : InputArchive(this)
        , m_rest(bytes)
    {
    }

    void read(void *data, std::size_t size)
    {
        if (size > m_rest.size())
            throw cereal::Exception("message is too short");
        // An empty container has no memory; passing nullptr to memcpy is undefined behaviour.
        if (size == 0)
            return;
        std::memcpy(data, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }
    /// Checks the length of a container before its memory is allocated.
    void checkLength(std::size_t length) const
    {
        if (length > m_rest.size() || length > MaxWireElements)
            throw cereal::Exception("length is out of bounds");
    }
    std::string readString(std::size_t length)
    {
        if (length > m_rest.size())
            throw cereal::Exception("string length is out of bounds");
        std::string text(m_rest.substr(0, length));
        m_rest.remove_prefix(length);
        return text;
    }
    [[nodiscard]] std::size_t remaining() const { return m_rest.size(); }

private:
    std::string_view m_rest;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(WireOutput &archive, const T &value)
{
    archive.write(&value, sizeof(value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(WireInput &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        // Storing any byte other than 0 or 1 in a bool is undefined behaviour.
        unsigned char byte = 0;
        archive.read(&byte, 1);
        if (byte > 1)
            throw cereal::Exception("invalid bool");
        value = byte == 1;
    } else {
        archive.read(&value, sizeof(value));
    }
}

inline void save(WireOutput &archive, const std::string &text)
{
    const auto length = static_cast<std::uint32_t>(text.size());
    archive.write(&length, sizeof(length));
    archive.write(text.data(), text.size());
}

inline void load(WireInput &archive, std::string &text)
{
    std::uint32_t length = 0;
    archive.read(&length, sizeof(length));
    text = archive.readString(length);
}

template <typename T>
void save(WireOutput &archive, const cereal::SizeTag<T> &tag)
{
    const auto length = static_cast<std::uint32_t>(tag.size);
    archive.write(&length, sizeof(length));
}

template <typename T>
void load(WireInput &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t length = 0;
    archive.read(&length, sizeof(length));
    archive.checkLength(length);
    tag.size = length;
}

template <typename T>
void save(WireOutput &archive, const cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void load(WireInput &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void save(WireOutput &archive, const cereal::BinaryData<T> &data)
{
    archive.write(data.data, data.size);
}

template <typename T>
void load(WireInput &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, data.size);
}

/// Encodes a message.
template <typename T>
[[nodiscard]] std::string encodeMessage(const T &message)
{
    WireOutput output;
    output(message);
    return output.take();
}

/// Decodes a message. The bytes must be consumed exactly.
template <typename T>
[[nodiscard]] Result<T> decodeMessage(std::string_view bytes)
{
    try {
        WireInput input(bytes);
        T message{};
        input(message);
        if (input.remaining() != 0)
            return Error{ErrorCode::InvalidMessage, "message has trailing bytes"};
        return message;
    } catch (const cereal::Exception &e) {
        return Error{ErrorCode::InvalidMessage, e.what()};
    }
}

} // namespace Camphor

CEREAL_REGISTER_ARCHIVE(Camphor::WireOutput)
CEREAL_REGISTER_ARCHIVE(Camphor::WireInput)
CEREAL_SETUP_ARCHIVE_TRAITS(Camphor::WireInput, Camphor::WireOutput)
