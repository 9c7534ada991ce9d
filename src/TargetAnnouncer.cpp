#include "TargetAnnouncer.h"

#include <utility>

#include "Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace Camphor {

namespace {

constexpr Milliseconds AnnounceTimeout{1'000};
constexpr double DefaultHeartbeatMs = 1'000;
constexpr double MinHeartbeatMs = 50;
constexpr double MaxHeartbeatMs = 60'000;
/// While entries disagree about the owner, following every response could loop forever.
constexpr int MaxOwnerRedirects = 2;

class HttpTargetAnnouncer : public TargetAnnouncer,
                            public std::enable_shared_from_this<HttpTargetAnnouncer>
{
public:
    HttpTargetAnnouncer(boost::asio::io_context &io, std::shared_ptr<HttpClient> client,
                        const std::string &targetId, std::vector<Address> entries, BodySource body)
        : m_timer(io)
        , m_client(std::move(client))
        , m_path("/v1/targets/" + targetId)
        , m_entries(std::move(entries))
        , m_body(std::move(body))
    {
    }

    void announceNow() override
    {
        if (m_isStopped || m_entries.empty())
            return;
        scheduleNext();
        m_attemptsLeft = m_entries.size() + 1;
        m_redirectsLeft = MaxOwnerRedirects;
        announceTo(m_owner.host.empty() ? m_entries[m_nextEntry] : m_owner);
    }

    void leave(std::function<void()> onDone) override
    {
        m_isStopped = true;
        m_timer.cancel();
        if (m_entries.empty()) {
            onDone();
            return;
        }
        HttpRequest request;
        request.method = "DELETE";
        request.target = m_path;
        m_client->send(m_owner.host.empty() ? m_entries[m_nextEntry] : m_owner, std::move(request),
                       AnnounceTimeout,
                       [onDone = std::move(onDone)](const HttpResult &) { onDone(); });
    }

private:
    void scheduleNext()
    {
        m_timer.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(m_heartbeatMs * 1000.0)));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->announceNow();
        });
    }

    void announceTo(const Address &entry)
    {
        HttpRequest request;
        request.method = "PUT";
        request.target = m_path;
        request.headers["content-type"] = "application/json";
        request.body = m_body();
        m_client->send(entry, std::move(request), AnnounceTimeout,
                       [self = shared_from_this(), entry](const HttpResult &result) {
                           self->onResponse(entry, result);
                       });
    }

    void onResponse(const Address &entry, const HttpResult &result)
    {
        if (m_isStopped)
            return;
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != 200) {
            tryNext(entry);
            return;
        }
        const auto json = nlohmann::json::parse(response->body, nullptr, false);
        if (!json.is_object())
            return;
        m_owner = entry;
        if (const auto it = json.find("heartbeatMs"); it != json.end() && it->is_number())
            m_heartbeatMs = std::clamp(it->get<double>(), MinHeartbeatMs, MaxHeartbeatMs);
        if (const auto it = json.find("owner"); it != json.end() && it->is_string())
            followOwner(entry, it->get<std::string>());
    }

    void followOwner(const Address &entry, const std::string &ownerText)
    {
        const auto owner = Address::parse(ownerText);
        if (!owner || owner.value() == entry || m_redirectsLeft-- <= 0)
            return;
        m_owner = owner.value();
        announceTo(m_owner);
    }

    void tryNext(const Address &failed)
    {
        Log::warning(LogEvent::AnnounceFailed).kv("path", m_path).kv("entry", failed.toString());
        m_owner = {};
        m_nextEntry = (m_nextEntry + 1) % m_entries.size();
        if (m_entries[m_nextEntry] == failed)
            m_nextEntry = (m_nextEntry + 1) % m_entries.size();
        if (--m_attemptsLeft > 0)
            announceTo(m_entries[m_nextEntry]);
    }

    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpClient> m_client;
    std::string m_path;
    std::vector<Address> m_entries;
    BodySource m_body;
    Address m_owner;
    std::size_t m_nextEntry = 0;
    std::size_t m_attemptsLeft = 0;
    int m_redirectsLeft = 0;
    double m_heartbeatMs = DefaultHeartbeatMs;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<TargetAnnouncer>
TargetAnnouncer::make(boost::asio::io_context &io, std::shared_ptr<HttpClient> client,
                      const std::string &targetId, std::vector<Address> entries, BodySource body)
{
    return std::make_shared<HttpTargetAnnouncer>(io, std::move(client), targetId,
                                                 std::move(entries), std::move(body));
}

} // namespace Camphor
