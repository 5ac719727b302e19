#include "backend_call.h"

#include "peer_session.h"

#include <algorithm>

namespace pomelohub {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    constexpr std::size_t bodyChunk = 32 * 1024;

    /** One call with what its callbacks share. */
    class call_in_progress {
    public:
        call_in_progress(const handle<exchange>& carried, const host_report& report, const clock_hook& clock)
            : m_carried(carried)
            , m_report(report)
            , m_clock(clock)
            , m_startedAt(clock().monotonic)
        {
        }

        httplib::Request makeRequest()
        {
            const auto& head = m_carried->request();
            httplib::Request request;
            request.method = head.method;
            request.path = head.path;
            for (const auto& [name, value] : head.headers) {
                if (!name.starts_with(internalPrefix) && !isHopByHop(name) && name != "content-length")
                    request.headers.emplace(name, value);
            }
            addDeadline(request);
            addBody(request);
            request.response_handler = [this](const httplib::Response& head) { return takeHead(head); };
            request.content_receiver
                = [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
                      return m_carried->responseBody().write({ data, size }, m_carried->deadline());
                  };
            return request;
        }

        bool takeHead(const httplib::Response& response)
        {
            m_servedIn = m_clock().monotonic - m_startedAt;
            m_isShed
                = response.status == 503 && response.get_header_value(std::string(shedHeader)) == shedValue;
            m_failed = response.status >= 500;
            if (m_isShed)
                return true;
            response_head head;
            head.status = response.status;
            for (const auto& [name, value] : response.headers) {
                auto lower = toLowerCase(name);
                if (!isHopByHop(lower) && !lower.starts_with(internalPrefix))
                    head.headers.emplace_back(lower, value);
            }
            auto micros = std::chrono::duration_cast<std::chrono::microseconds>(m_servedIn).count();
            head.headers.emplace_back(std::string(servedHeader), std::to_string(micros));
            head.headers.emplace_back(std::string(loadHeader), std::to_string(m_report.load()));
            m_isAnswered = true;
            m_carried->respond(std::move(head));
            return true;
        }

        call_end end(bool isWhole, httplib::Error error)
        {
            bool wasSent = error != httplib::Error::Connection;
            bool pastDeadline = m_clock().monotonic >= m_carried->deadline();
            if (m_isShed && isWhole)
                m_carried->refuse({ execution::notRun, refusal_reason::backendServerShed,
                    "the backend server shed the request", {} });
            else if (isWhole)
                m_carried->responseBody().finish();
            else
                refuse(error, wasSent, pastDeadline);
            auto latency = m_isAnswered || m_isShed ? m_servedIn : m_clock().monotonic - m_startedAt;
            bool isCancelled = m_carried->isCancelled();
            request_outcome sample { !isCancelled && (m_failed || m_isShed || !isWhole), latency };
            return { sample, isWhole && !isCancelled, wasSent };
        }

    private:
        void addDeadline(httplib::Request& request)
        {
            auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_carried->deadline() - m_startedAt);
            request.headers.emplace("x-timeout-ms", std::to_string(std::max<std::int64_t>(1, left.count())));
        }

        void addBody(httplib::Request& request)
        {
            const auto& headers = m_carried->request().headers;
            if (auto length = headerValue(headers, "content-length")) {
                request.content_length_ = std::strtoull(length->c_str(), nullptr, 10);
                if (request.content_length_ == 0)
                    return;
                request.content_provider_ = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                    return giveBody(offset, sink);
                };
            } else if (headerValue(headers, bodyHeader) == "chunked") {
                request.is_chunked_content_provider_ = true;
                request.content_provider_ = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                    return giveBody(offset, sink);
                };
            }
        }

        bool giveBody(std::size_t, httplib::DataSink& sink)
        {
            std::array<char, bodyChunk> buffer;
            auto part = m_carried->requestBody().read(buffer.data(), buffer.size(), m_carried->deadline());
            if (part.state == pipe_state::failed || part.state == pipe_state::timedOut)
                return false;
            if (part.state == pipe_state::ended) {
                if (sink.done)
                    sink.done();
                return true;
            }
            return sink.write(buffer.data(), part.bytes);
        }

        void refuse(httplib::Error error, bool wasSent, bool pastDeadline)
        {
            auto reason
                = pastDeadline ? refusal_reason::deadlineExceeded : refusal_reason::backendServerFailed;
            auto outcome = wasSent ? execution::mayHaveRun : execution::notRun;
            m_carried->refuse({ outcome, reason, "the backend server: " + httplib::to_string(error), {} });
        }

        handle<exchange> m_carried;
        const host_report& m_report;
        const clock_hook& m_clock;
        instant m_startedAt;
        duration m_servedIn {};
        bool m_isAnswered = false;
        bool m_isShed = false;
        bool m_failed = false;
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

call_end runBackendCall(const handle<backend_connection>& connection, const handle<exchange>& carried,
    const host_report& report, const clock_hook& clock)
{
    call_in_progress call(carried, report, clock);
    auto left = std::max<duration>(std::chrono::milliseconds(1), carried->deadline() - clock().monotonic);
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(left);
    connection->client.set_read_timeout(micros);
    connection->client.set_write_timeout(micros);
    carried->setCancelHook([connection] { connection->client.stop(); });
    auto request = call.makeRequest();
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool isWhole = connection->client.send(request, response, error);
    carried->setCancelHook(nullptr);
    return call.end(isWhole, error);
}

} // namespace pomelohub
