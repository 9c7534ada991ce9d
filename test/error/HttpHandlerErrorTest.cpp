/// @file An unexpected error in the handler of a request.
#include "HttpServer.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

using namespace Camphor;
using namespace Camphor::Testing;

TEST_CASE("an exception of a handler ends the request and not the process", "[http]")
{
    // Guards against one unexpected message that takes the whole process down.
    HttpServerSettings settings;
    settings.listen = {"127.0.0.1", freePort()};
    boost::asio::io_context io;
    const auto server =
        HttpServer::make(io, settings, [](const HttpRequest &request, const HttpRespond &respond) {
            if (request.path() == "/bad")
                throw std::runtime_error("unexpected");
            respond(makeResponse(200, "text/plain", ""));
        }).value();
    std::thread thread([&] { io.run(); });
    const auto statusOf = [&](const char *path) {
        HttpRequest request;
        request.method = "GET";
        request.target = path;
        const auto result = callHttp(settings.listen, request);
        const auto *response = std::get_if<HttpResponse>(&result);
        return response == nullptr ? 0 : response->status;
    };
    CHECK(statusOf("/bad") == 500);
    CHECK(statusOf("/good") == 200);
    io.stop();
    thread.join();
}
