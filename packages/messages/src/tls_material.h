/** \file
 * Defines tls_material, the certificate, key and authority by which nodes prove to each other who they are.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <asio/ssl.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

struct tls_files {
    std::string certificate; ///< PEM chain of this node; its common name is the node's identifier.
    std::string privateKey;
    std::string authority; ///< PEM certificate of the fleet's authority.
};

/** A loaded set; connections keep the one that they started with. */
struct tls_contexts : ref_counted<tls_contexts> {
    asio::ssl::context server { asio::ssl::context::tls_server };
    asio::ssl::context client { asio::ssl::context::tls_client };
};

/** Loads \p files. \return a text that names what is wrong when they do not fit. */
tl::expected<handle<tls_contexts>, std::string> loadTlsContexts(const tls_files& files);

/** The common name of the peer's certificate, empty when there is none. */
std::string peerCommonName(SSL* ssl);

} // namespace pomelohub
