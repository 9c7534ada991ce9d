/// @file Settings shared by all server programs.
#pragma once

#include "Log.h"
#include "Settings.h"

namespace Camphor {

/// Reads the `log` mapping: level, json, decisionsPerSecond.
[[nodiscard]] LogSettings readLogSettings(SettingsNode &root);

/// Reads the address at a key. Throws UserError with the position of the key if it is malformed.
[[nodiscard]] Address readAddress(SettingsNode &node, std::string_view key);

/// Reads the list of addresses at a key.
[[nodiscard]] std::vector<Address> readAddresses(SettingsNode &node, std::string_view key);

} // namespace Camphor
