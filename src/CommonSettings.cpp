#include "CommonSettings.h"

#include <algorithm>
#include <iterator>

namespace Camphor {

namespace {

Address parseAddressAt(const SettingsNode &node, std::string_view key, const std::string &text)
{
    const auto address = Address::parse(text);
    if (!address) {
        throw UserError(node.errorAt(key, "'" + text + "' is not an address",
                                     "write IP:PORT, such as 127.0.0.1:8080"));
    }
    return address.value();
}

} // namespace

LogSettings readLogSettings(SettingsNode &root)
{
    auto node = root.child("log");
    LogSettings settings;
    const auto level =
        node.choice("level", "decision", {"debug", "decision", "info", "warning", "error"});
    CAMPHOR_ASSERT(parseLogLevel(level, settings.minimum));
    settings.json = node.boolean("json", false);
    settings.decisionsPerSecond =
        static_cast<std::uint32_t>(node.integer("decisionsPerSecond", 0, 0, 1'000'000));
    node.checkNoUnknownKeys();
    return settings;
}

Address readAddress(SettingsNode &node, std::string_view key)
{
    return parseAddressAt(node, key, node.string(key));
}

std::vector<Address> readAddresses(SettingsNode &node, std::string_view key)
{
    const auto texts = node.strings(key);
    std::vector<Address> addresses;
    std::ranges::transform(texts, std::back_inserter(addresses), [&](const std::string &text) {
        return parseAddressAt(node, key, text);
    });
    return addresses;
}

} // namespace Camphor
