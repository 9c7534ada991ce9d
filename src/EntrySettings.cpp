#include "EntrySettings.h"

namespace Camphor {

namespace {

constexpr double MaxDrainMs = 3'600'000.0;

PeerSettings readPeer(SettingsNode &node)
{
    PeerSettings peer{node.string("instance"), node.string("domain"), readAddress(node, "listen"),
                      readAddress(node, "rpc"), readAddress(node, "digest")};
    node.checkNoUnknownKeys();
    return peer;
}

EntryLimits readLimits(SettingsNode node)
{
    EntryLimits limits;
    const auto read = [&node](std::string_view key, std::size_t fallback, long min, long max) {
        return static_cast<std::size_t>(node.integer(key, static_cast<long>(fallback), min, max));
    };
    limits.maxBodyBytes = read("maxBodyBytes", limits.maxBodyBytes, 1, 1L << 30);
    limits.maxHeaderBytes = read("maxHeaderBytes", limits.maxHeaderBytes, 512, 1L << 20);
    limits.maxConnections = read("maxConnections", limits.maxConnections, 1, 1'000'000);
    limits.maxQueuedTasks = read("maxQueuedTasks", limits.maxQueuedTasks, 1, 100'000'000);
    node.checkNoUnknownKeys();
    return limits;
}

DrainSettings readDrain(SettingsNode node)
{
    DrainSettings drain;
    drain.readiness =
        Milliseconds{node.number("readinessMs", drain.readiness.count(), 0, MaxDrainMs)};
    drain.limit = Milliseconds{node.number("limitMs", drain.limit.count(), 0, MaxDrainMs)};
    node.checkNoUnknownKeys();
    return drain;
}

void readPeers(SettingsNode &root, EntrySettings &settings)
{
    for (auto &node : root.list("peers"))
        settings.peers.push_back(readPeer(node));
    if (root.has("rpcListen"))
        settings.rpcListen = readAddress(root, "rpcListen");
    if (root.has("digestListen"))
        settings.digestListen = readAddress(root, "digestListen");
    if (settings.peers.empty())
        return;
    for (const auto *key : {"rpcListen", "digestListen"}) {
        if (!root.has(key)) {
            throw UserError(root.errorAt("peers", std::string("peers need the key '") + key + "'",
                                         std::string("add '") + key + ": IP:PORT'"));
        }
    }
}

void readDeclarationSource(SettingsNode &root, EntrySettings &settings)
{
    settings.control = readAddresses(root, "control");
    settings.declarationFile = root.string("declaration", "");
    if (settings.control.empty() == settings.declarationFile.empty()) {
        throw UserError(
            root.errorAt(settings.control.empty() ? "" : "declaration",
                         "exactly one of 'control' and 'declaration' is required",
                         "set the addresses of the control group, or a declaration file"));
    }
}

EntrySettings readAll(SettingsNode &root)
{
    EntrySettings settings;
    settings.instance = root.string("instance");
    settings.cluster = root.string("cluster");
    settings.domain = root.string("domain");
    settings.listen = readAddress(root, "listen");
    settings.threads = static_cast<int>(root.integer("threads", settings.threads, 1, 64));
    settings.dataFolder = root.string("dataFolder", "");
    readPeers(root, settings);
    readDeclarationSource(root, settings);
    auto dispatch = root.child("dispatch");
    settings.placement = dispatch.choice("placement", settings.placement,
                                         {"owner", "random", "round-robin", "probe-two"});
    settings.queue = dispatch.choice("queue", settings.queue, {"fair", "fifo"});
    dispatch.checkNoUnknownKeys();
    settings.limits = readLimits(root.child("limits"));
    settings.drain = readDrain(root.child("drain"));
    settings.log = readLogSettings(root);
    root.checkNoUnknownKeys();
    return settings;
}

} // namespace

Result<EntrySettings> EntrySettings::load(const std::string &path)
{
    auto document = SettingsNode::load(path);
    if (!document)
        return document.error();
    try {
        auto root = std::move(document).value();
        return readAll(root);
    } catch (const UserError &e) {
        return e.error();
    }
}

} // namespace Camphor
