/** \file
 * Stand-in for the platform's append-only log, in memory, after docs/PLATFORM.md. Its faults can be set while
 * it runs: PUT /faults {"mode": "none" | "away" | "lose-answers", "delay_ms": 0}.
 */
#include "http_server_options.h"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>

namespace {

using nlohmann::json;

/** The records of one stream that are still kept. */
struct stream {
    std::uint64_t first = 0;
    std::deque<std::string> records;

    std::uint64_t next() const { return first + records.size(); }
};

enum class fault_mode {
    none,
    away,
    loseAnswers,
};

class log_service {
public:
    explicit log_service(std::size_t keep)
        : m_keep(keep)
    {
    }

    void attach(httplib::Server& server)
    {
        server.Post("/v1/streams/([a-z]+)/records",
            [this](
                const httplib::Request& request, httplib::Response& response) { append(request, response); });
        server.Get("/v1/streams/([a-z]+)/records",
            [this](
                const httplib::Request& request, httplib::Response& response) { read(request, response); });
        server.Put("/faults", [this](const httplib::Request& request, httplib::Response& response) {
            setFaults(request, response);
        });
        server.Get("/counts", [this](const httplib::Request&, httplib::Response& response) {
            std::lock_guard lock(m_mutex);
            response.set_content(
                json { { "appends", m_appends }, { "reads", m_reads } }.dump(), "application/json");
        });
    }

private:
    void setFaults(const httplib::Request& request, httplib::Response& response)
    {
        auto body = json::parse(request.body);
        std::lock_guard lock(m_mutex);
        auto mode = body.value("mode", "none");
        m_mode = mode == "away"      ? fault_mode::away
            : mode == "lose-answers" ? fault_mode::loseAnswers
                                     : fault_mode::none;
        m_delay = std::chrono::milliseconds(body.value("delay_ms", 0));
        m_changed.notify_all();
        response.set_content("{}", "application/json");
    }

    /** Waits out the set delay. \return false while the log is away. */
    bool pass(std::unique_lock<std::mutex>& lock)
    {
        if (m_delay.count() > 0)
            m_changed.wait_for(lock, m_delay, [] { return false; });
        return m_mode != fault_mode::away;
    }

    /** Cuts the connection in place of an answer. */
    static void cut(httplib::Response& response)
    {
        response.set_content_provider(
            1, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    }

    void append(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        if (!pass(lock)) {
            response.status = 503;
            return;
        }
        auto& target = m_streams[request.matches[1].str()];
        auto offset = target.next();
        target.records.push_back(request.body);
        ++m_appends;
        while (target.records.size() > m_keep) {
            target.records.pop_front();
            ++target.first;
        }
        m_changed.notify_all();
        if (m_mode == fault_mode::loseAnswers)
            return cut(response);
        response.status = 201;
        response.set_content(json { { "offset", offset } }.dump(), "application/json");
    }

    static std::uint64_t number(const httplib::Request& request, const std::string& name)
    {
        return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        ++m_reads;
        if (!pass(lock)) {
            response.status = 503;
            return;
        }
        auto name = request.matches[1].str();
        auto from = number(request, "from");
        std::chrono::milliseconds wait(number(request, "wait_ms"));
        m_changed.wait_for(
            lock, wait, [&] { return m_streams[name].next() > from || m_mode == fault_mode::away; });
        if (m_mode == fault_mode::away) {
            response.status = 503;
            return;
        }
        auto& source = m_streams[name];
        auto records = json::array();
        auto limit = number(request, "limit");
        for (auto offset = std::max(from, source.first); offset < source.next() && records.size() < limit;
             ++offset)
            records.push_back({ { "offset", offset }, { "data", source.records[offset - source.first] } });
        response.set_content(
            json { { "first", source.first }, { "next", source.next() }, { "records", records } }.dump(),
            "application/json");
    }

    std::size_t m_keep;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, stream> m_streams;
    fault_mode m_mode = fault_mode::none;
    std::chrono::milliseconds m_delay { 0 };
    std::uint64_t m_appends = 0;
    std::uint64_t m_reads = 0;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the platform's append-only log" };
    std::string host = "127.0.0.1";
    int port = 6000;
    std::size_t keep = 10'000'000;
    std::size_t threads = 200;
    app.add_option("--host", host, "Address to listen on");
    app.add_option("--port", port, "Port to listen on");
    app.add_option("--keep", keep, "Records kept in each stream");
    app.add_option("--threads", threads, "Readers that can wait at once");
    CLI11_PARSE(app, argc, argv);
    httplib::Server server;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    pomelohub::useExclusivePort(server);
    server.set_tcp_nodelay(true);
    log_service service(keep);
    service.attach(server);
    if (!server.listen(host, port)) {
        std::cerr << "cannot listen on " << host << ':' << port << '\n';
        return 1;
    }
}
