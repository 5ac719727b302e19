#include "backend_call.h"

#include "peer_session.h"

#include <algorithm>

namespace pomelohub {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    constexpr std::size_t bodyChunkBytes = 32 * 1024;

    /** State that the callbacks of one call share. */
    class call_in_progress {
    public:
        call_in_progress(
            const handle<exchange>& proxied, const backend_load_report& report, const clock_hook& clock)
            : m_exchange(proxied)
            , m_report(report)
            , m_clock(clock)
            , m_startedAt(clock().monotonic)
        {
        }

        httplib::Request makeRequest()
        {
            const auto& head = m_exchange->request();
            httplib::Request request;
            request.method = head.method;
            request.path = head.path;
            for (const auto& [name, value] : head.headers) {
                if (!name.starts_with(internalHeaderPrefix) && !isHopByHop(name) && name != "content-length")
                    request.headers.emplace(name, value);
            }
            addDeadline(request);
            addBody(request);
            request.response_handler = [this](const httplib::Response& head) { return handleHead(head); };
            request.content_receiver
                = [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
                      return m_exchange->responseBody().write({ data, size }, m_exchange->deadline());
                  };
            return request;
        }

        bool handleHead(const httplib::Response& response)
        {
            m_timeToHead = m_clock().monotonic - m_startedAt;
            m_isShed
                = response.status == 503 && response.get_header_value(std::string(shedHeader)) == shedValue;
            m_isServerError = response.status >= 500;
            if (m_isShed)
                return true;
            response_head head;
            head.status = response.status;
            for (const auto& [name, value] : response.headers) {
                auto lower = toLowerCase(name);
                if (!isHopByHop(lower) && !lower.starts_with(internalHeaderPrefix))
                    head.headers.emplace_back(lower, value);
            }
            auto micros = std::chrono::duration_cast<std::chrono::microseconds>(m_timeToHead).count();
            head.headers.emplace_back(std::string(servedHeader), std::to_string(micros));
            head.headers.emplace_back(std::string(loadHeader), std::to_string(m_report.load()));
            m_hasResponse = true;
            m_exchange->respond(std::move(head));
            return true;
        }

        backend_call_result complete(bool isWhole, httplib::Error error)
        {
            bool wasSent = error != httplib::Error::Connection;
            bool isPastDeadline = m_clock().monotonic >= m_exchange->deadline();
            if (m_isShed && isWhole)
                m_exchange->refuse({ execution::notRun, refusal_reason::backendServerShed,
                    "the backend server shed the request", {} });
            else if (isWhole)
                m_exchange->responseBody().finish();
            else
                refuse(error, wasSent, isPastDeadline);
            auto latency = m_hasResponse || m_isShed ? m_timeToHead : m_clock().monotonic - m_startedAt;
            bool isCancelled = m_exchange->isCancelled();
            request_outcome sample { !isCancelled && (m_isServerError || m_isShed || !isWhole), latency };
            return { sample, isWhole && !isCancelled, wasSent };
        }

    private:
        void addDeadline(httplib::Request& request)
        {
            auto timeLeft
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_exchange->deadline() - m_startedAt);
            request.headers.emplace(
                "x-timeout-ms", std::to_string(std::max<std::int64_t>(1, timeLeft.count())));
        }

        void addBody(httplib::Request& request)
        {
            const auto& headers = m_exchange->request().headers;
            if (auto length = headerValue(headers, "content-length")) {
                request.content_length_ = std::strtoull(length->c_str(), nullptr, 10);
                if (request.content_length_ == 0)
                    return;
                request.content_provider_ = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                    return sendBody(offset, sink);
                };
            } else if (headerValue(headers, bodyHeader) == "chunked") {
                request.is_chunked_content_provider_ = true;
                request.content_provider_ = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                    return sendBody(offset, sink);
                };
            }
        }

        bool sendBody(std::size_t, httplib::DataSink& sink)
        {
            std::array<char, bodyChunkBytes> buffer;
            auto part = m_exchange->requestBody().read(buffer.data(), buffer.size(), m_exchange->deadline());
            if (part.state == pipe_state::failed || part.state == pipe_state::timedOut)
                return false;
            if (part.state == pipe_state::ended) {
                if (sink.done)
                    sink.done();
                return true;
            }
            return sink.write(buffer.data(), part.bytes);
        }

        void refuse(httplib::Error error, bool wasSent, bool isPastDeadline)
        {
            auto reason
                = isPastDeadline ? refusal_reason::deadlineExceeded : refusal_reason::backendServerFailed;
            auto outcome = wasSent ? execution::mayHaveRun : execution::notRun;
            m_exchange->refuse({ outcome, reason, "the backend server: " + httplib::to_string(error), {} });
        }

        handle<exchange> m_exchange;
        const backend_load_report& m_report;
        const clock_hook& m_clock;
        instant m_startedAt;
        duration m_timeToHead {};
        bool m_hasResponse = false;
        bool m_isShed = false;
        bool m_isServerError = false;
    };

} // namespace

backend_connection::backend_connection(const std::string& address)
    : client("http://" + address)
{
    client.set_keep_alive(true);
    client.set_connection_timeout(connectTimeout);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    client.set_follow_location(false);
    client.set_url_encode(false);
}

backend_call_result runBackendCall(const handle<backend_connection>& connection,
    const handle<exchange>& proxied, const backend_load_report& report, const clock_hook& clock)
{
    call_in_progress call(proxied, report, clock);
    auto timeLeft = std::max<duration>(std::chrono::milliseconds(1), proxied->deadline() - clock().monotonic);
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(timeLeft);
    connection->client.set_read_timeout(micros);
    connection->client.set_write_timeout(micros);
    proxied->setCancelHook([connection] { connection->client.stop(); });
    auto request = call.makeRequest();
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool isWhole = connection->client.send(request, response, error);
    proxied->setCancelHook(nullptr);
    return call.complete(isWhole, error);
}

} // namespace pomelohub
