/** \file
 * Defines datagram_sealer, which encrypts and authenticates the datagrams between nodes with AES-256-GCM,
 * under keys derived from secrets in the settings. Several keys can be accepted at once for key rotation.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <vector>

namespace pomelohub {

/** Thread safety: immutable; any thread. */
class datagram_sealer {
public:
    /** \param secrets are the strings that keys are derived from; the first one encrypts, and all of them
     * decrypt. Precondition: not empty. */
    explicit datagram_sealer(const std::vector<std::string>& secrets);

    /** Encrypts \p plaintext. \return the nonce, the ciphertext and the tag. Throws std::runtime_error when
     * the cipher library fails. */
    std::string seal(std::string_view plaintext) const;

    /** Decrypts \p sealed. \return nothing when it is too short or no key authenticates it. */
    std::optional<std::string> open(std::string_view sealed) const;

private:
    std::vector<digest> m_keys;
};

} // namespace pomelohub
