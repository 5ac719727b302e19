#include "node_settings.h"

#include <fstream>
#include <sstream>

namespace pomelohub {

namespace {

    constexpr number_range threadRange { 1, 512 };
    constexpr number_range connectionRange { 1, 100'000 };
    constexpr number_range headerRange { 1024, 1024 * 1024 };
    constexpr number_range bodyRange { 0, 16e9 };
    constexpr number_range queueRange { 1, 100'000 };
    constexpr number_range timeRange { 1, 24.0 * 3600 * 1000 };
    constexpr number_range ratioRange { 0.01, 1 };
    constexpr number_range factorRange { 1.1, 100 };
    constexpr number_range percentRange { 0, 100 };
    constexpr number_range countRange { 1, 1000 };

    std::string readEndpoint(checked_object& object, const std::string& name)
    {
        auto text = object.text(name);
        asio::error_code error;
        auto parts = splitEndpoint(text);
        if (parts)
            asio::ip::make_address(parts->first, error);
        if (!text.empty() && (!parts || error))
            object.fail(name, "must be an IP address and a port, such as 127.0.0.1:8080");
        return text;
    }

    std::size_t readSize(
        checked_object& object, const std::string& name, number_range range, std::size_t fallback)
    {
        return static_cast<std::size_t>(object.integer(name, range, static_cast<std::int64_t>(fallback)));
    }

    std::chrono::milliseconds readMillis(
        checked_object& object, const std::string& name, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds(object.integer(name, timeRange, fallback.count()));
    }

    void readListen(checked_object object, node_settings& settings)
    {
        settings.callersEndpoint = readEndpoint(object, "callers");
        settings.peersEndpoint = readEndpoint(object, "peers");
        settings.adminEndpoint = readEndpoint(object, "admin");
        object.rejectUnknownFields();
    }

    void readTls(checked_object object, node_settings& settings)
    {
        settings.tls = { object.text("certificate"), object.text("private_key"), object.text("authority") };
        object.rejectUnknownFields();
    }

    void readSeeds(checked_object& root, node_settings& settings)
    {
        for (auto& seed : root.objects("seeds", false)) {
            auto node = seed.text("node");
            settings.seeds.push_back({ node_id(node), readEndpoint(seed, "endpoint") });
            seed.rejectUnknownFields();
        }
    }

    void readLimits(checked_object object, node_settings& settings)
    {
        settings.eventThreads = readSize(object, "event_threads", threadRange, settings.eventThreads);
        settings.requestThreads = readSize(object, "request_threads", threadRange, settings.requestThreads);
        settings.backendThreads = readSize(object, "backend_threads", threadRange, settings.backendThreads);
        settings.maxConnections
            = readSize(object, "max_connections", connectionRange, settings.maxConnections);
        settings.maxHeaderBytes = readSize(object, "max_header_bytes", headerRange, settings.maxHeaderBytes);
        settings.maxBodyBytes = readSize(object, "max_body_bytes", bodyRange, settings.maxBodyBytes);
        settings.queueLength = readSize(object, "queue_length", queueRange, settings.queueLength);
        settings.defaultTimeout = readMillis(object, "usual_timeout_ms", settings.defaultTimeout);
        settings.maxTimeout = readMillis(object, "longest_timeout_ms", settings.maxTimeout);
        settings.drainTimeout = readMillis(object, "drain_ms", settings.drainTimeout);
        settings.staleLimit = readMillis(object, "stale_limit_ms", settings.staleLimit);
        object.rejectUnknownFields();
    }

    void readPolicy(checked_object object, node_settings& settings)
    {
        auto& gray = settings.gray;
        gray.failureRatio = object.number("gray_failure_share", ratioRange, gray.failureRatio);
        gray.slowFactor = object.number("gray_slow_factor", factorRange, gray.slowFactor);
        gray.slowMargin = readMillis(object, "gray_slow_margin_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(gray.slowMargin));
        gray.badTicksToSuspect = static_cast<std::uint32_t>(
            object.integer("gray_bad_ticks", countRange, gray.badTicksToSuspect));
        settings.ejection.maxEjectionPercent = static_cast<std::uint32_t>(
            object.integer("ejection_largest_percent", percentRange, settings.ejection.maxEjectionPercent));
        settings.ejection.minReporters = static_cast<std::uint32_t>(
            object.integer("ejection_witnesses", countRange, settings.ejection.minReporters));
        object.rejectUnknownFields();
    }

} // namespace

node_settings readNodeSettings(const std::string& text, std::vector<field_error>& errors)
{
    auto document = checked_document::parse(text);
    node_settings settings;
    checked_object root(document, document.root(), "");
    if (root.isObject()) {
        settings.node = node_id(root.text("node"));
        settings.dataCentre = data_centre_id(root.text("data_centre"));
        readListen(root.object("listen"), settings);
        settings.logAddress = readEndpoint(root, "log");
        readTls(root.object("tls"), settings);
        settings.datagramSecretsFile = root.text("datagram_secrets_file");
        readSeeds(root, settings);
        readLimits(root.object("limits", false), settings);
        readPolicy(root.object("policy", false), settings);
        root.rejectUnknownFields();
    }
    errors = document.errors();
    return settings;
}

tl::expected<std::string, std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::unexpected("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

tl::expected<std::vector<std::string>, std::string> readSecrets(const std::string& path)
{
    auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    constexpr std::size_t minSecretLength = 16;
    std::vector<std::string> secrets;
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);) {
        if (line.size() >= minSecretLength)
            secrets.push_back(line);
        else if (!line.empty())
            return tl::unexpected(path + ": a secret must have at least 16 characters");
    }
    if (secrets.empty())
        return tl::unexpected(path + ": contains no secrets");
    return secrets;
}

} // namespace pomelohub
