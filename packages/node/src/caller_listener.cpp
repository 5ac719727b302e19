#include "caller_listener.h"

#include "event_counter.h"
#include "http_server_options.h"
#include "peer_client.h"

#include <future>

namespace pomelohub {

namespace {

    /** Runs what cpp-httplib hands over on its accepting thread, since that only parks a connection. */
    class direct_task_queue : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> task) override { task(); }
        void shutdown() override { }
    };

    constexpr duration firstRequestTime = std::chrono::milliseconds(500);
    constexpr time_t keepAliveSeconds = 60;
    constexpr std::size_t keepAliveRequests = 1'000'000;

    constexpr std::string_view tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\n"
                                                    "Connection: close\r\nContent-Length: 0\r\n"
                                                    "Pomelohub-Verdict: not-run\r\nRetry-After: 1\r\n\r\n";
    constexpr std::string_view headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\n"
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
    std::function<void(const std::string&)> badInput)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_badInput(std::move(badInput))
    , m_strand(asio::make_strand(io))
    , m_workers(m_settings.threads)
{
    new_task_queue = [] { return new direct_task_queue; };
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
        stream->write(tooManyConnections.data(), tooManyConnections.size());
        end(stream);
        return false;
    }
    asio::post(m_strand, [this, stream] { park(stream); });
    return true;
}

void caller_listener::park(const handle<caller_stream>& stream)
{
    if (m_isClosingIdle)
        return end(stream);
    handle<parked_connection> parked(new parked_connection(m_io, stream));
    m_parked.insert(parked);
    parked->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
        asio::bind_executor(m_strand, [this, parked](const asio::error_code& error) {
            m_parked.erase(parked);
            parked->descriptor.release();
            if (error || m_isClosingIdle)
                return end(parked->stream);
            ++m_busy;
            asio::post(m_workers, [this, stream = parked->stream] { serve(stream); });
        }));
}

void caller_listener::serve(const handle<caller_stream>& stream)
{
    bool isKept = serveOne(*stream);
    while (isKept && stream->hasBuffered())
        isKept = serveOne(*stream);
    --m_busy;
    if (isKept)
        asio::post(m_strand, [this, stream] { park(stream); });
    else
        end(stream);
}

bool caller_listener::serveOne(caller_stream& stream)
{
    stream.beginHead();
    // An answer that did not say so must not be the last one of its connection.
    bool closesAfter = m_draining;
    bool isClosed = false;
    bool isServed = process_request(stream, closesAfter, isClosed,
        [this, &stream](httplib::Request& request) { prepare(request, stream); });
    if (stream.isHeadOverLimit()) {
        m_badInput("callers");
        stream.write(headTooLarge.data(), headTooLarge.size());
        return false;
    }
    return isServed && !isClosed && !closesAfter;
}

void caller_listener::prepare(httplib::Request& request, caller_stream& stream) const
{
    stream.endHead();
    // Ranges, compression and encodings are between the caller and the backend server.
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

void caller_listener::end(const handle<caller_stream>&) { --m_connectionCount; }

void caller_listener::shutDown()
{
    if (m_isShutDown.exchange(true))
        return;
    m_draining = true;
    if (m_acceptThread.joinable()) {
        stop();
        m_acceptThread.join();
        // A connection that was just accepted has yet to send its first request.
        sleepUntil(m_clock().monotonic + firstRequestTime);
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
