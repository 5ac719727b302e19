/** \file
 * Defines the TLS contexts of nodes, which authenticate each other by certificates (mutual TLS).
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <asio/ssl.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

struct tls_files {
    std::string certificate; ///< PEM certificate chain; its common name is the node's identifier.
    std::string privateKey; ///< PEM private key of the certificate.
    std::string authority; ///< PEM certificate of the certificate authority of the fleet.
};

/** TLS contexts loaded from one set of files. A connection keeps the contexts that it was opened with. */
struct tls_contexts : ref_counted<tls_contexts> {
    asio::ssl::context server { asio::ssl::context::tls_server };
    asio::ssl::context client { asio::ssl::context::tls_client };
};

/** Loads \p files. \return a message with the files and the reason when one of them cannot be loaded. */
tl::expected<handle<tls_contexts>, std::string> loadTlsContexts(const tls_files& files);

/** The common name in the peer's certificate, or an empty string when there is none. */
std::string peerCommonName(SSL* ssl);

} // namespace pomelohub
