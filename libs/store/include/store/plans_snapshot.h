#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "core/gossip_message.h"
#include "store/plans_defects.h"

namespace sassafras {

struct Lists;

/** The operators' plans and the evacuated failure domains as read from the platform's store. */
struct PlansSnapshot {
  /** Store revision that the snapshot reflects. */
  uint64_t as_of = 0;
  /** Generation of the plans; 0 if the store has none or they did not change. */
  uint64_t generation = 0;
  std::shared_ptr<const Lists> lists;
  /** The undecoded document, to pass on to peers. */
  std::string document;
  PlansDefects defects;
  /**
   * Why the stored plans could not be decoded, so that those in force may be outdated. The evacuated failure domains
   * are known all the same.
   */
  absl::Status plans_status;
  /** All evacuated failure domains; `as_of` is 0 if they are not known, as in plans from a peer. */
  GossipMessage::Evacuations evacuations;
};

}  // namespace sassafras
