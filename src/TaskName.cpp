#include "TaskName.h"

#include <charconv>

namespace Camphor {

namespace {

std::optional<std::size_t> parseIndex(std::string_view text)
{
    std::size_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string taskName(const std::string &jobId, std::size_t step, std::size_t index)
{
    return taskNamePrefix(jobId, step) + std::to_string(index);
}

std::string taskNamePrefix(const std::string &jobId, std::size_t step)
{
    return jobId + ".0." + std::to_string(step) + '.';
}

std::optional<TaskPlace> parseTaskName(std::string_view name)
{
    const auto last = name.rfind('.');
    if (last == std::string_view::npos || last == 0)
        return std::nullopt;
    const auto middle = name.rfind('.', last - 1);
    const auto first = name.find('.');
    if (middle == std::string_view::npos || first >= middle)
        return std::nullopt;
    const auto index = parseIndex(name.substr(last + 1));
    const auto step = parseIndex(name.substr(middle + 1, last - middle - 1));
    if (!index || !step)
        return std::nullopt;
    return TaskPlace{std::string(name.substr(0, first)), *step, *index};
}

} // namespace Camphor
