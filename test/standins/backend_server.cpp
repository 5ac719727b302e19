/** \file
 * Stand-in for a backend server, after docs/PLATFORM.md: announces itself to the node beside it, starts cold,
 * drains, sheds, and counts what it ran. Its behaviour can be set while it runs with PUT /control.
 */
#include "http_server_options.h"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct options {
    std::string host = "127.0.0.1";
    int port = 5000;
    std::string admin = "127.0.0.1:7080";
    std::string id = "backend-1";
    std::string service = "example";
    int slots = 5;
    int serviceMillis = 2;
    int coldAnswers = 0;
    int announceMillis = 2000;
};

class backend_server {
public:
    explicit backend_server(options settings)
        : m_options(std::move(settings))
        , m_condition(m_options.coldAnswers > 0 ? "cold" : "warm")
        , m_serviceTime(m_options.serviceMillis)
        , m_coldLeft(m_options.coldAnswers)
    {
    }

    void attach(httplib::Server& server)
    {
        // Handlers with a reader go before those without, so this one has a reader too.
        server.Put("/control",
            [this](
                const httplib::Request&, httplib::Response& response, const httplib::ContentReader& reader) {
                std::string body;
                reader([&](const char* data, std::size_t size) {
                    body.append(data, size);
                    return true;
                });
                control(json::parse(body), response);
            });
        server.Get("/counts", [this](const httplib::Request&, httplib::Response& response) {
            response.set_content(counts().dump(), "application/json");
        });
        server.Get(
            "/health", [](const httplib::Request&, httplib::Response& response) { response.status = 200; });
        auto plain = [this](const httplib::Request& request, httplib::Response& response) {
            serve(request, response, 0);
        };
        auto withBody = [this](const httplib::Request& request, httplib::Response& response,
                            const httplib::ContentReader& reader) {
            std::size_t bytes = 0;
            reader([&](const char*, std::size_t size) {
                bytes += size;
                return true;
            });
            serve(request, response, bytes);
        };
        server.Get("/.*", plain);
        server.Post("/.*", withBody).Put("/.*", withBody).Patch("/.*", withBody).Delete("/.*", withBody);
    }

    /** Announces until the process ends. */
    void announceForEver()
    {
        for (;;) {
            announce();
            std::unique_lock lock(m_mutex);
            auto seen = m_announceNow;
            m_changed.wait_for(
                lock, milliseconds(m_options.announceMillis), [&] { return m_announceNow != seen; });
        }
    }

private:
    void announce()
    {
        json body;
        {
            std::lock_guard lock(m_mutex);
            body = { { "service", m_options.service },
                { "address", m_options.host + ":" + std::to_string(m_options.port) },
                { "slots", m_options.slots }, { "condition", m_condition } };
        }
        httplib::Client client("http://" + m_options.admin);
        client.set_connection_timeout(milliseconds(500));
        client.Put("/v1/backends/" + m_options.id, body.dump(), "application/json");
    }

    void control(const json& body, httplib::Response& response)
    {
        std::lock_guard lock(m_mutex);
        if (body.contains("condition"))
            m_condition = body["condition"];
        if (body.contains("service_ms"))
            m_serviceTime = milliseconds(body["service_ms"].get<int>());
        if (body.contains("fail_percent"))
            m_failPercent = body["fail_percent"];
        if (body.contains("shed"))
            m_isShedding = body["shed"];
        if (body.contains("cold_answers")) {
            m_coldLeft = body["cold_answers"];
            if (body.value("announced", true))
                m_condition = "cold";
        }
        ++m_announceNow;
        m_changed.notify_all();
        response.set_content("{}", "application/json");
    }

    json counts()
    {
        std::lock_guard lock(m_mutex);
        return { { "id", m_options.id }, { "requests", m_requests }, { "body_bytes", m_bodyBytes },
            { "runs", m_runs }, { "most_at_once", m_mostAtOnce }, { "most_while_cold", m_mostWhileCold },
            { "keys_seen", m_keysSeen }, { "condition", m_condition } };
    }

    /** Notes the start of a request. \return the time that it takes. */
    milliseconds begin(const httplib::Request& request, std::size_t bytes)
    {
        std::lock_guard lock(m_mutex);
        ++m_requests;
        m_bodyBytes += bytes;
        m_keysSeen += request.has_header("Authorization") ? 1 : 0;
        auto key = request.get_header_value("Idempotency-Key");
        if (!key.empty())
            ++m_runs[key];
        m_mostAtOnce = std::max(m_mostAtOnce, ++m_atOnce);
        if (m_coldLeft <= 0)
            return m_serviceTime;
        m_mostWhileCold = std::max(m_mostWhileCold, m_atOnce);
        // A cold server serves one request at a time well; together they all become slow.
        return m_serviceTime * (1 + 4 * (m_atOnce - 1));
    }

    void end()
    {
        std::lock_guard lock(m_mutex);
        --m_atOnce;
        if (m_coldLeft > 0 && --m_coldLeft == 0 && m_condition == "cold") {
            m_condition = "warm";
            ++m_announceNow;
            m_changed.notify_all();
        }
    }

    bool isShed(httplib::Response& response)
    {
        std::lock_guard lock(m_mutex);
        if (!m_isShedding)
            return false;
        response.status = 503;
        response.set_header("X-Shed", "not-run");
        return true;
    }

    void serve(const httplib::Request& request, httplib::Response& response, std::size_t bytes)
    {
        if (isShed(response))
            return;
        auto time = begin(request, bytes);
        if (request.has_param("die"))
            std::_Exit(1);
        if (request.has_param("wait_ms"))
            time = milliseconds(std::stoi(request.get_param_value("wait_ms")));
        std::this_thread::sleep_for(time);
        end();
        answer(request, response, bytes);
    }

    void answer(const httplib::Request& request, httplib::Response& response, std::size_t bytes)
    {
        std::uint64_t number = 0;
        int failPercent = 0;
        {
            std::lock_guard lock(m_mutex);
            number = m_requests;
            failPercent = m_failPercent;
        }
        if (static_cast<int>(number % 100) < failPercent) {
            response.status = 500;
            return;
        }
        if (request.has_param("bytes"))
            return answerBytes(request, response);
        json body { { "served_by", m_options.id }, { "method", request.method }, { "path", request.path },
            { "organisation", request.get_header_value("X-Organisation") }, { "body_bytes", bytes },
            { "request", request.get_header_value("X-Request-Id") }, { "number", number } };
        response.set_content(body.dump() + "\n", "application/json");
    }

    /** Streams ?bytes=N, cut after ?cut=M of them, with a pause of ?pause_ms between chunks. */
    static void answerBytes(const httplib::Request& request, httplib::Response& response)
    {
        std::size_t total = std::stoull(request.get_param_value("bytes"));
        std::size_t cut = request.has_param("cut") ? std::stoull(request.get_param_value("cut")) : total;
        milliseconds pause(
            request.has_param("pause_ms") ? std::stoi(request.get_param_value("pause_ms")) : 0);
        response.set_content_provider(total, "application/octet-stream",
            [=](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
                constexpr std::size_t chunk = 16 * 1024;
                if (offset >= cut)
                    return false;
                std::this_thread::sleep_for(pause);
                std::string data(std::min({ chunk, length, cut - offset }), 'p');
                return sink.write(data.data(), data.size());
            });
    }

    options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_condition;
    milliseconds m_serviceTime;
    int m_coldLeft;
    int m_failPercent = 0;
    bool m_isShedding = false;
    std::uint64_t m_announceNow = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_keysSeen = 0;
    int m_atOnce = 0;
    int m_mostAtOnce = 0;
    int m_mostWhileCold = 0;
    std::map<std::string, int> m_runs;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a backend server" };
    options settings;
    app.add_option("--host", settings.host, "Address to listen on");
    app.add_option("--port", settings.port, "Port to listen on");
    app.add_option("--admin", settings.admin, "Admin address of the node beside this server");
    app.add_option("--id", settings.id, "Identifier");
    app.add_option("--service", settings.service, "Service that it belongs to");
    app.add_option("--slots", settings.slots, "Requests that it bears at once when warm");
    app.add_option("--service-ms", settings.serviceMillis, "Time that a request takes");
    app.add_option("--cold-answers", settings.coldAnswers, "Answers after which it is warm");
    CLI11_PARSE(app, argc, argv);
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(64); };
    pomelohub::useExclusivePort(server);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000);
    server.set_keep_alive_timeout(30);
    backend_server backend(settings);
    backend.attach(server);
    std::thread([&] { backend.announceForEver(); }).detach();
    if (!server.listen(settings.host, settings.port)) {
        std::cerr << "cannot listen on " << settings.host << ':' << settings.port << '\n';
        return 1;
    }
}
