#include "EntryBalancer.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Camphor {

namespace {

constexpr std::chrono::milliseconds CheckInterval{250};
constexpr Milliseconds CheckTimeout{1'000};

class CheckingBalancer : public EntryBalancer, public std::enable_shared_from_this<CheckingBalancer>
{
public:
    CheckingBalancer(boost::asio::io_context &io, std::shared_ptr<HttpClient> client,
                     const std::vector<Address> &entries)
        : m_timer(io)
        , m_client(std::move(client))
    {
        std::ranges::transform(entries, std::back_inserter(m_entries),
                               [](const Address &address) { return Entry{address, true}; });
    }

    Address next(const std::optional<Address> &avoid) override
    {
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            const auto &entry = m_entries[m_nextIndex++ % m_entries.size()];
            if (entry.isReady && entry.address != avoid)
                return entry.address;
        }
        return m_entries[m_nextIndex++ % m_entries.size()].address;
    }

    void markRefused(const Address &entry) override { setReady(entry, false); }

    void stop() override
    {
        m_isStopped = true;
        m_timer.cancel();
    }

    void checkAll()
    {
        for (const auto &entry : m_entries)
            checkEntry(entry.address);
        m_timer.expires_after(CheckInterval);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec && !self->m_isStopped)
                self->checkAll();
        });
    }

private:
    struct Entry
    {
        Address address;
        bool isReady;
    };

    void checkEntry(const Address &address)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/readyz";
        m_client->send(address, std::move(request), CheckTimeout,
                       [self = shared_from_this(), address](const HttpResult &result) {
                           const auto *response = std::get_if<HttpResponse>(&result);
                           self->setReady(address, response != nullptr && response->status < 500);
                       });
    }

    void setReady(const Address &address, bool isReady)
    {
        const auto it = std::ranges::find(m_entries, address, &Entry::address);
        if (it != m_entries.end())
            it->isReady = isReady;
    }

    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpClient> m_client;
    std::vector<Entry> m_entries;
    std::size_t m_nextIndex = 0;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<EntryBalancer> EntryBalancer::make(boost::asio::io_context &io,
                                                   std::shared_ptr<HttpClient> client,
                                                   const std::vector<Address> &entries)
{
    auto balancer = std::make_shared<CheckingBalancer>(io, std::move(client), entries);
    balancer->checkAll();
    return balancer;
}

} // namespace Camphor
