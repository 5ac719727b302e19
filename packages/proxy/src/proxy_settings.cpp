#include "proxy_settings.h"

#include "peer_forwarder.h"

namespace pomelohub {

namespace {

    constexpr number_range threadRange { 1, 64 };
    constexpr number_range descriptorRange { 64, 1'000'000 };
    constexpr number_range memoryRange { 64, 1'000'000 };
    constexpr number_range graceRange { 0.5, 3600 };

    constexpr number_range shareRange { 0, 1 };
    constexpr number_range reserveRange { 0, 1e6 };
    constexpr number_range windowRange { 0.1, 3600 };
    constexpr number_range coldRateFactorRange { 1, 100 };
    constexpr number_range parallelOffersRange { 1, 8 };

    std::string readEndpoint(checked_object& object, const std::string& name, bool isRequired = true)
    {
        auto text = object.text(name, isRequired);
        if (!text.empty() && !endpointFromText(text))
            object.fail(name, "must be an IPv4 address and a port, such as 127.0.0.1:8080");
        return text;
    }

    void readListen(checked_object object, proxy_settings& settings)
    {
        settings.callersEndpoint = readEndpoint(object, "callers");
        settings.peersEndpoint = readEndpoint(object, "peers");
        settings.announcedPeersEndpoint = readEndpoint(object, "peers_announced", false);
        if (settings.announcedPeersEndpoint.empty())
            settings.announcedPeersEndpoint = settings.peersEndpoint;
        settings.backendNotificationsEndpoint = readEndpoint(object, "backend_calls");
        settings.readinessEndpoint = readEndpoint(object, "readiness");
        settings.metricsEndpoint = readEndpoint(object, "metrics", false);
        object.rejectUnknownFields();
    }

    void readRetries(checked_object object, proxy_settings& settings)
    {
        auto& limits = settings.retries;
        limits.ratio = object.number("share", shareRange, limits.ratio);
        limits.reserve = object.number("reserve", reserveRange, limits.reserve);
        limits.window = durationOf(object.number("window_s", windowRange, 10));
        object.rejectUnknownFields();
    }

    void readQueueing(checked_object object, proxy_settings& settings)
    {
        auto& queueing = settings.queueing;
        queueing.minTargetLatency = durationOf(object.number("min_target_latency_s", windowRange));
        queueing.parallelOffers = static_cast<std::uint32_t>(
            object.integer("parallel_offers", parallelOffersRange, queueing.parallelOffers));
        object.rejectUnknownFields();
    }

    void readColdServers(checked_object object, proxy_settings& settings)
    {
        auto& limits = settings.coldServers;
        limits.rateFactor = object.number("rate_factor", coldRateFactorRange, limits.rateFactor);
        limits.extraRequests = object.number("extra_requests", reserveRange, limits.extraRequests);
        object.rejectUnknownFields();
    }

} // namespace

proxy_settings readProxySettings(const std::string& text, std::vector<field_error>& errors)
{
    // Caller connections may use half of the file descriptors; the rest is for peer links, connections to the
    // backend server and files.
    constexpr std::size_t descriptorsPerConnection = 2;
    auto document = checked_document::parse(text);
    proxy_settings settings;
    if (document.isValid()) {
        checked_object root(document, document.root(), "");
        settings.node = node_id(root.text("node"));
        settings.dataCentre = data_centre_id(root.text("data_centre"));
        settings.service = service_id(root.text("service"));
        readListen(root.object("listen"), settings);
        settings.backendEndpoint = readEndpoint(root, "backend_server");
        settings.storeEndpoint = readEndpoint(root, "store");
        settings.seeds = root.texts("seeds", false);
        settings.isFirstFleetStart = root.boolean("first_start", false);
        settings.threadCount = static_cast<std::uint32_t>(root.integer("threads", threadRange, 1));
        auto descriptors = static_cast<std::size_t>(root.integer("descriptors", descriptorRange, 4096));
        settings.maxConnections = descriptors / descriptorsPerConnection;
        settings.memoryBytes
            = static_cast<std::size_t>(root.integer("memory_mb", memoryRange, settings.memoryBytes >> 20))
            << 20;
        settings.gracePeriod = durationOf(root.number("grace_s", graceRange, 6));
        readRetries(root.object("retries", false), settings);
        if (root.has("queueing"))
            readQueueing(root.object("queueing"), settings);
        readColdServers(root.object("cold_servers", false), settings);
        root.rejectUnknownFields();
    }
    errors.insert(errors.end(), document.errors().begin(), document.errors().end());
    return settings;
}

} // namespace pomelohub
