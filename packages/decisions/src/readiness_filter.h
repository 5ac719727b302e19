/** \file
 * Defines the readiness filter: a node that has no configuration yet, or that hears neither the log nor any
 * other node, cannot know of a withdrawn key or a drained data centre, so it refuses.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

enum class node_readiness {
    starting,
    ready,
    isolated,
};

using readiness_hook = std::function<node_readiness(instant now)>;

request_filter makeReadinessFilter(readiness_hook readiness);

} // namespace pomelohub
