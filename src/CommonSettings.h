/// @file Settings that all server programs share.
#pragma once

#include "Log.h"
#include "Settings.h"

namespace Camphor {

/// Reads the `log` mapping: level, json, decisionsPerSecond.
[[nodiscard]] LogSettings readLogSettings(SettingsNode &root);

/// Reads an address under a key. Throws UserError with the place of the key when it is malformed.
[[nodiscard]] Address readAddress(SettingsNode &node, std::string_view key);

/// Reads a list of addresses under a key.
[[nodiscard]] std::vector<Address> readAddresses(SettingsNode &node, std::string_view key);

} // namespace Camphor
