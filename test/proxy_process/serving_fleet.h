/** \file
 * Nine node processes that serve requests of callers, for process tests.
 */
#pragma once

#include "platform_standins.h"

namespace pomelohub {

inline nlohmann::json configuration(int version)
{
    return makeConfiguration(version, { "browse", "bids", "photos" },
        { { "r1", "/browse/", "browse", true }, { "r2", "/bids/", "bids", false } }, { "k1", "k2" });
}

inline std::vector<std::string> nineServices()
{
    return { "browse", "bids", "photos", "browse", "bids", "photos", "browse", "bids", "photos" };
}

/** A fleet that serves on every node. */
struct serving_fleet : proxy_fleet {
    explicit serving_fleet(const nlohmann::json& extra = nlohmann::json::object())
        : proxy_fleet(nineServices(), extra)
    {
        configure(configuration(1));
        for (std::size_t node = 0; node < size(); ++node) {
            REQUIRE(waitFor([&] { return isReady(node) && knownNodes(node) == static_cast<int>(size()); }));
            REQUIRE(
                waitFor([&] { return serves(node, "/browse/x", "k1") && serves(node, "/bids/x", "k1"); }));
        }
    }

    std::string nextId() { return "q" + std::to_string(++m_lastId); }

    int statusOf(std::size_t node, const std::string& target, const std::string& key)
    {
        auto answer = send(node, target.starts_with("/bids") ? "POST" : "GET", target, nextId(), key);
        return answer ? answer->status : 0;
    }

    bool serves(std::size_t node, const std::string& target, const std::string& key)
    {
        return statusOf(node, target, key) == 200;
    }

    bool allAnswer(const std::string& target, const std::string& key, int status)
    {
        for (std::size_t node = 0; node < size(); ++node) {
            if (statusOf(node, target, key) != status)
                return false;
        }
        return true;
    }

private:
    int m_lastId = 0;
};

} // namespace pomelohub
