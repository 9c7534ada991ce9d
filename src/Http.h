/// @file Plain HTTP messages, independent of the HTTP library.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Camphor {

/// Header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// Content type of error answers (RFC 7807).
inline constexpr const char *ProblemContentType = "application/problem+json";

/// Tells the handler of a request that its caller has closed the connection.
class CallerPresence
{
public:
    /// Called at most once, on the thread that reads the connection.
    void setOnGone(std::function<void()> onGone) { m_onGone = std::move(onGone); }
    void leave()
    {
        m_hasLeft = true;
        if (const auto onGone = std::exchange(m_onGone, nullptr))
            onGone();
    }

    /// Whether nobody waits for the answer any more.
    [[nodiscard]] bool hasLeft() const { return m_hasLeft; }

private:
    std::function<void()> m_onGone;
    bool m_hasLeft = false;
};

/// A request as a server receives it or a client sends it.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;
    /// Set by a server that watches its callers; null otherwise.
    std::shared_ptr<CallerPresence> caller;

    /// The value of a header (lower-case name), or an empty string.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The path without the query.
    [[nodiscard]] std::string_view path() const;

    auto operator<=>(const HttpRequest &) const = default;
};

/// A whole response; partial ones are never represented.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;

    auto operator<=>(const HttpResponse &) const = default;
};

/// A response with a content type.
[[nodiscard]] HttpResponse makeResponse(int status, std::string contentType, std::string body);

/// Splits a path into its segments: "/v1/jobs/7" gives {"v1", "jobs", "7"}, percent-decoded.
[[nodiscard]] std::vector<std::string> splitPath(std::string_view path);

} // namespace Camphor
