/// @file HTTP messages, independent of the HTTP library.
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

/// Header fields, keyed by lower-case name.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// Content type of error responses (RFC 7807).
inline constexpr const char *ProblemContentType = "application/problem+json";

/// Tells the handler of a request whether its caller has closed the connection.
class CallerConnection
{
public:
    CallerConnection() = default;
    /// @param hasClosed whether the caller has closed the connection, also if the server has not
    /// read that yet.
    explicit CallerConnection(std::function<bool()> hasClosed)
        : m_hasClosed(std::move(hasClosed))
    {
    }

    /// Sets the callback for a disconnect. It is called at most once, on the thread that reads the
    /// connection.
    void setOnDisconnect(std::function<void()> onDisconnect)
    {
        m_onDisconnect = std::move(onDisconnect);
    }
    void notifyDisconnect()
    {
        m_isDisconnected = true;
        if (const auto onDisconnect = std::exchange(m_onDisconnect, nullptr))
            onDisconnect();
    }

    /// Returns whether the caller has disconnected and can no longer receive the response. Looks at
    /// the connection, because a process that was paused has not read yet what happened meanwhile.
    [[nodiscard]] bool isDisconnected() const
    {
        return m_isDisconnected || (m_hasClosed && m_hasClosed());
    }

private:
    std::function<bool()> m_hasClosed;
    std::function<void()> m_onDisconnect;
    bool m_isDisconnected = false;
};

/// A request as a server receives it or a client sends it.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;
    /// Set by a server that detects disconnects of its callers; null otherwise.
    std::shared_ptr<CallerConnection> caller = nullptr;

    /// Returns the value of a header (lower-case name), or an empty string.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Returns the path without the query.
    [[nodiscard]] std::string_view path() const;

    auto operator<=>(const HttpRequest &) const = default;
};

/// A complete response; partial responses are never represented.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;

    auto operator<=>(const HttpResponse &) const = default;
};

/// Makes a response with a content type.
[[nodiscard]] HttpResponse makeResponse(int status, std::string contentType, std::string body);

/// Splits a path into its segments: "/v1/jobs/7" gives {"v1", "jobs", "7"}, percent-decoded.
[[nodiscard]] std::vector<std::string> splitPath(std::string_view path);

} // namespace Camphor
