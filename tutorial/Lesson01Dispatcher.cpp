// Tutorial, lesson 1: the life of one task inside the dispatcher.
//
// The dispatcher decides and does nothing else: it has no socket, thread or clock. This lesson
// plays the part of the shell around it. It tells the dispatcher what happened, and carries out
// the actions that come back.
//
// Build and run it with:
//     make build && build/release/bin/Lesson01Dispatcher

#include "Dispatcher.h"

#include <iostream>
#include <string>

using namespace Camphor;
using namespace Camphor::Literals;

namespace {

// Prints the actions that matter in this lesson. A real shell sends messages instead.
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
    // Operators describe services in a declaration. Everything that is not said has a default.
    const auto declaration = Declaration::parse("lesson.yaml", R"(
services:
  - name: leaf-quote
    repeatable: true
    runTimeMs: 100
domains:
  - name: north
)")
                                 .value();

    // Time is an argument of every call, so that a test or a lesson can set it.
    Milliseconds now{0};
    DispatcherSettings settings;
    settings.instance = "entry-1";
    settings.domain = "north";
    Dispatcher dispatcher(settings, declaration, now);

    // No list of targets exists: a target announces itself, with its slots for each service.
    std::cout << "A target with one slot announces itself.\n";
    TargetAnnouncement announcement;
    announcement.id = "bench-1";
    announcement.address = Address{"127.0.0.1", 9001};
    announcement.services = {{"leaf-quote", 1}};
    announcement.worker = "worker-1";
    announcement.domain = "north";
    print(dispatcher.targetAnnounced(announcement, now));

    // Two tasks are submitted. The target has one slot, so that the second task has to wait.
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

    // The shell reports the end of the first attempt. The slot is free now, and the second starts.
    now += 120_ms;
    std::cout << "After 120 ms the first task is answered.\n";
    AttemptReport report;
    report.attempt = 1;
    report.outcome = AttemptOutcome::Completed;
    report.runTime = 120_ms;
    print(dispatcher.attemptFinished(1, report, now));

    // The second attempt's connection is lost after the send. Whether it ran is not known, and the
    // only target has been tried, so the caller is told the truth: unknown.
    now += 50_ms;
    std::cout << "After 50 ms more the connection of the second task is lost.\n";
    report.outcome = AttemptOutcome::Unknown;
    report.reason = "connection-lost";
    print(dispatcher.attemptFinished(2, report, now));
    return 0;
}
