#include "Http.h"

#include <charconv>
#include <utility>

namespace Camphor {

namespace {

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view{} : std::string_view{it->second};
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned char value = 0;
        const char *first = text.data() + n + 1;
        if (text[n] == '%' && n + 2 < text.size()
            && std::from_chars(first, first + 2, value, 16).ptr == first + 2) {
            decoded.push_back(static_cast<char>(value));
            n += 2;
        } else {
            decoded.push_back(text[n]);
        }
    }
    return decoded;
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view{target}.substr(0, target.find('?'));
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

HttpResponse makeResponse(int status, std::string contentType, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = std::move(contentType);
    response.body = std::move(body);
    return response;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (slash != 0)
            segments.push_back(percentDecode(path.substr(0, slash)));
        path = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
    }
    return segments;
}

} // namespace Camphor
