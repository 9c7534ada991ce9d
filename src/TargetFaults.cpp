#include "TargetFaults.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <utility>

namespace Camphor {

namespace {

constexpr std::array<std::pair<TargetFault, const char *>, 8> FaultNames{{
    {TargetFault::Fail, "fail"},
    {TargetFault::Straggle, "straggle"},
    {TargetFault::Truncate, "truncate"},
    {TargetFault::Stall, "stall"},
    {TargetFault::Reset, "reset"},
    {TargetFault::AnswerTwice, "answer-twice"},
    {TargetFault::AnswerLate, "answer-late"},
    {TargetFault::Leave, "leave"},
}};

Error invalidRule(std::string_view rule)
{
    std::string names;
    for (const auto &[fault, name] : FaultNames)
        names += (names.empty() ? "" : ", ") + std::string(name);
    return Error{ErrorCode::InvalidSettings,
                 "'" + std::string(rule)
                     + "' is not a fault. Fix: write NAME=FRACTION or NAME=FRACTION:PROBABILITY "
                       "with numbers from 0 to 1; NAME is one of: "
                     + names};
}

std::optional<double> parseFraction(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || !(value >= 0 && value <= 1))
        return std::nullopt;
    return value;
}

std::optional<FaultRule> parseRule(std::string_view text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos)
        return std::nullopt;
    const auto fault = parseTargetFault(text.substr(0, equals));
    const auto values = text.substr(equals + 1);
    const auto colon = values.find(':');
    const auto fraction = parseFraction(values.substr(0, colon));
    const auto probability = colon == std::string_view::npos
        ? std::optional<double>(1.0)
        : parseFraction(values.substr(colon + 1));
    if (!fault || !fraction || !probability)
        return std::nullopt;
    return FaultRule{*fault, *fraction, *probability};
}

/// A fraction above zero chooses at least one target, so that the fault occurs in small fleets too.
std::vector<bool> chooseTargets(double fraction, std::size_t count, std::mt19937_64 &engine)
{
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::shuffle(order, engine);
    const auto chosen = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(count)));
    std::vector<bool> isChosen(count);
    std::for_each_n(order.begin(), std::min(chosen, count),
                    [&](std::size_t target) { isChosen[target] = true; });
    return isChosen;
}

} // namespace

const char *targetFaultName(TargetFault fault)
{
    const auto it = std::ranges::find(FaultNames, fault, &decltype(FaultNames)::value_type::first);
    return it == FaultNames.end() ? "unknown" : it->second;
}

std::optional<TargetFault> parseTargetFault(std::string_view name)
{
    const auto it =
        std::ranges::find_if(FaultNames, [name](const auto &item) { return name == item.second; });
    return it == FaultNames.end() ? std::nullopt : std::optional(it->first);
}

Result<FaultPlan> FaultPlan::parse(const std::string &text, std::size_t targetCount,
                                   std::uint64_t seed)
{
    FaultPlan plan;
    plan.m_engine.seed(seed);
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto item = rest.substr(0, comma);
        const auto rule = parseRule(item);
        if (!rule)
            return invalidRule(item);
        plan.m_rules.push_back(
            {*rule, chooseTargets(rule->targetFraction, targetCount, plan.m_engine)});
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return plan;
}

bool FaultPlan::affects(TargetFault fault, std::size_t target) const
{
    return std::ranges::any_of(m_rules, [&](const ChosenRule &it) {
        return it.rule.fault == fault && target < it.isChosen.size() && it.isChosen[target];
    });
}

bool FaultPlan::drawRule(const ChosenRule &it, std::size_t target)
{
    return target < it.isChosen.size() && it.isChosen[target]
        && std::bernoulli_distribution(it.rule.probability)(m_engine);
}

std::optional<TargetFault> FaultPlan::draw(std::size_t target)
{
    const auto it = std::ranges::find_if(m_rules, [&](const ChosenRule &rule) {
        return rule.rule.fault != TargetFault::Leave && drawRule(rule, target);
    });
    return it == m_rules.end() ? std::nullopt : std::optional(it->rule.fault);
}

bool FaultPlan::drawLeave(std::size_t target)
{
    return std::ranges::any_of(m_rules, [&](const ChosenRule &rule) {
        return rule.rule.fault == TargetFault::Leave && drawRule(rule, target);
    });
}

} // namespace Camphor
