#pragma once

#include <algorithm>
#include <string_view>

#include "core/gossip_message.h"

namespace sassafras {

/** Failure domains to which no requests may be sent, as of the latest revision of the store known to this instance. */
struct EvacuationState {
  /** The names are sorted. */
  GossipMessage::Evacuations known;

  bool Contains(std::string_view failure_domain) const {
    const auto& names = known.failure_domains;
    return std::binary_search(names.begin(), names.end(), failure_domain);
  }
};

}  // namespace sassafras
