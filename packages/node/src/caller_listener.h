/** \file
 * Defines caller_listener, an HTTP/1.1 server on cpp-httplib whose idle keep-alive connections occupy no
 * thread: between requests the event loop watches them, and a worker thread is used only while requests are
 * served.
 */
#pragma once

#include "caller_stream.h"

#include <asio.hpp>
#include <tl/expected.hpp>

#include <set>
#include <thread>

namespace pomelohub {

struct caller_listener_settings {
    std::string endpoint;
    std::size_t threads = 64;
    std::size_t maxConnections = 1000;
    stream_limits limits;
};

/** Thread safety: register handlers before start(); all other functions from any thread. */
class caller_listener : public httplib::Server {
public:
    caller_listener(asio::io_context& io, caller_listener_settings settings, clock_hook clock,
        std::function<void(const std::string&)> onBadInput);
    ~caller_listener() override;

    tl::expected<void, std::string> listen();
    void start();

    /** Closes each connection after its next response. */
    void drain() { m_draining = true; }

    /** Stops accepting, closes idle connections and waits for running requests. */
    void shutDown();

    std::size_t connectionCount() const { return m_connectionCount.load(); }
    std::size_t busyCount() const { return m_busy.load(); }

private:
    /** An idle connection, which waits for its next request. */
    struct parked_connection : ref_counted<parked_connection> {
        parked_connection(asio::io_context& io, handle<caller_stream> stream);
        ~parked_connection();
        handle<caller_stream> stream;
        asio::posix::stream_descriptor descriptor;
    };

    bool process_and_close_socket(socket_t socket) override;
    void park(const handle<caller_stream>& stream);
    void serve(const handle<caller_stream>& stream);
    bool serveOne(caller_stream& stream);
    void prepare(httplib::Request& request, caller_stream& stream) const;
    void endConnection(const handle<caller_stream>& stream);

    asio::io_context& m_io;
    caller_listener_settings m_settings;
    clock_hook m_clock;
    std::function<void(const std::string&)> m_onBadInput;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::thread_pool m_workers;
    std::thread m_acceptThread;
    std::set<handle<parked_connection>> m_parked;
    std::atomic<std::size_t> m_connectionCount { 0 };
    std::atomic<std::size_t> m_busy { 0 };
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_isShutDown { false };
    std::atomic<bool> m_isClosingIdle { false };
};

/** Header that holds a request's Content-Encoding while cpp-httplib reads the request, because cpp-httplib
 * would otherwise decompress the body. */
inline constexpr const char* savedEncodingHeader = "pomelohub-content-encoding";

} // namespace pomelohub
