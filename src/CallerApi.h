/// @file Routes of an entry's HTTP server: validates requests and makes the responses.
#pragma once

#include "AppliedDeclaration.h"
#include "ExplainLog.h"
#include "HttpServer.h"
#include "PeerLink.h"
#include "SubmissionFlow.h"
#include "TargetDirectory.h"

#include <atomic>
#include <functional>
#include <string>

namespace Camphor {

/// Dependencies of the routes. All of them must outlive the API.
struct ApiServices
{
    const EntrySettings &settings;
    ClusterView &cluster;
    PoolSet &pools;
    JobRegistry &registry;
    SubmissionFlow &flow;
    TargetDirectory &directory;
    PeerLink &peers;
    AppliedDeclaration &declaration;
    EntryMetrics &metrics;
    ExplainLog &explain;
};

/// Handles all requests from callers, targets and operators. Thread-safe.
class CallerApi
{
public:
    explicit CallerApi(const ApiServices &services);

    void handle(HttpRequest request, const HttpRespond &respond);
    /// Makes /readyz fail from now on.
    void startDraining() { m_isDraining = true; }

private:
    using Path = std::vector<std::string>;

    void postRequest(HttpRequest request, const std::string &service, const HttpRespond &respond);
    void postJob(const HttpRequest &request, const HttpRespond &respond);
    void handleJob(const std::string &method, const std::string &key, const HttpRespond &respond);
    void getJob(const std::string &key, const HttpRespond &respond);
    void deleteJob(const std::string &key, const HttpRespond &respond);
    void postTickets(const HttpRequest &request, const HttpRespond &respond);
    void handleTarget(const HttpRequest &request, const std::string &id,
                      const HttpRespond &respond);
    void handleDeclaration(const HttpRequest &request, const HttpRespond &respond);
    void handleGet(const HttpRequest &request, const Path &path, const HttpRespond &respond);
    /// Rejects invalid input. If the key may have been used before, the response says "not run"
    /// only if the ledger does not know the key.
    void rejectInvalid(const Error &error, const std::string &key, const HttpRespond &respond);
    void respondFromLedger(const std::string &key, const ClaimReply &reply,
                           const HttpRespond &respond);
    [[nodiscard]] HttpResponse status() const;
    [[nodiscard]] HttpResponse explainRequest(const std::string &requestId) const;
    [[nodiscard]] HttpResponse readiness() const;
    [[nodiscard]] HttpResponse metricsText();

    ApiServices m_services;
    std::atomic<bool> m_isDraining{false};
};

} // namespace Camphor
