/** \file
 * A gateway before a backend server whose answers a test chooses.
 */
#pragma once

#include "backend_gateway.h"
#include "loopback.h"
#include "platform_dialect.h"

namespace pomelohub {

using namespace std::chrono_literals;

/** A backend server whose every answer is a text of the test's choice. */
struct scripted_backend {
    explicit scripted_backend(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    struct connection : ref_counted<connection> {
        explicit connection(tcp::socket taken)
            : socket(std::move(taken))
        {
        }
        tcp::socket socket;
        std::array<char, 4096> input {};
        std::string received;
    };

    void accept()
    {
        acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++connections;
            open.emplace_back(new connection(std::move(socket)));
            read(open.back());
            accept();
        });
    }

    void read(const handle<connection>& from)
    {
        from->socket.async_read_some(
            asio::buffer(from->input), [this, from](std::error_code error, std::size_t length) {
                if (error) {
                    ++ended;
                    return;
                }
                from->received.append(from->input.data(), length);
                if (from->received.find("\r\n\r\n") != std::string::npos) {
                    requests.push_back(from->received);
                    if (!isHealthCheck(from->received))
                        arrivals.push_back(readSystemClock().monotonic);
                    from->received.clear();
                    answer(*from);
                }
                read(from);
            });
    }

    static bool isHealthCheck(const std::string& request) { return request.starts_with("GET /health "); }

    /** Largest number of requests other than health checks that arrived within one second. */
    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] >= 1s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    static void reset(connection& what)
    {
        what.socket.set_option(asio::socket_base::linger(true, 0));
        what.socket.close();
    }

    void answer(connection& to)
    {
        const auto& reply = healthReply && isHealthCheck(requests.back()) ? *healthReply : this->reply;
        if (reply.empty())
            return; // Hangs.
        if (reply == "reset") {
            reset(to);
            return;
        }
        asio::write(to.socket, asio::buffer(reply));
        if (closesAfter)
            to.socket.close();
    }

    tcp::acceptor acceptor;
    std::string reply;
    std::optional<std::string> healthReply; ///< To health checks, if it differs from the other replies.
    bool closesAfter = false;
    int connections = 0;
    int ended = 0;
    std::vector<std::string> requests;
    std::vector<instant> arrivals; ///< Of requests other than health checks.
    std::vector<handle<connection>> open;
};

struct gateway_fixture {
    asio::io_context context;
    scripted_backend backend { context };
    header_codec words = makePlatformHeaderCodec();
    handle<fleet_snapshot> snapshot { new fleet_snapshot };
    std::vector<request_fingerprint> crashed;
    std::set<request_fingerprint> quarantined;
    backend_gateway gateway { context, backend.acceptor.local_endpoint(), service_id("a"),
        data_centre_id("z"), words, makePolicy(), quietLog(),
        { readSystemClock, [this] { return handle<const fleet_snapshot>(snapshot); },
            [this](request_fingerprint fingerprint, instant) { return quarantined.contains(fingerprint); },
            [this](const std::vector<interrupted_request>& interrupted) {
                for (const auto& each : interrupted)
                    crashed.push_back(each.run.fingerprint);
            },
            [](request_fingerprint) {} } };
    std::uint64_t sequence;

    /** \param firstSequence number of the first heartbeat that the node gets. */
    explicit gateway_fixture(std::string reply = good("r1"), std::uint64_t firstSequence = 1)
        : sequence(firstSequence - 1)
    {
        backend.reply = std::move(reply);
        handle<routing_table> routes(new routing_table);
        routes->add(makeProfile());
        snapshot->routes = routes;
        beat();
    }

    static gateway_policy makePolicy()
    {
        gateway_policy policy;
        policy.coldServers = { 1.5, 5 }; // As deployed.
        return policy;
    }

    static service_profile makeProfile()
    {
        service_profile profile;
        profile.id = service_id("a");
        profile.healthPath = "/health";
        return profile;
    }

    static std::string good(const std::string& id)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
    }

    static std::string refusal(const std::string& id)
    {
        auto idField = id.empty() ? "" : "Request-Id: " + id + "\r\n";
        return "HTTP/1.1 503 Busy\r\n" + idField + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Puts a configuration in force in which a cold server of the service can handle \p perSecond. */
    void setWarmupRate(double perSecond)
    {
        auto profile = makeProfile();
        profile.warmupPerSecond = perSecond;
        handle<routing_table> routes(new routing_table);
        routes->add(profile);
        snapshot->routes = routes;
        gateway.onSnapshotChanged();
    }

    void beat(const char* id = "i-1", bool isDraining = false, std::chrono::milliseconds startedAt = 1000ms,
        duration warmupLeft = {})
    {
        backend_heartbeat heartbeat;
        heartbeat.id = backend_server_id(id);
        heartbeat.service = service_id("a");
        heartbeat.slots = 2;
        heartbeat.isDraining = isDraining;
        heartbeat.warmupLeft = warmupLeft;
        heartbeat.sequence = ++sequence;
        heartbeat.startedAt = wall_time(startedAt);
        gateway.handleHeartbeat(heartbeat);
    }

    handle<gateway_request> make(retry_rule repeats = retry_rule::once)
    {
        handle<gateway_request> request(new gateway_request);
        request->request.id = request_id("r1");
        request->request.service = service_id("a");
        request->request.retryRule = repeats;
        request->request.timeLeft = 5s;
        request->request.maxQueueTime = 5s;
        request->request.fingerprint = 7;
        request->request.message.method = "GET";
        request->request.message.target = "/x";
        request->request.message.fields = { { "Host", "h" }, { "Request-Id", "r1" } };
        return request;
    }

    forward_reply submit(const handle<gateway_request>& request)
    {
        std::optional<forward_reply> reply;
        request->onReply = [&](forward_reply what) { reply = std::move(what); };
        gateway.submit(request);
        REQUIRE(runUntil(context, [&] { return reply.has_value(); }));
        return std::move(*reply);
    }

    forward_reply submit(retry_rule repeats = retry_rule::once) { return submit(make(repeats)); }
};

inline void checkMayHaveRun(const forward_reply& reply)
{
    REQUIRE_FALSE(reply.response);
    CHECK(reply.response.error().outcome == execution::mayHaveRun);
    CHECK(reply.hasReachedBackend);
}

inline void checkNotRun(const forward_reply& reply, refusal_reason reason)
{
    REQUIRE_FALSE(reply.response);
    CHECK(reply.response.error().outcome == execution::notRun);
    CHECK(reply.response.error().reason == reason);
}

} // namespace pomelohub
