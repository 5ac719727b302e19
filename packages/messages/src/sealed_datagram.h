/** \file
 * Defines datagram_sealer, which encrypts and authenticates the datagrams between nodes with keys from the
 * settings (AES-256-GCM). A second key is accepted while keys are replaced.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <vector>

namespace pomelohub {

/** Thread safety: immutable; any thread. */
class datagram_sealer {
public:
    /** \param secrets texts from which keys are derived; the first one seals. Precondition: not empty. */
    explicit datagram_sealer(const std::vector<std::string>& secrets);

    /** \return nonce, ciphertext and tag. */
    std::string seal(std::string_view plain) const;

    /** \return nothing when no key fits. */
    std::optional<std::string> open(std::string_view sealed) const;

private:
    std::vector<digest> m_keys;
};

} // namespace pomelohub
