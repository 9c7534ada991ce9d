#include "Settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace Camphor {

namespace {

std::string position(const std::string &name, const YAML::Mark &mark)
{
    if (mark.is_null())
        return name;
    return name + ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1);
}

std::string joinChoices(const std::vector<std::string> &choices)
{
    std::string text;
    for (const auto &choice : choices)
        text += (text.empty() ? "" : ", ") + choice;
    return text;
}

} // namespace

SettingsNode::SettingsNode(std::shared_ptr<const std::string> name, std::string path,
                           std::shared_ptr<YAML::Node> node)
    : m_name(std::move(name))
    , m_path(std::move(path))
    , m_node(std::move(node))
    , m_knownKeys(std::make_shared<std::set<std::string>>())
{
    // yaml-cpp stores both of two equal keys and reads the first one.
    std::set<std::string> seen;
    for (const auto &key : keys()) {
        if (!seen.insert(key).second)
            throw UserError(errorAt(key, "duplicate key", "remove one of the two"));
    }
}

Result<SettingsNode> SettingsNode::parse(const std::string &name, const std::string &text)
{
    try {
        auto node = std::make_shared<YAML::Node>(YAML::Load(text));
        if (!node->IsMap()) {
            return Error{ErrorCode::InvalidSettings,
                         name + ":1:1: expected a mapping of keys. Fix: write 'key: value' lines"};
        }
        return SettingsNode{std::make_shared<const std::string>(name), "", std::move(node)};
    } catch (const UserError &e) {
        return e.error();
    } catch (const YAML::Exception &e) {
        return Error{ErrorCode::InvalidSettings,
                     position(name, e.mark) + ": " + e.msg + ". Fix: correct the YAML syntax"};
    }
}

Result<SettingsNode> SettingsNode::load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorCode::InvalidSettings,
                     path + ": cannot be read. Fix: check the path and its permissions"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(path, text.str());
}

std::string SettingsNode::pathOf(std::string_view key) const
{
    if (key.empty())
        return m_path;
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

Error SettingsNode::errorAt(std::string_view key, const std::string &problem,
                            const std::string &fix) const
{
    YAML::Mark mark = m_node->Mark();
    if (!key.empty() && m_node->IsMap()) {
        for (const auto &entry : *m_node) {
            if (entry.first.Scalar() == key)
                mark = entry.first.Mark();
        }
    }
    return Error{ErrorCode::InvalidSettings,
                 position(*m_name, mark) + ": key '" + pathOf(key) + "': " + problem
                     + ". Fix: " + fix};
}

bool SettingsNode::has(std::string_view key) const
{
    return m_node->IsMap() && (*m_node)[std::string(key)].IsDefined();
}

std::optional<std::string> SettingsNode::scalar(std::string_view key)
{
    m_knownKeys->emplace(key);
    if (!has(key))
        return std::nullopt;
    const auto node = (*m_node)[std::string(key)];
    if (!node.IsScalar())
        throw UserError(errorAt(key, "expected a single value", "write one value after the key"));
    return node.Scalar();
}

std::string SettingsNode::string(std::string_view key)
{
    auto text = scalar(key);
    if (!text)
        throw UserError(errorAt("", "key '" + pathOf(key) + "' is missing", "add it"));
    return *text;
}

std::string SettingsNode::string(std::string_view key, std::string_view fallback)
{
    return scalar(key).value_or(std::string(fallback));
}

double SettingsNode::number(std::string_view key, double fallback, double min, double max)
{
    const auto text = scalar(key);
    if (!text)
        return fallback;
    double value = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (ec != std::errc{} || end != text->data() + text->size() || !std::isfinite(value)
        || value < min || value > max) {
        std::ostringstream range;
        range << "a number from " << min << " to " << max;
        throw UserError(errorAt(key, "expected " + range.str() + ", found '" + *text + "'",
                                "write " + range.str()));
    }
    return value;
}

long SettingsNode::integer(std::string_view key, long fallback, long min, long max)
{
    const auto text = scalar(key);
    if (!text)
        return fallback;
    long value = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (ec != std::errc{} || end != text->data() + text->size() || value < min || value > max) {
        const auto range = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
        throw UserError(
            errorAt(key, "expected " + range + ", found '" + *text + "'", "write " + range));
    }
    return value;
}

bool SettingsNode::boolean(std::string_view key, bool fallback)
{
    return choice(key, fallback ? "true" : "false", {"true", "false"}) == "true";
}

std::string SettingsNode::choice(std::string_view key, std::string_view fallback,
                                 const std::vector<std::string> &choices)
{
    const auto text = scalar(key);
    if (!text)
        return std::string(fallback);
    if (std::ranges::find(choices, *text) == choices.end()) {
        throw UserError(
            errorAt(key, "unknown value '" + *text + "'", "use one of: " + joinChoices(choices)));
    }
    return *text;
}

std::vector<std::string> SettingsNode::strings(std::string_view key)
{
    std::vector<std::string> values;
    for (const auto &item : list(key))
        values.push_back(item.text());
    return values;
}

SettingsNode SettingsNode::child(std::string_view key)
{
    m_knownKeys->emplace(key);
    if (!has(key)) {
        return {m_name, pathOf(key), std::make_shared<YAML::Node>(YAML::Node(YAML::NodeType::Map))};
    }
    auto node = std::make_shared<YAML::Node>((*m_node)[std::string(key)]);
    if (!node->IsMap()) {
        throw UserError(
            errorAt(key, "expected a mapping", "write indented 'key: value' lines below it"));
    }
    return {m_name, pathOf(key), std::move(node)};
}

std::vector<SettingsNode> SettingsNode::list(std::string_view key)
{
    m_knownKeys->emplace(key);
    std::vector<SettingsNode> items;
    if (!has(key))
        return items;
    const auto node = (*m_node)[std::string(key)];
    if (!node.IsSequence())
        throw UserError(errorAt(key, "expected a list", "write '- item' lines below the key"));
    for (const auto &item : node) {
        const auto path = pathOf(key) + "[" + std::to_string(items.size()) + "]";
        items.push_back(SettingsNode{m_name, path, std::make_shared<YAML::Node>(item)});
    }
    return items;
}

std::vector<std::string> SettingsNode::keys() const
{
    std::vector<std::string> names;
    if (!m_node->IsMap())
        return names;
    for (const auto &entry : *m_node)
        names.push_back(entry.first.Scalar());
    return names;
}

std::string SettingsNode::text() const
{
    if (!m_node->IsScalar())
        throw UserError(errorAt("", "expected a single value", "write one value"));
    return m_node->Scalar();
}

void SettingsNode::checkNoUnknownKeys() const
{
    const auto names = keys();
    const auto unknown = std::ranges::find_if(
        names, [this](const auto &name) { return !m_knownKeys->contains(name); });
    if (unknown == names.end())
        return;
    const std::vector<std::string> known(m_knownKeys->begin(), m_knownKeys->end());
    throw UserError(
        errorAt(*unknown, "unknown key", "remove it, or use one of: " + joinChoices(known)));
}

Result<Address> Address::parse(const std::string &text)
{
    const auto invalid = [&text] {
        return Error{ErrorCode::InvalidSettings,
                     "'" + text
                         + "' is not an address. Fix: write IP:PORT, such as 127.0.0.1:8080"};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return invalid();
    unsigned port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(first, last, port);
    if (ec != std::errc{} || end != last || port > 65535)
        return invalid();
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    return Address{std::move(host), static_cast<std::uint16_t>(port)};
}

std::string Address::toString() const
{
    const bool isV6 = host.find(':') != std::string::npos;
    return (isV6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

} // namespace Camphor
