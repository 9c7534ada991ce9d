#include "Outcome.h"

#include <utility>

namespace Camphor {

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Completed:
        return "completed";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

TaskResult::TaskResult(Outcome outcome, std::string body, std::string reason)
    : m_outcome(outcome)
    , m_body(std::move(body))
    , m_reason(std::move(reason))
{
}

TaskResult TaskResult::notRun(std::string reason)
{
    return {Outcome::NotRun, {}, std::move(reason)};
}

TaskResult TaskResult::completed(std::string body)
{
    return {Outcome::Completed, std::move(body), {}};
}

TaskResult TaskResult::failed(std::string reason)
{
    return {Outcome::Failed, {}, std::move(reason)};
}

TaskResult TaskResult::unknown(std::string reason)
{
    return {Outcome::Unknown, {}, std::move(reason)};
}

} // namespace Camphor
