/// @file The stored instances: read back after a restart, and ignored if the file is damaged.
#include "InstanceFile.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

std::vector<InstanceReport> makeReports()
{
    std::vector<InstanceReport> reports;
    for (const auto *id : {"i-1", "i-2"}) {
        InstanceReport report;
        report.key = {id, 1'700'000'000'000};
        report.sequence = 7;
        report.service = "service";
        report.address = "127.0.0.1:1";
        report.domain = "north";
        report.capacity = {32'000, 1'024, 0};
        report.labels = {"a", "r-1"};
        reports.push_back(report);
    }
    return reports;
}

std::string readAll(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

TEST_CASE("instances are read back as they were stored", "[instances]")
{
    TemporaryFolder folder;
    const InstanceFile file(folder.path().string());
    REQUIRE(file.read());
    CHECK(file.read().value().empty());
    REQUIRE(file.write(makeReports()).isOk());
    REQUIRE(file.read());
    CHECK(file.read().value() == makeReports());
    REQUIRE(file.write({}).isOk());
    CHECK(file.read().value().empty());
}

TEST_CASE("a file torn by a power failure is an error and yields no instance", "[instances]")
{
    // Guards against starts on instances that were never reported.
    TemporaryFolder folder;
    const InstanceFile file(folder.path().string());
    REQUIRE(file.write(makeReports()).isOk());
    const auto path = folder.path() / "instances";
    const auto content = readAll(path.string());
    for (std::size_t size = 0; size < content.size(); ++size) {
        std::ofstream(path, std::ios::binary | std::ios::trunc) << content.substr(0, size);
        CHECK_FALSE(file.read().isOk());
    }
    for (std::size_t n = 0; n < content.size(); ++n) {
        auto damaged = content;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x20);
        std::ofstream(path, std::ios::binary | std::ios::trunc) << damaged;
        CHECK_FALSE(file.read().isOk());
    }
}

TEST_CASE("a folder that cannot be written is an error", "[instances]")
{
    CHECK_FALSE(InstanceFile("/no/such/folder").write(makeReports()).isOk());
}
