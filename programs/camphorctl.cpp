/// @file camphorctl: the command-line tool for operators.
#include "CommandLine.h"
#include "CommonSettings.h"
#include "ControlSettings.h"
#include "Declaration.h"
#include "Ids.h"
#include "LogTimeline.h"
#include "OperatorClient.h"
#include "TextDiff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <ranges>
#include <sstream>
#include <thread>

namespace {

using namespace Camphor;
using Json = nlohmann::json;

enum ExitCode {
    Success = 0,
    Different = 1, ///< diff found differences, or a call failed for another reason.
    Invalid = 2, ///< Wrong usage, settings or declaration; nothing was changed.
    Conflict = 3, ///< Another change was accepted first; nothing was changed.
    Unavailable = 4, ///< No response; nothing was changed.
    Unknown = 5, ///< The change may have been accepted; retry with the same --request-id.
    NotInForce = 6, ///< Accepted, but not in force on all entries within the timeout.
    Refused = 7, ///< Missing or wrong token.
};

constexpr const char *Summary =
    "Shows and changes a deployment.\n\n"
    "Commands:\n"
    "  check FILE            Validate a declaration.\n"
    "  diff FILE             Compare the declaration in force with a file.\n"
    "  apply FILE [--wait]   Put a declaration in force.\n"
    "  show                  Print the declaration in force, or that of --version-number.\n"
    "  history               List the accepted versions.\n"
    "  status                Show control members, ledgers and entries.\n"
    "  drain TARGET          Stop sending new work to a target.\n"
    "  explain REQUEST       Show the state of a request and the reasons for it.\n"
    "  logs REQUEST FILE...  Merge the lines of several logs about a request by time; - reads\n"
    "                        standard input.\n"
    "  member add INSTANCE RPC-ADDRESS OPERATOR-ADDRESS\n"
    "  member remove INSTANCE\n\n"
    "Exit codes: 0 success, 1 differences or failure, 2 wrong usage or declaration, 3 conflict,\n"
    "4 unavailable (nothing changed), 5 outcome unknown (retry with the same --request-id),\n"
    "6 accepted but not yet in force everywhere, 7 wrong token.";

/// A text table whose columns are as wide as their longest cell.
class Table
{
public:
    explicit Table(std::vector<std::string> header) { add(std::move(header)); }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

    void print() const
    {
        std::vector<std::size_t> widths(m_rows.front().size(), 0);
        for (const auto &row : m_rows) {
            for (std::size_t n = 0; n < row.size(); ++n)
                widths[n] = std::max(widths[n], row[n].size());
        }
        for (const auto &row : m_rows) {
            for (std::size_t n = 0; n < row.size(); ++n) {
                const bool isLast = n + 1 == row.size();
                std::cout << row[n]
                          << (isLast ? "" : std::string(widths[n] - row[n].size() + 2, ' '));
            }
            std::cout << "\n";
        }
    }

private:
    std::vector<std::vector<std::string>> m_rows;
};

std::string readText(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file) {
        throw UserError(Error{ErrorCode::InvalidDeclaration,
                              path + ": cannot be read. Fix: check the path and its permissions"});
    }
    text << file.rdbuf();
    return text.str();
}

std::string toText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string formatTime(double wallMs)
{
    const auto seconds = static_cast<std::time_t>(wallMs / 1000);
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%d %H:%M:%SZ");
    return text.str();
}

std::vector<Address> splitAddresses(const std::string &text)
{
    std::vector<Address> addresses;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        addresses.push_back(Address::parse(item).value());
    return addresses;
}

OperatorSettings readOperatorSettings(const CommandLine &line)
{
    OperatorSettings settings;
    auto tokenFile = line.value("token-file");
    if (line.has("settings")) {
        auto root = SettingsNode::load(line.value("settings")).value();
        settings.control = readAddresses(root, "control");
        settings.entries = readAddresses(root, "entries");
        const auto fromSettings = root.string("tokenFile", "");
        tokenFile = tokenFile.empty() ? fromSettings : tokenFile;
        (void)readLogSettings(root);
        root.checkNoUnknownKeys();
    }
    if (line.has("control"))
        settings.control = splitAddresses(line.value("control"));
    if (line.has("entries"))
        settings.entries = splitAddresses(line.value("entries"));
    if (!tokenFile.empty())
        settings.token = ControlSettings::readToken(tokenFile);
    if (line.has("timeout")) {
        char *end = nullptr;
        const auto text = line.value("timeout");
        const double seconds = std::strtod(text.c_str(), &end);
        if (end == text.c_str() || *end != '\0' || !(seconds > 0 && seconds <= 3'600)) {
            throw UserError(Error{ErrorCode::InvalidSettings,
                                  "--timeout '" + text
                                      + "' is not a number of seconds. Fix: write 0.1 to 3600"});
        }
        settings.timeout = Milliseconds{seconds * 1000};
    }
    return settings;
}

/// One invocation of the tool.
class Command
{
public:
    explicit Command(CommandLine line)
        : m_line(std::move(line))
        , m_client(readOperatorSettings(m_line))
        , m_isJson(m_line.has("json"))
    {
    }

    int run()
    {
        const std::map<std::string, std::pair<std::size_t, std::function<int()>>> commands{
            {"check", {1, [this] { return check(); }}},
            {"diff", {1, [this] { return diff(); }}},
            {"apply", {1, [this] { return apply(); }}},
            {"show", {0, [this] { return show(); }}},
            {"history", {0, [this] { return history(); }}},
            {"status", {0, [this] { return status(); }}},
            {"drain", {1, [this] { return drain(); }}},
            {"explain", {1, [this] { return explain(); }}},
            {"logs", {2, [this] { return logs(); }}},
            {"member", {2, [this] { return member(); }}}};
        const auto name = m_line.arguments.empty() ? std::string() : m_line.arguments.front();
        const auto it = commands.find(name);
        const bool isVariadic = name == "member" || name == "logs";
        const auto count = m_line.arguments.size() - (m_line.arguments.empty() ? 0 : 1);
        if (it == commands.end()
            || (isVariadic ? count < it->second.first : count != it->second.first)) {
            std::cerr
                << "camphorctl: unknown command or wrong number of arguments. Fix: see 'camphorctl "
                   "--help'\n";
            return Invalid;
        }
        return it->second.second();
    }

private:
    [[nodiscard]] const std::string &argument(std::size_t n = 0) const
    {
        return m_line.arguments.at(n + 1);
    }

    int check()
    {
        const auto declaration = Declaration::parse(argument(), readText(argument()));
        if (!declaration) {
            if (m_isJson)
                std::cout << Json{{"valid", false}, {"error", declaration.error().message}} << "\n";
            else
                std::cerr << declaration.error().message << "\n";
            return Invalid;
        }
        const auto &value = declaration.value();
        if (m_isJson) {
            std::cout << Json{{"valid", true}, {"services", value.services().size()}} << "\n";
        } else {
            std::cout << argument() << ": valid, " << value.services().size() << " services, "
                      << value.teams().size() << " teams, " << value.domains().size()
                      << " failure domains, " << value.ledgers().size() << " ledgers\n";
        }
        return Success;
    }

    /// Sends a request to the leader. Without a 2xx response it prints the reason, sets the exit
    /// code and returns nothing.
    std::optional<HttpResponse> sendToLeader(const HttpRequest &request, int &exitCode)
    {
        auto result = m_client.callLeader(request);
        if (const auto *failure = std::get_if<HttpFailure>(&result)) {
            const bool isUnknown = failure->maybeSent && request.method != "GET";
            exitCode = isUnknown ? Unknown : Unavailable;
            std::cerr << "camphorctl: " << failure->error.message
                      << (isUnknown ? ". The change may have been accepted. Fix: retry "
                                      "with the same --request-id"
                                    : ". Nothing was changed. Fix: check that a majority of the "
                                      "control members is running")
                      << "\n";
            return std::nullopt;
        }
        auto response = std::get<HttpResponse>(std::move(result));
        if (response.status < 300)
            return response;
        exitCode = exitCodeOf(response.status);
        const auto body = Json::parse(response.body, nullptr, false);
        if (m_isJson)
            std::cout << response.body << "\n";
        else
            std::cerr << "camphorctl: "
                      << (body.is_object() ? body.value("reason", response.body) : response.body)
                      << "\n";
        return std::nullopt;
    }

    static int exitCodeOf(int status)
    {
        switch (status) {
        case 401:
            return Refused;
        case 409:
            return Conflict;
        case 400:
        case 422:
        case 428:
            return Invalid;
        default:
            return Different;
        }
    }

    static std::uint64_t versionOf(const HttpResponse &response)
    {
        const auto tag = std::string(response.header("etag"));
        return tag.size() < 3 ? 0 : std::stoull(tag.substr(1));
    }

    [[nodiscard]] HttpRequest getDeclaration() const
    {
        const auto version = m_line.value("version-number");
        return {"GET", "/v1/declaration" + (version.empty() ? "" : "?version=" + version), {}, {}};
    }

    int show()
    {
        int code = Success;
        const auto response = sendToLeader(getDeclaration(), code);
        if (!response)
            return code;
        if (m_isJson)
            std::cout << Json{{"version", versionOf(*response)}, {"text", response->body}} << "\n";
        else
            std::cout << response->body;
        return Success;
    }

    int diff()
    {
        const auto text = readText(argument());
        int code = Success;
        const auto response = sendToLeader(getDeclaration(), code);
        if (!response)
            return code;
        constexpr std::size_t ContextLines = 3;
        const auto changes = formatDiff(diffLines(response->body, text), ContextLines);
        const bool isEqual = response->body == text;
        if (m_isJson) {
            std::cout << Json{{"version", versionOf(*response)},
                              {"equal", isEqual},
                              {"diff", changes}}
                      << "\n";
        } else if (!isEqual) {
            std::cout << "--- version " << versionOf(*response) << "\n+++ " << argument() << "\n"
                      << (changes.empty() ? "(only line ends differ)\n" : changes);
        }
        return isEqual ? Success : Different;
    }

    int apply()
    {
        const auto text = readText(argument());
        const auto declaration = Declaration::parse(argument(), text);
        if (!declaration) {
            std::cerr << declaration.error().message << "\n";
            return Invalid;
        }
        if (m_line.has("wait") && m_client.settings().entries.empty()) {
            std::cerr << "camphorctl: --wait needs the addresses of the entries. Fix: give "
                         "--entries or a "
                         "settings file with 'entries'\n";
            return Invalid;
        }
        int code = Success;
        auto expected = m_line.value("expected-version");
        if (expected.empty()) {
            const auto current = sendToLeader({"GET", "/v1/declaration", {}, {}}, code);
            if (!current)
                return code;
            expected = std::to_string(versionOf(*current));
        }
        const auto requestId = m_line.value("request-id", makeRandomId());
        if (!m_isJson)
            std::cerr << "request id " << requestId << "\n";
        const auto response =
            sendToLeader({"PUT",
                          "/v1/declaration",
                          {{"if-match", "\"" + expected + "\""}, {"idempotency-key", requestId}},
                          text},
                         code);
        if (!response)
            return code;
        const auto version = versionOf(*response);
        if (!m_line.has("wait")) {
            if (m_isJson)
                std::cout << response->body << "\n";
            else
                std::cout << "accepted as version " << version << "\n";
            return Success;
        }
        return waitInForce(version);
    }

    /// The status of each entry by address; null for entries without a response.
    std::map<std::string, Json> entryStatuses()
    {
        constexpr Milliseconds Timeout{1'000};
        std::map<std::string, Json> statuses;
        for (const auto &entry : m_client.settings().entries) {
            const auto result = m_client.call(entry, {"GET", "/v1/status", {}, {}}, Timeout);
            const auto *response = std::get_if<HttpResponse>(&result);
            auto body = response != nullptr && response->status == 200
                ? Json::parse(response->body, nullptr, false)
                : Json();
            statuses[entry.toString()] = body.is_object() ? std::move(body) : Json();
        }
        return statuses;
    }

    int waitInForce(std::uint64_t version)
    {
        const SteadyClock clock;
        const auto end = clock.now() + m_client.settings().timeout;
        for (;;) {
            const auto statuses = entryStatuses();
            std::vector<std::string> missing;
            for (const auto &[address, status] : statuses) {
                if (!status.is_object()
                    || status.value("declarationVersion", std::uint64_t{0}) < version)
                    missing.push_back(address);
            }
            const auto inForceCount = statuses.size() - missing.size();
            const bool isDone = missing.empty();
            if (isDone || clock.now() >= end) {
                printInForce(version, inForceCount, statuses.size(), missing);
                return isDone ? Success : NotInForce;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }

    void printInForce(std::uint64_t version, std::size_t inForceCount, std::size_t entryCount,
                      const std::vector<std::string> &missing) const
    {
        if (m_isJson) {
            std::cout << Json{{"version", version},
                              {"inForce", inForceCount},
                              {"entries", entryCount},
                              {"missing", missing}}
                      << "\n";
            return;
        }
        std::cout << "version " << version << " in force on " << inForceCount << " of "
                  << entryCount << "\n";
        for (const auto &address : missing)
            std::cout << "not in force on " << address << "\n";
    }

    int history()
    {
        int code = Success;
        const auto response =
            sendToLeader({"GET", "/v1/history?limit=" + m_line.value("limit", "20"), {}, {}}, code);
        if (!response)
            return code;
        if (m_isJson) {
            std::cout << response->body << "\n";
            return Success;
        }
        Table table({"VERSION", "ACCEPTED", "BYTES", "TEXT", "REQUEST"});
        const auto body = Json::parse(response->body);
        for (const auto &it : body["versions"])
            table.add({toText(it["version"]), formatTime(it["timeMs"].get<double>()),
                       toText(it["bytes"]), it["isKept"] == true ? "kept" : "dropped",
                       toText(it["requestId"])});
        table.print();
        return Success;
    }

    int status()
    {
        constexpr Milliseconds Timeout{1'000};
        Json members = Json::object();
        bool isRefused = false;
        Json leader;
        for (const auto &address : m_client.settings().control) {
            const auto result =
                m_client.call(address, {"GET", "/v1/control/status", {}, {}}, Timeout);
            const auto *response = std::get_if<HttpResponse>(&result);
            isRefused |= response != nullptr && response->status == 401;
            auto body = response != nullptr && response->status == 200
                ? Json::parse(response->body, nullptr, false)
                : Json();
            if (body.is_object() && body.value("role", "") == "leader")
                leader = body;
            members[address.toString()] = std::move(body);
        }
        const auto entries = entryStatuses();
        if (m_isJson) {
            std::cout << Json{{"control", members}, {"entries", entries}} << "\n";
        } else {
            printMembers(members);
            if (leader.is_object())
                printLeaderView(leader);
            printEntries(entries);
        }
        if (isRefused)
            return Refused;
        return leader.is_object() || m_client.settings().control.empty() ? Success : Unavailable;
    }

    static void printMembers(const Json &members)
    {
        if (members.empty())
            return;
        Table table({"CONTROL", "INSTANCE", "ROLE", "TERM", "VERSION", "COMMITTED", "CURRENT"});
        for (const auto &[address, it] : members.items()) {
            if (it.is_object())
                table.add({address, toText(it["instance"]), toText(it["role"]), toText(it["term"]),
                           toText(it["version"]), toText(it["commitIndex"]),
                           it["isCurrent"] == true ? "yes" : "no"});
            else
                table.add({address, "-", "no response", "-", "-", "-", "-"});
        }
        table.print();
        for (const auto &[address, it] : members.items()) {
            if (it.is_object() && it["hasLostDisk"] == true)
                std::cout << "warning: " << address
                          << " lost its disk; remove it and add one with a new name\n";
        }
    }

    static void printLeaderView(const Json &leader)
    {
        for (const auto &warning : leader["warnings"])
            std::cout << "warning: " << toText(warning) << "\n";
        for (const auto &member : leader["members"]) {
            if (member["voter"] != true)
                std::cout << "member " << toText(member["instance"]) << " is catching up\n";
        }
        if (leader["replicaSets"].empty())
            return;
        std::cout << "\n";
        Table table({"LEDGER DOMAIN", "EPOCH", "PRIMARY", "BACKUPS", "BUCKETS"});
        for (const auto &[domain, set] : leader["replicaSets"].items()) {
            const auto buckets = leader["buckets"].value(domain, Json::object());
            table.add({domain, toText(set["epoch"]), toText(set["primary"]), set["backups"].dump(),
                       toText(buckets.value("count", Json(0)))});
        }
        table.print();
    }

    static void printEntries(const std::map<std::string, Json> &entries)
    {
        if (entries.empty())
            return;
        std::cout << "\n";
        Table table({"ENTRY", "INSTANCE", "DOMAIN", "VERSION", "TARGETS", "DRAINING"});
        for (const auto &[address, it] : entries) {
            const auto field = [&status = it](const char *key) {
                return toText(status.value(key, Json("-")));
            };
            if (it.is_object())
                table.add({address, field("instance"), field("domain"), field("declarationVersion"),
                           field("ownedTargets"), field("draining")});
            else
                table.add({address, "-", "no response", "-", "-", "-"});
        }
        table.print();
    }

    /// Sends a request to the entries in turn until one gives a 2xx response, or to all of them if
    /// sendToAll is set.
    int callEntries(const std::string &method, const std::string &target, bool sendToAll)
    {
        if (m_client.settings().entries.empty()) {
            std::cerr << "camphorctl: no entry addresses. Fix: give --entries or a settings file "
                         "with 'entries'\n";
            return Invalid;
        }
        constexpr Milliseconds Timeout{2'000};
        bool hasResponse = false;
        bool isDone = false;
        for (const auto &entry : m_client.settings().entries) {
            const auto result = m_client.call(entry, {method, target, {}, {}}, Timeout);
            const auto *response = std::get_if<HttpResponse>(&result);
            hasResponse |= response != nullptr;
            if (response == nullptr || response->status >= 300)
                continue;
            isDone = true;
            if (sendToAll)
                continue;
            printResponse(*response);
            break;
        }
        if (!isDone)
            std::cerr << "camphorctl: "
                      << (hasResponse ? "no entry completed the request\n"
                                      : "no entry responded\n");
        return isDone ? Success : hasResponse ? Different : Unavailable;
    }

    void printResponse(const HttpResponse &response) const
    {
        const auto body = Json::parse(response.body, nullptr, false);
        if (m_isJson || !body.is_object()) {
            std::cout << response.body << "\n";
            return;
        }
        for (const auto &[key, value] : body.items()) {
            if (!value.is_array()) {
                std::cout << key << ": " << toText(value) << "\n";
                continue;
            }
            std::cout << key << ":\n";
            for (const auto &item : value) {
                std::cout << " ";
                for (const auto &[name, field] : item.items())
                    std::cout << " " << name << "=" << toText(field);
                std::cout << "\n";
            }
        }
    }

    int drain()
    {
        // Each entry gets the request, because only the owner sends work to the target and the
        // owner can change.
        const int code = callEntries("DELETE", "/v1/targets/" + argument(), true);
        if (code == Success && !m_isJson)
            std::cout << argument() << " receives no new work\n";
        return code;
    }

    int explain() { return callEntries("GET", "/v1/explain/" + argument(), false); }

    /// Works without the network, because during an incident the logs may be all that is available.
    int logs()
    {
        std::vector<LogSource> sources;
        std::ranges::transform(
            m_line.arguments | std::views::drop(2), std::back_inserter(sources),
            [](const std::string &path) { return LogSource{path, readText(path)}; });
        const auto entries = requestTimeline(sources, argument());
        if (entries.empty()) {
            std::cerr << "camphorctl: no log line contains the request. Fix: give the logs of all "
                         "entries; 'lines-left-out' lines show how many lines were not written\n";
            return Different;
        }
        for (const auto &entry : entries) {
            if (m_isJson) {
                std::cout << Json{{"source", entry.source},
                                  {"time", entry.timeSeconds},
                                  {"line", entry.text}}
                          << "\n";
            } else {
                std::cout << std::fixed << std::setprecision(3) << entry.timeSeconds << ' '
                          << entry.source << ": " << entry.text << "\n";
            }
        }
        return Success;
    }

    int member()
    {
        const auto &arguments = m_line.arguments;
        const bool isAdd = arguments[1] == "add" && arguments.size() == 5;
        if (!isAdd && (arguments[1] != "remove" || arguments.size() != 3)) {
            std::cerr << "camphorctl: use 'member add INSTANCE RPC-ADDRESS OPERATOR-ADDRESS' or "
                         "'member remove INSTANCE'\n";
            return Invalid;
        }
        HttpRequest request{
            isAdd ? "PUT" : "DELETE", "/v1/control/members/" + arguments[2], {}, {}};
        if (isAdd)
            request.body =
                Json{{"address", arguments[3]}, {"operatorAddress", arguments[4]}}.dump();
        int code = Success;
        const auto response = sendToLeader(request, code);
        if (response && !m_isJson)
            std::cout << arguments[2]
                      << (isAdd ? " is added; it votes once it has caught up\n" : " is removed\n");
        return response ? Success : code;
    }

    CommandLine m_line;
    OperatorClient m_client;
    bool m_isJson;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorctl", [&] {
        const CommandLineSpec spec{
            "camphorctl",
            Summary,
            "COMMAND [options]",
            {{"settings", "FILE", "Settings file with control, entries and tokenFile."},
             {"control", "LIST", "Operator addresses of the control members."},
             {"entries", "LIST", "Caller addresses of the entries."},
             {"token-file", "FILE", "File whose first line is the operators' token."},
             {"json", "", "Print JSON."},
             {"wait", "", "apply: wait until the change is in force on all entries."},
             {"expected-version", "N",
              "apply: the version that the change is based on (default: current)."},
             {"request-id", "ID", "apply: request id of an earlier attempt to retry."},
             {"version-number", "N", "show, diff: an earlier version."},
             {"limit", "N", "history: maximum number of versions to list (default 20)."},
             {"timeout", "SECONDS", "Timeout of a command (default 15)."}}};
        return Command(parseCommandLine(spec, argc, argv)).run();
    });
}
