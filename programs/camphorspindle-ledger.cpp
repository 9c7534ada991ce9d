/// @file camphorspindle-ledger: one replica of a failure domain's submission ledger.
#include "CommandLine.h"
#include "CommonSettings.h"
#include "ControlReplicaSetStore.h"
#include "ControlSubscription.h"
#include "Declaration.h"
#include "LedgerServer.h"
#include "Log.h"
#include "ProcessRunner.h"
#include "StaticReplicaSetStore.h"
#include "Time.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iostream>
#include <optional>

namespace {

using namespace Camphor;

/// How long calls in flight may take to finish during shutdown.
constexpr Milliseconds DrainLimit{2'000};

struct ProgramSettings
{
    LogSettings log;
    LedgerServerSettings server;
    std::string dataFolder;
    std::vector<Address> control;
    std::optional<ReplicaSet> replicaSet;
};

ReplicaMember readMember(SettingsNode &node)
{
    ReplicaMember member;
    member.instance = node.string("instance");
    member.address = readAddress(node, "address").toString();
    node.checkNoUnknownKeys();
    return member;
}

ReplicaSet readReplicaSet(SettingsNode node, const std::string &instance)
{
    ReplicaSet set;
    auto primary = node.child("primary");
    set.primary = readMember(primary);
    for (auto &backup : node.list("backups"))
        set.backups.push_back(readMember(backup));
    node.checkNoUnknownKeys();
    const bool isMember = set.primary.instance == instance
        || std::ranges::any_of(set.backups,
                               [&](const auto &it) { return it.instance == instance; });
    if (!isMember) {
        throw UserError(node.errorAt(
            "primary", "the replica set does not contain the instance '" + instance + "'",
            "add it as the primary or as one of the backups"));
    }
    return set;
}

ProgramSettings readSettings(const std::string &path)
{
    auto root = SettingsNode::load(path).value();
    ProgramSettings settings;
    settings.log = readLogSettings(root);
    settings.server.instance = root.string("instance");
    settings.server.cluster = root.string("cluster");
    settings.server.domain = root.string("domain");
    settings.server.listen = readAddress(root, "listen");
    settings.server.incarnation = static_cast<std::uint64_t>(wallClockMs());
    settings.dataFolder = root.string("dataFolder", "");
    if (root.has("control"))
        settings.control = readAddresses(root, "control");
    if (root.has("replicaSet"))
        settings.replicaSet = readReplicaSet(root.child("replicaSet"), settings.server.instance);
    root.checkNoUnknownKeys();
    if (settings.control.empty() != settings.replicaSet.has_value()) {
        throw UserError(root.errorAt("", "exactly one of 'control' and 'replicaSet' is required",
                                     "set 'control' to the addresses of the control group, or "
                                     "'replicaSet' to a static set"));
    }
    return settings;
}

/// Connections to the control group; empty with a static replica set.
struct ControlClients
{
    std::shared_ptr<ControlReplicaSetStore> store;
    std::shared_ptr<ControlSubscription> declarations;

    void stop() const
    {
        if (store)
            store->stop();
        if (declarations)
            declarations->stop();
    }
};

ControlClients makeControlClients(boost::asio::io_context &io, const ProgramSettings &settings)
{
    if (settings.replicaSet)
        return {};
    RpcSettings rpc;
    rpc.cluster = settings.server.cluster;
    rpc.instance = settings.server.instance;
    rpc.incarnation = settings.server.incarnation;
    return {ControlReplicaSetStore::make(io, settings.control, rpc),
            ControlSubscription::make(io, settings.control, rpc)};
}

void applyDeclaration(LedgerServer &server, const VersionedDeclaration &versioned)
{
    const auto declaration = Declaration::parse("declaration", versioned.text);
    if (declaration)
        server.setRetention(declaration.value().retention());
    else
        Log::warning(LogEvent::DeclarationRefused).kv("error", declaration.error().message);
}

int run(const ProgramSettings &settings)
{
    boost::asio::io_context io;
    std::shared_ptr<SyncedFolder> folder;
    if (!settings.dataFolder.empty())
        folder = SyncedFolder::open(settings.dataFolder).value();
    else
        Log::warning(LogEvent::LedgerWithoutDisk)
            .kv("effect", "claims are lost when the last replica stops");
    const auto control = makeControlClients(io, settings);
    const auto makeStore = [&](const ReplicaMember &self,
                               std::uint64_t lastEpoch) -> std::shared_ptr<ReplicaSetStore> {
        if (control.store)
            return control.store;
        return std::make_shared<StaticReplicaSetStore>(*settings.replicaSet, self, lastEpoch);
    };
    const auto server = LedgerServer::make(io, settings.server, folder, makeStore).value();
    if (control.declarations) {
        control.declarations->subscribe(0, [server](const VersionedDeclaration &versioned) {
            applyDeclaration(*server, versioned);
        });
    }
    Log::info(LogEvent::Listening).kv("port", server->port());
    runUntilDrained(io, 2, [&] {
        server->drain(DrainLimit, [&] {
            control.stop();
            io.stop();
        });
    });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorspindle-ledger", [&] {
        const CommandLineSpec spec{"camphorspindle-ledger",
                                   "Stores the submission claims of one failure domain.",
                                   "--settings FILE", serverOptions()};
        const auto line = parseCommandLine(spec, argc, argv);
        if (!line.has("settings")) {
            std::cerr << "camphorspindle-ledger: --settings FILE is needed\n";
            return UsageExitCode;
        }
        const auto settings = readSettings(line.value("settings"));
        if (line.has("check"))
            return 0;
        startLog(settings.log);
        const auto code = run(settings);
        stopLog();
        return code;
    });
}
