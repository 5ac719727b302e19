#include "tls_material.h"

namespace pomelohub {

static void load(asio::ssl::context& context, const tls_files& files)
{
    context.set_options(asio::ssl::context::default_workarounds);
    SSL_CTX_set_min_proto_version(context.native_handle(), TLS1_3_VERSION);
    context.use_certificate_chain_file(files.certificate);
    context.use_private_key_file(files.privateKey, asio::ssl::context::pem);
    context.load_verify_file(files.authority);
    context.set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
}

tl::expected<handle<tls_contexts>, std::string> loadTlsContexts(const tls_files& files)
{
    handle<tls_contexts> contexts(new tls_contexts);
    try {
        load(contexts->server, files);
        load(contexts->client, files);
    } catch (const std::exception& error) {
        return tl::unexpected("TLS files " + files.certificate + ", " + files.privateKey + ", "
            + files.authority + ": " + error.what());
    }
    return contexts;
}

std::string peerCommonName(SSL* ssl)
{
    constexpr int maxNameLength = 256;
    std::array<char, maxNameLength> name {};
    X509* certificate = SSL_get1_peer_certificate(ssl);
    if (!certificate)
        return "";
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name.data(), maxNameLength);
    X509_free(certificate);
    return name.data();
}

} // namespace pomelohub
