/// @file The listeners of a control instance: RPC for the system's own processes, HTTP for
/// operators.
#pragma once

#include "ControlNode.h"
#include "HttpServer.h"
#include "RpcServer.h"

#include <memory>

namespace Camphor {

/// Accepts RPC calls and HTTP requests and passes them to a ControlNode.
class ControlServer : public std::enable_shared_from_this<ControlServer>
{
public:
    /// Binds both listeners and starts the node.
    [[nodiscard]] static Result<std::shared_ptr<ControlServer>>
    make(boost::asio::io_context &io, const ControlSettings &settings,
         std::unique_ptr<RaftStorage> storage, std::function<void(const Error &)> onFatal);

private:
    explicit ControlServer(const ControlSettings &settings, std::shared_ptr<ControlNode> node);

    Status listen(boost::asio::io_context &io);

    void onRpc(const Hello &peer, MessageKind kind, const std::string &payload,
               const RpcReply &reply);
    void onApply(const std::string &payload, const RpcReply &reply);
    void onCompareAndSet(const std::string &payload, const RpcReply &reply);
    void onMoveBucket(const std::string &payload, const RpcReply &reply);
    void onReadReplicaSet(const std::string &payload, const RpcReply &reply);
    void onSubscribe(const std::string &payload, const RpcReply &reply);
    void onHistory(const std::string &payload, const RpcReply &reply);

    void onHttp(const HttpRequest &request, const HttpRespond &respond);
    void onPutDeclaration(const HttpRequest &request, const HttpRespond &respond);
    void onMember(const HttpRequest &request, const std::string &instance,
                  const HttpRespond &respond);
    /// Runs a handler on the leader after a linearizable read; responds with 421 or 503 otherwise.
    void readOnLeader(const HttpRequest &request, const HttpRespond &respond,
                      std::function<HttpResponse()> buildResponse);
    [[nodiscard]] HttpResponse notLeaderResponse(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse declarationResponse(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse historyResponse(const HttpRequest &request) const;
    [[nodiscard]] std::vector<VersionRecord> newestRecords(std::size_t limit) const;

    void apply(std::string requestId, std::uint64_t expectedVersion, std::string text,
               std::function<void(ApplyReply)> callback);
    [[nodiscard]] std::string leaderAddress() const;

    ControlSettings m_settings;
    std::shared_ptr<ControlNode> m_node;
    std::shared_ptr<RpcServer> m_rpc;
    std::shared_ptr<HttpServer> m_http;
};

} // namespace Camphor
