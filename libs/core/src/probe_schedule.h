#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/**
 * Decides when this instance may probe.
 *
 * The right to probe an endpoint belongs to the holder of the endpoint's seat, leased from the platform.
 * The number of seats is fixed in the program, because instances that disagreed on it would probe an
 * endpoint twice. A holder starts with a full interval of silence, and its interval leaves room for one
 * probe of a holder that was paused between its last check and its send.
 */
class ProbeSchedule {
 public:
  static constexpr uint32_t kSeats = 16;
  /** Window over which a budget is kept. */
  static constexpr std::chrono::seconds kWindow{10};
  /** Probes of a window left unused: one for a paused earlier holder, one for the window's edge. */
  static constexpr double kReserve = 2.0;

  static uint32_t SeatOf(uint64_t endpoint_hash) { return static_cast<uint32_t>(endpoint_hash % kSeats); }
  /** Time between probes of one endpoint; Duration::max() if the budget allows none. */
  static Duration IntervalFor(double probes_per_second);

  /** Takes a grant or renewal of a seat. */
  void Grant(uint32_t seat, TimePoint valid_until, TimePoint now);
  void Release(uint32_t seat) { m_seats[seat].valid_until = {}; }
  bool Holds(uint32_t seat, TimePoint now) const { return now < m_seats[seat].valid_until; }
  bool HoldsAny(TimePoint now) const;
  TimePoint ValidUntil(uint32_t seat) const { return m_seats[seat].valid_until; }

  /** Returns whether the endpoint of a held seat is due, and if so reckons with the probe as sent. */
  bool TakeDue(EndpointHandle endpoint, uint32_t seat, Duration interval, TimePoint now, std::mt19937_64& random);

 private:
  struct Seat {
    TimePoint valid_until{};
    /** Counts grants that were no renewals, so that older plans for probes are recognised. */
    uint32_t term = 0;
  };
  struct Plan {
    TimePoint next{};
    uint32_t term = 0;
  };
  std::array<Seat, kSeats> m_seats{};
  std::vector<Plan> m_plans;
};

}  // namespace sassafras
