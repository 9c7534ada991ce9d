/// @file What the callers of a load run saw.
#pragma once

#include "ArrivalProcess.h"
#include "Settings.h"
#include "StandInTask.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// How a call ended for its caller.
enum class CallOutcome : std::uint8_t {
    Completed,
    Failed,
    NotRun,
    Unknown,
    CutOff, ///< The connection ended without a whole answer.
    Lost, ///< No answer until the deadline and the grace time were over.
};

/// One submission of a planned request to one entry.
struct CallRecord
{
    std::size_t plan = 0; ///< Index in the plan.
    CallOutcome outcome = CallOutcome::Lost;
    AnswerCheck answer = AnswerCheck::Whole; ///< Only of a completed call.
    Milliseconds response; ///< From the intended start to the end of the answer at the caller.
    double sentWallMs = 0; ///< When the call reached the network of the entries.
    double answeredWallMs = 0; ///< When its answer, or the end of its connection, arrived.
    Address entry;
    bool isEntryKilled = false; ///< The entry was killed on purpose in this run.
    bool isCancelled = false; ///< The caller cancelled the request.
    std::string reason; ///< Of an error answer or of a lost connection.

    auto operator<=>(const CallRecord &) const = default;
};

/// Messages that the entries counted during the run.
struct MessageCounts
{
    double all = 0;
    double wasted = 0;

    auto operator<=>(const MessageCounts &) const = default;
};

/// The whole run.
struct LoadObservation
{
    double startWallMs = 0;
    std::vector<CallRecord> calls; ///< One for each planned request, in the same order.
    MessageCounts messages;
    std::uint64_t strayAnswers = 0; ///< Bytes on callers' connections that no request asked for.
    Milliseconds latestSend; ///< The largest delay of a send after its intended instant.
};

} // namespace Camphor
