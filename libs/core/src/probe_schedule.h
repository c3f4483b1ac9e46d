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
 * Decides when this instance may probe an endpoint.
 *
 * The endpoints are divided into partitions, the seats, which instances lease from the platform; only the holder of a
 * seat may probe its endpoints. The number of seats is a constant, because instances that disagreed on it would probe
 * an endpoint twice. A new holder waits for a full interval before its first probe, and ProbeInterval() reserves budget
 * for one late probe of an earlier holder that was paused between its last check and its send.
 */
class ProbeSchedule {
 public:
  static constexpr uint32_t kSeatCount = 16;
  /** Time window in which the number of probes stays within the budget. */
  static constexpr std::chrono::seconds kBudgetWindow{10};
  /**
   * Probes per window that are not scheduled: one for a late probe of a paused earlier holder, one for the edge of the
   * window, which may start at any time.
   */
  static constexpr double kReservedProbes = 2.0;

  static uint32_t SeatOf(uint64_t endpoint_hash) { return static_cast<uint32_t>(endpoint_hash % kSeatCount); }
  /** Time between probes of one endpoint; Duration::max() if the budget allows none. */
  static Duration ProbeInterval(double probes_per_second);

  /** Records that a seat was granted or renewed. */
  void Grant(uint32_t seat, TimePoint valid_until, TimePoint now);
  void Release(uint32_t seat) { m_seats[seat].valid_until = {}; }
  bool Holds(uint32_t seat, TimePoint now) const { return now < m_seats[seat].valid_until; }
  bool HoldsAny(TimePoint now) const;
  TimePoint ValidUntil(uint32_t seat) const { return m_seats[seat].valid_until; }

  /** Returns whether a probe of the endpoint, whose seat must be held, is due; if so, schedules the next one. */
  bool TakeIfDue(EndpointHandle endpoint, uint32_t seat, Duration interval, TimePoint now, std::mt19937_64& random);

 private:
  struct Seat {
    TimePoint valid_until{};
    /** Number of grants, not counting renewals; identifies probes that were scheduled in an earlier term. */
    uint32_t term = 0;
  };
  struct ScheduledProbe {
    TimePoint due{};
    uint32_t term = 0;
  };
  std::array<Seat, kSeatCount> m_seats{};
  std::vector<ScheduledProbe> m_scheduled;
};

}  // namespace sassafras
