#include "LedgerHome.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Camphor {

namespace {

bool isAlphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

} // namespace

std::optional<Ticket> Ticket::parse(std::string_view key)
{
    if (!key.starts_with("t-"))
        return std::nullopt;
    // Parsed from the end, because the name of a domain may contain '-'.
    const auto randomDash = key.rfind('-');
    if (randomDash < 4)
        return std::nullopt;
    const auto timeDash = key.rfind('-', randomDash - 1);
    if (timeDash == std::string_view::npos || timeDash < 3)
        return std::nullopt;
    Ticket ticket;
    ticket.domain = key.substr(2, timeDash - 2);
    const auto time = key.substr(timeDash + 1, randomDash - timeDash - 1);
    const auto [end, ec] =
        std::from_chars(time.data(), time.data() + time.size(), ticket.issueTimeMs);
    ticket.random = key.substr(randomDash + 1);
    const bool isValid = ec == std::errc() && end == time.data() + time.size()
        && ticket.issueTimeMs >= 0 && !ticket.random.empty()
        && std::ranges::all_of(ticket.random, isAlphanumeric);
    // A non-canonical spelling, such as leading zeros, would give the same ticket a second key.
    if (!isValid || ticket.toString() != key)
        return std::nullopt;
    return ticket;
}

std::string Ticket::toString() const
{
    return "t-" + domain + "-" + std::to_string(issueTimeMs) + "-" + random;
}

std::size_t bucketOf(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size()) % KeyBuckets;
}

BucketMap BucketMap::spread(std::vector<std::string> domains)
{
    std::ranges::sort(domains);
    BucketMap map;
    for (std::size_t bucket = 0; !domains.empty() && bucket < KeyBuckets; ++bucket)
        map.m_domains.push_back(domains[bucket * domains.size() / KeyBuckets]);
    return map;
}

BucketMap BucketMap::moved(std::size_t bucket, const std::string &domain) const
{
    BucketMap map = *this;
    map.m_domains.at(bucket) = domain;
    return map;
}

BucketMap BucketMap::of(std::vector<std::string> homes)
{
    BucketMap map;
    if (homes.size() == KeyBuckets)
        map.m_domains = std::move(homes);
    return map;
}

std::string BucketMap::homeDomainOf(std::string_view key) const
{
    if (const auto ticket = Ticket::parse(key))
        return ticket->domain;
    return m_domains.empty() ? std::string() : m_domains[bucketOf(key)];
}

} // namespace Camphor
