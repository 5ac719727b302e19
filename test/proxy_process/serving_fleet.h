/** \file
 * Nine node processes that serve requests of callers, for process tests.
 */
#pragma once

#include "platform_standins.h"

namespace pomelohub {

inline nlohmann::json configuration(int version)
{
    nlohmann::json services = nlohmann::json::array();
    for (const char* name : { "browse", "bids", "photos" })
        services.push_back({ { "name", name }, { "health_check_path", "/health" } });
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back({ { "name", "r1" }, { "path_prefix", "/browse/" }, { "route_type", "safe" },
        { "timeout_s", 3 }, { "target_latency_s", 1 }, { "service", "browse" }, { "max_attempts", 2 } });
    routes.push_back({ { "name", "r2" }, { "path_prefix", "/bids/" }, { "route_type", "unsafe" },
        { "timeout_s", 3 }, { "target_latency_s", 1 }, { "service", "bids" }, { "max_attempts", 2 } });
    return { { "version", "r" + std::to_string(version) }, { "services", services },
        { "virtual_hosts", nlohmann::json::array({ { { "host", "shop.example" }, { "paths", routes } } }) },
        { "tenants", nlohmann::json::array({ { { "name", "guild" }, { "api_keys", { "k1", "k2" } } } }) } };
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
