// Tutorial, lesson 1: the life cycle of one task in the dispatcher.
//
// The dispatcher only makes decisions: it has no sockets, threads or clock. This lesson acts as its
// caller: it reports events to the dispatcher and executes the actions that are returned.
//
// Build and run it with:
//     make build && build/release/bin/Lesson01Dispatcher

#include "Dispatcher.h"

#include <iostream>
#include <string>

using namespace Camphor;
using namespace Camphor::Literals;

namespace {

// Prints the actions that matter in this lesson. An entry sends messages instead.
void print(const Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<StartAttempt>(&action)) {
            std::cout << "  start task " << start->handle << " on " << start->target << " ("
                      << start->reason << ")\n";
        } else if (const auto *finish = std::get_if<FinishTask>(&action)) {
            std::cout << "  task " << finish->handle << " is " << outcomeName(finish->outcome)
                      << (finish->reason.empty() ? "" : ": ") << finish->reason << "\n";
        }
    }
}

} // namespace

int main()
{
    // Operators describe services in a declaration. Fields that are not specified have defaults.
    const auto declaration = Declaration::parse("lesson.yaml", R"(
services:
  - name: leaf-quote
    repeatable: true
    runTimeMs: 100
domains:
  - name: north
)")
                                 .value();

    // Time is an argument of every call, so that a test or a lesson can control it.
    Milliseconds now{0};
    DispatcherSettings settings;
    settings.instance = "entry-1";
    settings.domain = "north";
    Dispatcher dispatcher(settings, declaration, now);

    // There is no configured list of targets: a target announces itself, with its slots for each
    // service.
    std::cout << "A target with one slot announces itself.\n";
    TargetAnnouncement announcement;
    announcement.id = "bench-1";
    announcement.address = Address{"127.0.0.1", 9001};
    announcement.services = {{"leaf-quote", 1}};
    announcement.worker = "worker-1";
    announcement.domain = "north";
    print(dispatcher.targetAnnounced(announcement, now));

    // The target has one slot, so the second task is queued.
    std::cout << "Two tasks are submitted.\n";
    TaskSpec first;
    first.handle = 1;
    first.requestId = "request-1";
    first.service = "leaf-quote";
    first.team = "gilders";
    first.deadline = now + 1_s;
    first.isRepeatable = true;
    auto second = first;
    second.handle = 2;
    second.requestId = "request-2";
    print(dispatcher.submit({first, second}, now));

    // The caller of the dispatcher reports the end of the first attempt. This frees the slot, and
    // the second task starts.
    now += 120_ms;
    std::cout << "After 120 ms the first task is answered.\n";
    AttemptReport report;
    report.attempt = 1;
    report.outcome = AttemptOutcome::Completed;
    report.runTime = 120_ms;
    print(dispatcher.attemptFinished(1, report, now));

    // The connection of the second attempt is lost after it was sent. Whether it ran is not known,
    // and the only target has already been tried, so the outcome is unknown.
    now += 50_ms;
    std::cout << "After 50 ms more the connection of the second task is lost.\n";
    report.outcome = AttemptOutcome::Unknown;
    report.reason = "connection-lost";
    print(dispatcher.attemptFinished(2, report, now));
    return 0;
}
