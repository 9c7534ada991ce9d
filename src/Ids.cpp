#include "Ids.h"

#include <array>
#include <cstdint>
#include <random>

namespace Camphor {

namespace {

std::mt19937_64 makeEngine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device()};
    return std::mt19937_64{seed};
}

void appendHex(std::string &text, std::uint64_t value)
{
    constexpr auto Digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4)
        text.push_back(Digits[(value >> shift) & 0xF]);
}

} // namespace

std::string makeRandomId()
{
    thread_local std::mt19937_64 engine = makeEngine();
    std::string id;
    id.reserve(32);
    appendHex(id, engine());
    appendHex(id, engine());
    return id;
}

} // namespace Camphor
