/** \file
 * Defines control_plane, which drives control_state: it polls the log, exchanges gossip datagrams, sends
 * requests to peers, and executes the outputs of the controllers on its own strand.
 */
#pragma once

#include "control_state.h"
#include "gossip_socket.h"
#include "peer_client.h"

#include <asio.hpp>

#include <thread>

namespace pomelohub {

/** Dependencies of the control plane. */
struct control_plane_dependencies {
    asio::io_context& io;
    const node_settings& settings;
    control_state& state;
    handle<peer_client> peers;
    handle<gossip_socket> gossip;
    log_access log;
    clock_hook clock;
    random_hook random;
    gossip_socket::strand strand; ///< Shared with the gossip socket.
};

/** A request to the node that holds a slot. */
struct holder_request {
    std::string_view path; ///< See control_path.
    std::string body;
    duration timeout {};
    std::function<void(control_state&, const present&)>
        handleLocally; ///< Called if this node holds the slot.
    std::function<void(result<std::string>)> done; ///< Gets the response of another node, or the error.
};

/** Thread safety: any thread. */
class control_plane : public ref_counted<control_plane> {
public:
    explicit control_plane(control_plane_dependencies dependencies);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();

    /** Posts \p callback to the strand; it gets the state and the time at which it runs. */
    void withState(std::function<void(control_state&, const present&)> callback);

    /** Announces that this node leaves, and releases its slots. \param done is called when the release is in
     * the log, or when the log cannot be reached. */
    void leave(std::function<void()> done);

    /** Stops polling the log and ticking, and waits until started appends have ended. The gossip socket stays
     * open. */
    void stop();

    /** Sends a request to \p peer over a peer stream. \param done is called on any thread. */
    void sendRequest(const peer_address& peer, const std::string& path, const std::string& body,
        duration timeout, std::function<void(result<std::string>)> done);

    /** Sends a request to the node that holds \p slot, which may be this one. */
    void sendToHolder(slot_index slot, const holder_request& holderRequest);

    /** Counts changes of the applied configuration offset and of the in-force offset, for callers that wait
     * for one. */
    const event_counter& changes() const { return m_changes; }

    const control_state& state() const { return m_dependencies.state; }

private:
    void signalChanges();
    void pollLog(log_stream stream);
    bool readOnce(log_stream stream);
    bool waitBeforeRetry(std::uint32_t failures);
    void handleLogPage(log_stream stream, const log_page& page, instant requestedAt);
    bool fetchBootstrapState();
    void startWithoutLog(log_stream stream);
    template <typename F> auto callWithState(F&& read);
    void scheduleTick();
    void executeOutputs(control_outputs out);
    void append(std::vector<append_request> requests, std::function<void()> done);
    void requestPermit(const ejection_request& request);
    void fetchMembersFrom(const peer_address& peer);
    void catchUp(const peer_address& peer, log_stream stream);
    void runAppends(const std::vector<append_request>& requests, const std::function<void()>& done);

    control_plane_dependencies m_dependencies;
    asio::steady_timer m_tickTimer;
    asio::thread_pool m_appender { 1 };
    std::atomic<int> m_appendsInFlight { 0 };
    std::array<std::atomic<bool>, 2> m_hasRead {}; ///< Indexed by log_stream.
    event_counter m_changes;
    std::pair<std::uint64_t, std::uint64_t> m_lastOffsets;
    std::atomic<bool> m_stopping { false };
    std::mutex m_stopMutex;
    std::condition_variable m_stopCondition;
    std::vector<std::thread> m_pollThreads;
};

/** Paths of control requests between nodes. */
namespace control_path {
    inline constexpr std::string_view rate = "/control/rate";
    inline constexpr std::string_view ejection = "/control/ejection";
    inline constexpr std::string_view bootstrapState = "/control/start-state";
    inline constexpr std::string_view members = "/control/members";
    inline constexpr std::string_view records = "/control/records/";
}

} // namespace pomelohub
