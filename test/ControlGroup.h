/// @file A control group of real processes for tests.
#pragma once

#include "TestProcess.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Camphor::Testing {

inline constexpr const char *OperatorToken = "test-token-of-the-operators";

/// Starts, kills and restarts the members, and calls their operator listeners.
class ControlGroup
{
public:
    explicit ControlGroup(int size)
    {
        m_tokenFile = m_folder.write("token", std::string(OperatorToken) + "\n");
        for (int n = 0; n < size; ++n)
            m_members.push_back(makeMember());
        for (auto &member : m_members) {
            writeSettings(member, m_members);
            TestProcess(Program, {"--settings", member.settings, "--initialise"}, logOf(member))
                .wait();
            start(member.instance);
        }
    }

    void start(const std::string &instance)
    {
        const auto &member = find(instance);
        m_processes[instance] = std::make_unique<TestProcess>(
            Program, std::vector<std::string>{"--settings", member.settings}, logOf(member));
    }

    void kill(const std::string &instance)
    {
        m_processes.at(instance)->signal(SIGKILL);
        (void)m_processes.at(instance)->wait();
    }

    TestProcess &process(const std::string &instance) { return *m_processes.at(instance); }

    /// Starts a new member that waits to be added. @return its instance name.
    std::string startWithoutState()
    {
        m_members.push_back(makeMember());
        writeSettings(m_members.back(), {m_members.back()});
        start(m_members.back().instance);
        return m_members.back().instance;
    }

    [[nodiscard]] HttpResult call(const std::string &instance, const std::string &method,
                                  const std::string &target, HttpHeaders headers = {},
                                  const std::string &body = {}) const
    {
        headers["authorization"] = std::string("Bearer ") + OperatorToken;
        return callHttp(find(instance).operatorAddress,
                        HttpRequest{method, target, std::move(headers), body}, Milliseconds{5'000});
    }

    /// Returns the current leader's response; waits until there is a leader.
    [[nodiscard]] HttpResponse callLeader(const std::string &method, const std::string &target,
                                          const HttpHeaders &headers = {},
                                          const std::string &body = {}) const
    {
        std::optional<HttpResponse> leaderResponse;
        (void)waitUntil([&] {
            for (const auto &member : m_members) {
                auto result = call(member.instance, method, target, headers, body);
                auto *response = std::get_if<HttpResponse>(&result);
                if (response == nullptr || response->status == 421 || response->status == 503)
                    continue;
                leaderResponse = std::move(*response);
                return true;
            }
            return false;
        });
        return leaderResponse.value_or(HttpResponse{0, {}, "no leader"});
    }

    [[nodiscard]] HttpResponse apply(std::uint64_t expectedVersion, const std::string &requestId,
                                     const std::string &text) const
    {
        return callLeader("PUT", "/v1/declaration",
                          {{"if-match", "\"" + std::to_string(expectedVersion) + "\""},
                           {"idempotency-key", requestId}},
                          text);
    }

    [[nodiscard]] nlohmann::json status(const std::string &instance) const
    {
        const auto result = call(instance, "GET", "/v1/control/status");
        const auto *response = std::get_if<HttpResponse>(&result);
        return response == nullptr ? nlohmann::json::object()
                                   : nlohmann::json::parse(response->body);
    }

    /// Returns the instance that reports itself as the leader; waits until there is one.
    [[nodiscard]] std::string leader() const
    {
        std::string name;
        (void)waitUntil([&] {
            for (const auto &member : m_members) {
                if (status(member.instance).value("role", "") == "leader")
                    name = member.instance;
            }
            return !name.empty();
        });
        return name;
    }

    [[nodiscard]] std::vector<std::string> instances() const
    {
        std::vector<std::string> names;
        names.reserve(m_members.size());
        for (const auto &member : m_members)
            names.push_back(member.instance);
        return names;
    }
    [[nodiscard]] std::vector<Address> rpcAddresses() const
    {
        std::vector<Address> addresses;
        addresses.reserve(m_members.size());
        for (const auto &member : m_members)
            addresses.push_back(member.address);
        return addresses;
    }
    [[nodiscard]] Address operatorAddress(const std::string &instance) const
    {
        return find(instance).operatorAddress;
    }
    [[nodiscard]] Address rpcAddress(const std::string &instance) const
    {
        return find(instance).address;
    }
    [[nodiscard]] const std::string &tokenFile() const { return m_tokenFile; }
    [[nodiscard]] const TemporaryFolder &folder() const { return m_folder; }
    [[nodiscard]] std::string logText(const std::string &instance) const
    {
        std::ifstream file(logOf(find(instance)));
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    static constexpr const char *Program = "camphorspindle-control";

    struct Member
    {
        std::string instance;
        Address address;
        Address operatorAddress;
        std::string settings;
    };

    Member makeMember()
    {
        return {"control-" + std::to_string(++m_lastMember),
                {"127.0.0.1", freePort()},
                {"127.0.0.1", freePort()},
                {}};
    }

    void writeSettings(Member &member, const std::vector<Member> &members) const
    {
        std::string text = "instance: " + member.instance + "\ncluster: test\nlisten: "
            + member.address.toString() + "\noperatorListen: " + member.operatorAddress.toString()
            + "\ntokenFile: " + m_tokenFile
            + "\ndataFolder: " + (m_folder.path() / member.instance).string() + "\nmembers:\n";
        for (const auto &it : members) {
            text += "  - {instance: " + it.instance + ", address: \"" + it.address.toString()
                + "\", operatorAddress: \"" + it.operatorAddress.toString() + "\"}\n";
        }
        member.settings = m_folder.write(member.instance + ".yaml", text);
    }

    [[nodiscard]] const Member &find(const std::string &instance) const
    {
        return *std::ranges::find(m_members, instance, &Member::instance);
    }
    [[nodiscard]] std::string logOf(const Member &member) const
    {
        return (m_folder.path() / (member.instance + ".log")).string();
    }

    TemporaryFolder m_folder;
    std::string m_tokenFile;
    std::vector<Member> m_members;
    std::map<std::string, std::unique_ptr<TestProcess>> m_processes;
    int m_lastMember = 0;
};

/// A valid declaration whose text depends on the number.
inline std::string declarationText(int number)
{
    return "services:\n  - name: echo\n    runTimeMs: " + std::to_string(number % 1'000 + 1)
        + "\n    deadlineMs: 9000\ndomains: [{name: north}, {name: south}]\n# change "
        + std::to_string(number) + "\n";
}

} // namespace Camphor::Testing
