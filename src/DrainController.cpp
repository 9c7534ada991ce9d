#include "DrainController.h"

#include "Log.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

constexpr Milliseconds PollPeriod{10};
/// Time for writing the responses to abandoned work.
constexpr Milliseconds AbandonTimeout{2'000};
/// Time for callers to close their side of connections whose responses were sent.
constexpr Milliseconds CloseTimeout{2'500};

class TimedDrain : public DrainController
{
public:
    TimedDrain(Asio::io_context &io, const DrainSettings &settings, DrainSteps steps)
        : m_settings(settings)
        , m_steps(std::move(steps))
        , m_timer(Asio::make_strand(io))
    {
    }

    void begin() override
    {
        if (m_isStarted.exchange(true))
            return;
        Log::info(LogEvent::DrainBegins);
        m_steps.failReadiness();
        wait(m_settings.readiness, [this] {
            Log::info(LogEvent::DrainStopsIntake);
            m_steps.stopAccepting();
            m_deadline = m_clock.now() + m_settings.limit;
            pollIdle();
        });
    }

private:
    void wait(Milliseconds delay, std::function<void()> next)
    {
        m_timer.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(delay.count() * 1000)));
        m_timer.async_wait([self = shared_from_this(),
                            next = std::move(next)](const boost::system::error_code &ec) {
            if (!ec)
                next();
        });
    }

    void pollIdle()
    {
        const auto now = m_clock.now();
        if (m_steps.isIdle()) {
            startClosing();
            return;
        }
        if (now >= m_deadline && !m_isAbandoned) {
            Log::warning(LogEvent::DrainOverLimit).kv("limitMs", m_settings.limit.count());
            m_isAbandoned = true;
            m_steps.abandon();
        }
        if (now >= m_deadline + AbandonTimeout)
            startClosing();
        else
            wait(PollPeriod, [this] { pollIdle(); });
    }

    void startClosing()
    {
        m_deadline = m_clock.now() + CloseTimeout;
        pollClosed();
    }

    void pollClosed()
    {
        m_steps.closeConnections();
        if (m_steps.isClosed() || m_clock.now() >= m_deadline) {
            Log::info(LogEvent::DrainEnds);
            m_steps.exit();
            return;
        }
        wait(PollPeriod, [this] { pollClosed(); });
    }

    const SteadyClock m_clock;
    const DrainSettings m_settings;
    const DrainSteps m_steps;
    Asio::steady_timer m_timer;
    std::atomic<bool> m_isStarted{false};
    bool m_isAbandoned = false;
    Milliseconds m_deadline;
};

} // namespace

std::shared_ptr<DrainController>
DrainController::make(boost::asio::io_context &io, const DrainSettings &settings, DrainSteps steps)
{
    return std::make_shared<TimedDrain>(io, settings, std::move(steps));
}

} // namespace Camphor
