#include "DispatchWorld.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Camphor;

namespace {

enum class Kind { Repeatable, NotRepeatable, Job };
enum class Moment { Running, AfterCancel, AfterDeadline };
enum class Place { Target, Peer };

/// The first attempt ends with 'attemptOutcome'; later attempts are reported as Completed.
struct FaultCase
{
    Place place;
    Moment moment;
    AttemptOutcome attemptOutcome;
    Kind kind;
    Outcome outcome;
    int attempts;
    std::uint32_t started;
};

constexpr auto Completed = AttemptOutcome::Completed;
constexpr auto Failed = AttemptOutcome::Failed;
constexpr auto Unknown = AttemptOutcome::Unknown;
constexpr auto NotStarted = AttemptOutcome::NotStarted;

std::vector<FaultCase> makeTable()
{
    std::vector<FaultCase> table;
    for (const auto place : {Place::Target, Place::Peer}) {
        for (const auto kind : {Kind::Repeatable, Kind::NotRepeatable, Kind::Job}) {
            const auto isRepeatable = kind == Kind::Repeatable;
            const auto running = [&](AttemptOutcome attemptOutcome, Outcome outcome, int attempts,
                                     std::uint32_t started) {
                table.push_back(
                    {place, Moment::Running, attemptOutcome, kind, outcome, attempts, started});
            };
            running(Completed, Outcome::Completed, 1, 1);
            running(Failed, isRepeatable ? Outcome::Completed : Outcome::Failed,
                    isRepeatable ? 2 : 1, isRepeatable ? 2 : 1);
            running(Unknown, isRepeatable ? Outcome::Completed : Outcome::Unknown,
                    isRepeatable ? 2 : 1, isRepeatable ? 2 : 1);
            running(NotStarted, Outcome::Completed, 2, 1);
            const auto cancelled = [&](AttemptOutcome attemptOutcome, Outcome outcome,
                                       std::uint32_t started) {
                table.push_back(
                    {place, Moment::AfterCancel, attemptOutcome, kind, outcome, 1, started});
            };
            cancelled(Completed, Outcome::Completed, 1);
            cancelled(Failed, Outcome::Failed, 1);
            cancelled(Unknown, Outcome::Unknown, 1);
            cancelled(NotStarted, Outcome::NotRun, 0);
            for (const auto attemptOutcome : {Completed, Failed, Unknown, NotStarted})
                table.push_back(
                    {place, Moment::AfterDeadline, attemptOutcome, kind, Outcome::Unknown, 1, 1});
        }
    }
    return table;
}

/// A dispatcher with either targets or peers, and one request.
class FaultScenario
{
public:
    explicit FaultScenario(const FaultCase &it)
        : m_case(it)
        , m_dispatcher(makeSettings(),
                       Declaration::parse("test", "services:\n  - name: a\n").value(),
                       Milliseconds{0})
    {
        if (it.place == Place::Target)
            for (int n = 0; n < 4; ++n) {
                TargetAnnouncement target;
                target.id = "t" + std::to_string(n);
                target.services = {{"a", 1}};
                apply(m_dispatcher.targetAnnounced(target, m_now));
            }
        else
            for (const auto *name : {"p1", "p2"})
                apply(m_dispatcher.peerDigest(peer(name), m_now));
    }

    void run()
    {
        std::vector<TaskSpec> tasks;
        for (std::uint32_t n = 0; n < (m_case.kind == Kind::Job ? 2U : 1U); ++n) {
            TaskSpec task;
            task.handle = n + 1;
            task.requestId = "r";
            task.service = "a";
            task.deadline = Milliseconds{1000};
            task.isRepeatable = m_case.kind != Kind::NotRepeatable;
            task.isJobTask = m_case.kind == Kind::Job;
            task.taskIndex = n;
            tasks.push_back(task);
        }
        apply(m_dispatcher.submit(tasks, m_now));
        REQUIRE(m_attempts[1] == 1);
        m_now = Milliseconds{100};
        if (m_case.moment == Moment::AfterCancel)
            apply(m_dispatcher.cancelRequest("r", m_now));
        if (m_case.moment == Moment::AfterDeadline) {
            m_now = Milliseconds{2000};
            apply(m_dispatcher.tick(m_now));
        }
        report(1, 1, m_case.attemptOutcome);
        // The pause after NotStarted has ended, and a second attempt completes.
        m_now += Milliseconds{200};
        apply(m_dispatcher.tick(m_now));
        if (m_attempts[1] == 2)
            report(1, 2, Completed);
        // A duplicate report changes nothing.
        report(1, 1, Completed);
    }

    std::optional<FinishTask> m_end;
    std::map<TaskHandle, int> m_attempts;

private:
    static DispatcherSettings makeSettings()
    {
        DispatcherSettings settings;
        settings.instance = "e";
        settings.domain = "d";
        return settings;
    }

    static Digest peer(const std::string &name)
    {
        Digest digest;
        digest.instance = name;
        digest.domain = "d";
        digest.pools = {{"default", 8, 8, 1, 0, 0, {{"a", 8, 8, 0, 200}}, {}}};
        return digest;
    }

    void report(TaskHandle handle, std::uint32_t attempt, AttemptOutcome outcome)
    {
        const AttemptReport report{attempt, outcome, Milliseconds{50}, "x", 1};
        apply(m_case.place == Place::Target ? m_dispatcher.attemptFinished(handle, report, m_now)
                                            : m_dispatcher.forwardFinished(handle, report, m_now));
    }

    void apply(const Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                CHECK(start->attempt == static_cast<unsigned>(++m_attempts[start->handle]));
            if (const auto *forward = std::get_if<ForwardTask>(&action))
                CHECK(forward->attempt == static_cast<unsigned>(++m_attempts[forward->handle]));
            const auto *finish = std::get_if<FinishTask>(&action);
            if (finish != nullptr && finish->handle == 1) {
                CHECK_FALSE(m_end.has_value());
                m_end = *finish;
            }
        }
    }

    FaultCase m_case;
    Milliseconds m_now;
    Dispatcher m_dispatcher;
};

} // namespace

// Guards against a second start after an attempt that may have started, against a false NotRun, and
// against a fault that reaches the caller although a retry was allowed.
TEST_CASE("each fault has its outcome and number of attempts", "[dispatch]")
{
    for (const auto &it : makeTable()) {
        CAPTURE(static_cast<int>(it.place), static_cast<int>(it.moment),
                static_cast<int>(it.attemptOutcome), static_cast<int>(it.kind));
        FaultScenario scenario(it);
        scenario.run();
        REQUIRE(scenario.m_end.has_value());
        CHECK(scenario.m_end->outcome == it.outcome);
        CHECK(scenario.m_end->started == it.started);
        CHECK(scenario.m_attempts[1] == it.attempts);
    }
}
