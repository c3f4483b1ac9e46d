#pragma once

#include "base/clock.h"

namespace sassafras {

/**
 * State of the confirmations that an instance gets, makes and passes on.
 *
 * One of the watchers, the confirmer, asks the store often whether anything has changed and tells the other watchers,
 * which their failure domains query. The other watchers only wait for changes.
 */
struct FreshnessState {
  /** Whether this instance is the confirmer of the fleet. */
  bool is_confirmer = false;
  /** Where the age at which this instance reads lies between the first and the last read of the fleet; 0 to 1. */
  double read_order = 1;
  /**
   * No read before this time: the fleet was not known, and there has to be time to be told what others know. Until the
   * fleet is known, there is none.
   */
  TimePoint reads_from = TimePoint::max();
  /** Not before this time, because the store has just failed a call of this instance. */
  TimePoint retry_at{};
  /** Whether a read is in progress whose result confirms the lists, or the endpoints, for the other instances too. */
  bool confirming_lists = false;
  bool confirming_endpoints = false;
  /** The confirmations of the lists and the endpoints after which a read for their age was logged. */
  TimePoint logged_lists = TimePoint::max();
  TimePoint logged_endpoints = TimePoint::max();
};

}  // namespace sassafras
