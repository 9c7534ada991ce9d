#include "OptionValues.h"

#include "Result.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <sstream>

namespace Camphor {

namespace {

template <typename T>
T parseNumber(const std::string &name, const std::string &text, T min, T max)
{
    T value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || !(value >= min && value <= max)) {
        std::ostringstream message;
        message << "option --" << name << ": '" << text
                << "' is not valid. Fix: give a number from " << min << " to " << max;
        throw UserError({ErrorCode::InvalidSettings, message.str()});
    }
    return value;
}

Address parseAddress(const std::string &name, const std::string &text)
{
    const auto address = Address::parse(text);
    if (!address) {
        throw UserError(
            {ErrorCode::InvalidSettings, "option --" + name + ": " + address.error().message});
    }
    return address.value();
}

} // namespace

long OptionValues::integer(const std::string &name, long fallback, long min, long max) const
{
    return m_line.has(name) ? parseNumber(name, m_line.value(name), min, max) : fallback;
}

double OptionValues::number(const std::string &name, double fallback, double min, double max) const
{
    return m_line.has(name) ? parseNumber(name, m_line.value(name), min, max) : fallback;
}

Address OptionValues::address(const std::string &name, const std::string &fallback) const
{
    return parseAddress(name, m_line.value(name, fallback));
}

std::vector<std::string> OptionValues::list(const std::string &name) const
{
    std::vector<std::string> items;
    std::istringstream text(m_line.value(name));
    for (std::string item; std::getline(text, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

std::vector<Address> OptionValues::addresses(const std::string &name) const
{
    const auto texts = list(name);
    std::vector<Address> all;
    std::ranges::transform(texts, std::back_inserter(all),
                           [&](const std::string &text) { return parseAddress(name, text); });
    return all;
}

} // namespace Camphor
