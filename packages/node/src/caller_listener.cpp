#include "caller_listener.h"

#include "event_counter.h"
#include "http_server_options.h"
#include "peer_client.h"

#include <future>

namespace pomelohub {

namespace {

    /** Runs each task at once on cpp-httplib's accepting thread, because a task only registers the connection
     * with the event loop. */
    class inline_task_queue : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> task) override { task(); }
        void shutdown() override { }
    };

    constexpr duration firstRequestGracePeriod = std::chrono::milliseconds(500);
    constexpr time_t keepAliveSeconds = 60;
    constexpr std::size_t keepAliveRequests = 1'000'000;

    constexpr std::string_view tooManyConnectionsResponse
        = "HTTP/1.1 503 Service Unavailable\r\n"
          "Connection: close\r\nContent-Length: 0\r\n"
          "Pomelohub-Verdict: not-run\r\nRetry-After: 1\r\n\r\n";
    constexpr std::string_view headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\n"
                                                      "Connection: close\r\nContent-Length: 0\r\n"
                                                      "Pomelohub-Verdict: not-run\r\n\r\n";

} // namespace

caller_listener::parked_connection::parked_connection(asio::io_context& io, handle<caller_stream> kept)
    : stream(std::move(kept))
    , descriptor(io, stream->socket())
{
}

caller_listener::parked_connection::~parked_connection()
{
    // The stream owns the socket.
    if (descriptor.is_open())
        descriptor.release();
}

caller_listener::caller_listener(asio::io_context& io, caller_listener_settings settings, clock_hook clock,
    std::function<void(const std::string&)> onBadInput)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_onBadInput(std::move(onBadInput))
    , m_strand(asio::make_strand(io))
    , m_workers(m_settings.threads)
{
    new_task_queue = [] { return new inline_task_queue; };
    useExclusivePort(*this);
    set_tcp_nodelay(true);
    set_keep_alive_timeout(keepAliveSeconds);
    set_keep_alive_max_count(keepAliveRequests);
    set_payload_max_length(std::numeric_limits<std::size_t>::max());
}

caller_listener::~caller_listener() { shutDown(); }

tl::expected<void, std::string> caller_listener::listen()
{
    auto parts = splitEndpoint(m_settings.endpoint);
    if (!parts || !bind_to_port(parts->first, parts->second))
        return tl::unexpected("cannot listen on " + m_settings.endpoint);
    return {};
}

void caller_listener::start()
{
    m_acceptThread = std::thread([this] { listen_after_bind(); });
}

bool caller_listener::process_and_close_socket(socket_t socket)
{
    handle<caller_stream> stream(new caller_stream(socket, m_settings.limits, m_clock));
    if (m_connectionCount.fetch_add(1) >= m_settings.maxConnections) {
        stream->write(tooManyConnectionsResponse.data(), tooManyConnectionsResponse.size());
        endConnection(stream);
        return false;
    }
    asio::post(m_strand, [this, stream] { park(stream); });
    return true;
}

void caller_listener::park(const handle<caller_stream>& stream)
{
    if (m_isClosingIdle)
        return endConnection(stream);
    handle<parked_connection> parked(new parked_connection(m_io, stream));
    m_parked.insert(parked);
    parked->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
        asio::bind_executor(m_strand, [this, parked](const asio::error_code& error) {
            m_parked.erase(parked);
            parked->descriptor.release();
            if (error || m_isClosingIdle)
                return endConnection(parked->stream);
            ++m_busy;
            asio::post(m_workers, [this, stream = parked->stream] { serve(stream); });
        }));
}

void caller_listener::serve(const handle<caller_stream>& stream)
{
    bool isKeptAlive = serveOne(*stream);
    while (isKeptAlive && stream->hasBuffered())
        isKeptAlive = serveOne(*stream);
    --m_busy;
    if (isKeptAlive)
        asio::post(m_strand, [this, stream] { park(stream); });
    else
        endConnection(stream);
}

bool caller_listener::serveOne(caller_stream& stream)
{
    stream.beginHead();
    // Sampled once: a connection must not be closed after a response that did not announce it, even if
    // drain() is called meanwhile.
    bool closesAfter = m_draining;
    bool isClosed = false;
    bool isServed = process_request(stream, closesAfter, isClosed,
        [this, &stream](httplib::Request& request) { prepare(request, stream); });
    if (stream.isHeadOverLimit()) {
        m_onBadInput("callers");
        stream.write(headTooLargeResponse.data(), headTooLargeResponse.size());
        return false;
    }
    return isServed && !isClosed && !closesAfter;
}

void caller_listener::prepare(httplib::Request& request, caller_stream& stream) const
{
    stream.endHead();
    // Ranges, compression and encodings are left to the caller and the backend server.
    request.ranges.clear();
    request.headers.erase("Accept-Encoding");
    request.headers.erase(savedEncodingHeader);
    auto encoding = request.headers.find("Content-Encoding");
    if (encoding == request.headers.end())
        return;
    auto value = encoding->second;
    request.headers.erase(encoding);
    request.headers.emplace(savedEncodingHeader, value);
}

void caller_listener::endConnection(const handle<caller_stream>&) { --m_connectionCount; }

void caller_listener::shutDown()
{
    if (m_isShutDown.exchange(true))
        return;
    m_draining = true;
    if (m_acceptThread.joinable()) {
        stop();
        m_acceptThread.join();
        // Give connections that were just accepted time to send their first request.
        sleepUntil(m_clock().monotonic + firstRequestGracePeriod);
    }
    m_isClosingIdle = true;
    std::promise<void> closed;
    asio::post(m_strand, [&] {
        for (const auto& parked : m_parked)
            parked->descriptor.cancel();
        closed.set_value();
    });
    closed.get_future().wait();
    m_workers.join();
}

} // namespace pomelohub
