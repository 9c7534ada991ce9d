/// @file Validating access to YAML text. Every error names file, line, column, key and a fix.
#pragma once

#include "Result.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
}

namespace Camphor {

/// One mapping or list item of a YAML text. Reading a key marks it as known, and checkNoUnknownKeys
/// reports the keys that were never read. All reading functions throw UserError.
class SettingsNode
{
public:
    /// Parses a text. @param name the file name for error messages.
    [[nodiscard]] static Result<SettingsNode> parse(const std::string &name,
                                                    const std::string &text);
    /// Reads and parses a file.
    [[nodiscard]] static Result<SettingsNode> load(const std::string &path);

    [[nodiscard]] bool has(std::string_view key) const;
    [[nodiscard]] std::string string(std::string_view key);
    [[nodiscard]] std::string string(std::string_view key, std::string_view fallback);
    [[nodiscard]] double number(std::string_view key, double fallback, double min, double max);
    [[nodiscard]] long integer(std::string_view key, long fallback, long min, long max);
    [[nodiscard]] bool boolean(std::string_view key, bool fallback);
    /// Reads a value that must be one of the choices.
    [[nodiscard]] std::string choice(std::string_view key, std::string_view fallback,
                                     const std::vector<std::string> &choices);
    [[nodiscard]] std::vector<std::string> strings(std::string_view key);
    /// Returns the mapping at a key; an empty mapping if the key is absent.
    [[nodiscard]] SettingsNode child(std::string_view key);
    /// Returns the items of a list; none if the key is absent.
    [[nodiscard]] std::vector<SettingsNode> list(std::string_view key);
    /// Returns the keys of this mapping in the order of the text.
    [[nodiscard]] std::vector<std::string> keys() const;
    /// Returns this item itself as text, for lists of plain values.
    [[nodiscard]] std::string text() const;

    /// Throws UserError for the first key that was never read.
    void checkNoUnknownKeys() const;

    /// Makes an error at the position of a key of this mapping (or of the mapping itself if the key
    /// is empty).
    [[nodiscard]] Error errorAt(std::string_view key, const std::string &problem,
                                const std::string &fix) const;

private:
    SettingsNode(std::shared_ptr<const std::string> name, std::string path,
                 std::shared_ptr<YAML::Node> node);

    [[nodiscard]] std::optional<std::string> scalar(std::string_view key);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    std::shared_ptr<const std::string> m_name;
    std::string m_path;
    std::shared_ptr<YAML::Node> m_node;
    std::shared_ptr<std::set<std::string>> m_knownKeys;
};

/// A TCP or UDP address: IP address and port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses "127.0.0.1:8080" or "[::1]:8080".
    [[nodiscard]] static Result<Address> parse(const std::string &text);
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const Address &) const = default;
};

} // namespace Camphor
