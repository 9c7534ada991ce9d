#include "ControlSettings.h"

#include "CommonSettings.h"

#include <fstream>
#include <set>

namespace Camphor {

namespace {

constexpr std::size_t MinTokenBytes = 16;
constexpr std::size_t MaxMembers = 7;

std::vector<RaftMember> readMembers(SettingsNode &root, const std::string &instance)
{
    std::vector<RaftMember> members;
    std::set<std::string> names;
    std::set<Address> addresses;
    for (auto &node : root.list("members")) {
        RaftMember member;
        member.instance = node.string("instance");
        const auto address = readAddress(node, "address");
        member.address = address.toString();
        member.operatorAddress = readAddress(node, "operatorAddress").toString();
        node.checkNoUnknownKeys();
        if (!names.insert(member.instance).second) {
            throw UserError(node.errorAt("instance", "'" + member.instance + "' is listed twice",
                                         "remove one of the two"));
        }
        if (!addresses.insert(address).second) {
            throw UserError(node.errorAt("address", member.address + " is listed twice",
                                         "give each member its own address"));
        }
        members.push_back(std::move(member));
    }
    if (!names.contains(instance)) {
        throw UserError(root.errorAt("members", "this instance '" + instance + "' is not listed",
                                     "add it with address and operatorAddress"));
    }
    if (members.size() == 2 || members.size() > MaxMembers) {
        throw UserError(root.errorAt(
            "members", "a group has 3 to 7 members, found " + std::to_string(members.size()),
            "list 3, 5 or 7 members (1 for evaluation only)"));
    }
    return members;
}

} // namespace

std::string ControlSettings::readToken(const std::string &path)
{
    std::ifstream file(path);
    std::string token;
    if (!file || !std::getline(file, token)) {
        throw UserError(Error{ErrorCode::InvalidSettings,
                              path
                                  + ": cannot read a token. Fix: write one line of at least 16 "
                                    "random characters, readable by this user only"});
    }
    while (!token.empty() && (token.back() == '\r' || token.back() == ' '))
        token.pop_back();
    if (token.size() < MinTokenBytes) {
        throw UserError(Error{ErrorCode::InvalidSettings,
                              path
                                  + ":1:1: the token is shorter than 16 characters. Fix: write a "
                                    "longer random one"});
    }
    return token;
}

ControlSettings ControlSettings::load(const std::string &path)
{
    auto root = SettingsNode::load(path).value();
    ControlSettings settings;
    settings.instance = root.string("instance");
    settings.cluster = root.string("cluster");
    settings.listen = readAddress(root, "listen");
    settings.operatorListen = readAddress(root, "operatorListen");
    settings.dataFolder = root.string("dataFolder");
    const auto tokenFile = root.string("tokenFile");
    settings.members = readMembers(root, settings.instance);
    settings.log = readLogSettings(root);
    root.checkNoUnknownKeys();
    try {
        settings.token = readToken(tokenFile);
    } catch (const UserError &e) {
        throw UserError(root.errorAt("tokenFile", e.what(), "see above"));
    }
    return settings;
}

} // namespace Camphor
