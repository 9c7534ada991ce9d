/// @file Routes of an entry's HTTP server, and their checks and answers.
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

/// What the routes use. All of it must outlive the API.
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

/// Answers every request of a caller, a target or an operator. Thread-safe.
class CallerApi
{
public:
    explicit CallerApi(const ApiServices &services);

    void handle(HttpRequest request, const HttpRespond &respond);
    /// From now on /readyz fails.
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
    /// Refuses invalid input. With a key that may have been used, "not run" is answered only if
    /// the ledger does not know the key.
    void refuseInvalid(const Error &error, const std::string &key, const HttpRespond &respond);
    void answerStored(const std::string &key, const ClaimReply &reply, const HttpRespond &respond);
    [[nodiscard]] HttpResponse status() const;
    [[nodiscard]] HttpResponse explanation(const std::string &requestId) const;
    [[nodiscard]] HttpResponse readiness() const;
    [[nodiscard]] HttpResponse metricsText();

    ApiServices m_services;
    std::atomic<bool> m_isDraining{false};
};

} // namespace Camphor
