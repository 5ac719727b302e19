/** \file
 * Defines the readiness filter, which refuses all requests while the node has no configuration yet or is
 * isolated, that is, it reaches neither the log nor any other node. Such a node cannot know of a revoked key
 * or a data centre that was taken out of service.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

enum class node_readiness {
    starting, ///< Has no configuration yet.
    ready,
    isolated, ///< Reaches neither the log nor any other node.
};

/** Returns the readiness of this node at \p now. Thread safety: called from any thread. */
using readiness_hook = std::function<node_readiness(instant now)>;

request_filter makeReadinessFilter(readiness_hook readiness);

} // namespace pomelohub
