/** \file
 * What becomes of calls when the other node ends its side of a link in order (GOAWAY).
 */
#include "loopback.h"
#include "peer_forwarder.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** The HTTP/2 server of a node that says GOAWAY when the test asks for it. */
class leaving_server {
public:
    explicit leaving_server(asio::io_context& context, const tcp::endpoint& endpoint)
        : m_acceptor(context, endpoint)
    {
        accept();
    }
    ~leaving_server()
    {
        for (const auto& each : m_connections)
            nghttp2_session_del(each->session);
    }
    leaving_server(const leaving_server&) = delete;
    leaving_server& operator=(const leaving_server&) = delete;

    std::size_t connectionCount() const { return m_connections.size(); }
    std::size_t requestCount(std::size_t connection) const
    {
        return m_connections.at(connection)->streams.size();
    }

    /** Accepts no stream after \p lastStream. */
    void leave(std::size_t connection, std::int32_t lastStream)
    {
        auto& left = *m_connections.at(connection);
        nghttp2_submit_goaway(left.session, NGHTTP2_FLAG_NONE, lastStream, NGHTTP2_NO_ERROR, nullptr, 0);
        send(left);
    }

    void reply(std::size_t connection, std::int32_t stream)
    {
        auto& replying = *m_connections.at(connection);
        std::string name = "kind";
        std::string value = "reply";
        auto* bytes = reinterpret_cast<std::uint8_t*>(name.data());
        nghttp2_nv field { bytes, reinterpret_cast<std::uint8_t*>(value.data()), name.size(), value.size(),
            0 };
        nghttp2_submit_response(replying.session, stream, &field, 1, nullptr);
        send(replying);
    }

    std::int32_t streamOf(std::size_t connection, std::size_t request) const
    {
        return m_connections.at(connection)->streams.at(request);
    }

private:
    struct connection {
        explicit connection(tcp::socket connected)
            : socket(std::move(connected))
        {
        }

        tcp::socket socket;
        nghttp2_session* session = nullptr;
        std::array<std::uint8_t, 4096> input {};
        std::vector<std::int32_t> streams; ///< Of the requests, in order of arrival.
    };

    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            m_connections.push_back(std::make_unique<connection>(std::move(socket)));
            start(*m_connections.back());
            accept();
        });
    }

    static void start(connection& started)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(
            callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
                static_cast<connection*>(user)->streams.push_back(frame->hd.stream_id);
                return 0;
            });
        nghttp2_option* option = nullptr;
        nghttp2_option_new(&option);
        nghttp2_option_set_no_http_messaging(option, 1);
        nghttp2_session_server_new2(&started.session, callbacks, &started, option);
        nghttp2_option_del(option);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(started.session, NGHTTP2_FLAG_NONE, nullptr, 0);
        send(started);
        receive(started);
    }

    static void send(connection& sending)
    {
        const std::uint8_t* data = nullptr;
        for (;;) {
            auto length = nghttp2_session_mem_send(sending.session, &data);
            if (length <= 0)
                return;
            asio::write(sending.socket, asio::buffer(data, static_cast<std::size_t>(length)));
        }
    }

    static void receive(connection& receiving)
    {
        receiving.socket.async_read_some(
            asio::buffer(receiving.input), [&receiving](std::error_code error, std::size_t length) {
                if (error)
                    return;
                nghttp2_session_mem_recv(receiving.session, receiving.input.data(), length);
                send(receiving);
                receive(receiving);
            });
    }

    tcp::acceptor m_acceptor;
    std::vector<std::unique_ptr<connection>> m_connections;
};

struct leaving_fixture {
    asio::io_context context;
    tcp::endpoint endpoint = freeEndpoint();
    leaving_server server { context, endpoint };
    peer_forwarder forwarder { context, node_id("self"), {}, quietLog(), { readSystemClock } };

    /** Sends a request. \return what becomes of it: null until it has a reply or has failed. */
    std::shared_ptr<std::optional<bool>> ask()
    {
        auto hasReply = std::make_shared<std::optional<bool>>();
        forwarder.sendRequest(textOf(endpoint), { { { "type", "t" } }, "" }, 5s,
            [hasReply](const std::optional<peer_message>& reply) { *hasReply = reply.has_value(); });
        return hasReply;
    }

    bool run(const std::function<bool()>& condition) { return runUntil(context, condition); }
};

/** A link with one call that the server has received. */
struct accepted_call {
    asio::io_context context;
    tcp::endpoint endpoint = freeEndpoint();
    leaving_server server { context, endpoint };
    bool isIdle = false;
    handle<peer_link> link = peer_link::makeClient(
        context, {}, { nullptr, nullptr, nullptr, readSystemClock, [this] { isIdle = true; } });
    std::optional<peer_call_failure> failure;
    bool hasReply = false;
    handle<peer_call> call;

    accepted_call()
    {
        link->connect(endpoint);
        call = link->call({ { { "type", "t" } }, "" }, false,
            { nullptr, [this](peer_message&&) { hasReply = true; },
                [this](peer_call_failure why) { failure = why; } });
        REQUIRE(run([&] { return server.connectionCount() == 1 && server.requestCount(0) == 1; }));
    }
    ~accepted_call() { link->close(); }

    bool run(const std::function<bool()>& condition) { return runUntil(context, condition); }
};

} // namespace

// Guards against new requests that fail for as long as a link that takes none is being closed.
TEST_CASE("After GOAWAY an accepted call gets its reply, and new ones go to a new link")
{
    leaving_fixture fixture;
    auto accepted = fixture.ask();
    REQUIRE(fixture.run(
        [&] { return fixture.server.connectionCount() == 1 && fixture.server.requestCount(0) == 1; }));
    fixture.server.leave(0, fixture.server.streamOf(0, 0));
    std::vector<std::shared_ptr<std::optional<bool>>> later;
    REQUIRE(fixture.run([&] {
        later.push_back(fixture.ask());
        return fixture.server.connectionCount() == 2 && fixture.server.requestCount(1) > 0;
    }));
    CHECK_FALSE(accepted->has_value());
    fixture.server.reply(0, fixture.server.streamOf(0, 0));
    REQUIRE(fixture.run([&] { return accepted->has_value(); }));
    CHECK(**accepted);
    // All calls end, since an open one and its link refer to each other.
    std::size_t replied = 0;
    REQUIRE(fixture.run([&] {
        while (replied < fixture.server.requestCount(1))
            fixture.server.reply(1, fixture.server.streamOf(1, replied++));
        return std::all_of(later.begin(), later.end(), [](const auto& each) { return each->has_value(); });
    }));
    CHECK(std::any_of(later.begin(), later.end(), [](const auto& each) { return **each; }));
}

// Guards against a call that waits for its time limit, or counts as sent, on a link that takes none.
TEST_CASE("A call on a link whose server has said GOAWAY fails as not sent")
{
    accepted_call fixture;
    fixture.server.leave(0, fixture.server.streamOf(0, 0));
    REQUIRE(fixture.run([&] { return !fixture.link->acceptsCalls(); }));
    std::optional<peer_call_failure> failure;
    auto call = fixture.link->call({ { { "type", "t" } }, "" }, false,
        { nullptr, nullptr, [&](peer_call_failure why) { failure = why; } });
    REQUIRE(fixture.run([&] { return failure.has_value(); }));
    CHECK(*failure == peer_call_failure::notSent);
    CHECK_FALSE(fixture.failure);
    fixture.server.reply(0, fixture.server.streamOf(0, 0));
    REQUIRE(fixture.run([&] { return fixture.hasReply; }));
    CHECK(fixture.run([&] { return !fixture.link->isOpen(); }));
    CHECK(fixture.isIdle);
}

TEST_CASE("A call that the server has not accepted before its GOAWAY fails as not sent")
{
    accepted_call fixture;
    fixture.server.leave(0, 0);
    REQUIRE(fixture.run([&] { return fixture.failure.has_value(); }));
    CHECK(*fixture.failure == peer_call_failure::notSent);
}

TEST_CASE("A call that was submitted but not written when GOAWAY came fails as not sent")
{
    accepted_call fixture;
    // More than the socket and the stream take, so that the next call waits behind it.
    fixture.server.leave(0, fixture.server.streamOf(0, 0));
    std::vector<handle<peer_call>> calls;
    std::size_t notSent = 0;
    std::size_t lost = 0;
    constexpr std::size_t count = 50;
    for (std::size_t i = 0; i < count; ++i) {
        calls.push_back(fixture.link->call({ { { "type", std::string(100'000, 't') } }, "" }, false,
            { nullptr, nullptr,
                [&](peer_call_failure why) { ++(why == peer_call_failure::notSent ? notSent : lost); } }));
    }
    REQUIRE(fixture.run([&] { return notSent + lost == count; }));
    CHECK(lost == 0);
}
