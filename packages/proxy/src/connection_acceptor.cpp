#include "connection_acceptor.h"

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    /** Delay before the next accept() after a failure, which is usually due to a lack of file descriptors. */
    constexpr duration retryDelay = std::chrono::milliseconds(50);

} // namespace

connection_acceptor::connection_acceptor(asio::io_context& context, hooks hooks)
    : m_context(context)
    , m_hooks(std::move(hooks))
    , m_acceptor(context)
    , m_retryTimer(context)
{
}

std::optional<std::string> connection_acceptor::listen(const tcp::endpoint& address)
{
    std::error_code error;
    m_acceptor.open(address.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(address, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return "cannot listen on " + address.address().to_string() + ":" + std::to_string(address.port())
            + ": " + error.message();
    accept();
    return std::nullopt;
}

void connection_acceptor::accept()
{
    auto& context = m_hooks.selectContext ? *m_hooks.selectContext() : m_context;
    m_acceptor.async_accept(context, [this](std::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            if (m_hooks.onFailure)
                m_hooks.onFailure(error);
            scheduleRetry();
            return;
        }
        m_hooks.onAccepted(std::move(socket));
        accept();
    });
}

void connection_acceptor::scheduleRetry()
{
    m_retryTimer.startAfter(retryDelay, [this] { accept(); });
}

} // namespace pomelohub
