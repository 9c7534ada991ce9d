/// @file Checked reading of YAML text. Every error names file, line, column, key and a fix.
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
/// reports the keys that nothing has read. All reading functions throw UserError.
class SettingsNode
{
public:
    /// Parses text. @param name the file name for error messages.
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
    /// A value that must be one of the choices.
    [[nodiscard]] std::string choice(std::string_view key, std::string_view fallback,
                                     const std::vector<std::string> &choices);
    [[nodiscard]] std::vector<std::string> strings(std::string_view key);
    /// The mapping below a key; an empty mapping if the key is absent.
    [[nodiscard]] SettingsNode child(std::string_view key);
    /// The items of a list; empty if the key is absent.
    [[nodiscard]] std::vector<SettingsNode> list(std::string_view key);
    /// The keys of this mapping in the order of the text.
    [[nodiscard]] std::vector<std::string> keys() const;
    /// This item itself as text, for lists of plain values.
    [[nodiscard]] std::string text() const;

    /// Throws UserError for the first key that no call has read.
    void checkNoUnknownKeys() const;

    /// An error at a key of this mapping (or at the mapping itself when the key is empty).
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
    std::shared_ptr<std::set<std::string>> m_read;
};

/// A TCP or UDP address: IP number and port.
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
