#include "probe_schedule.h"

#include <algorithm>

namespace sassafras {

Duration ProbeSchedule::ProbeInterval(double probes_per_second) {
  constexpr std::chrono::duration<double> kBudgetWindowSeconds = kBudgetWindow;
  const double usable = probes_per_second * kBudgetWindowSeconds.count() - kReservedProbes;
  if (usable < 1.0)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(kBudgetWindowSeconds / usable);
}

void ProbeSchedule::Grant(uint32_t seat, TimePoint valid_until, TimePoint now) {
  if (!Holds(seat, now))
    ++m_seats[seat].term;
  m_seats[seat].valid_until = valid_until;
}

bool ProbeSchedule::HoldsAny(TimePoint now) const {
  return std::any_of(m_seats.begin(), m_seats.end(), [now](const Seat& seat) { return now < seat.valid_until; });
}

bool ProbeSchedule::TakeIfDue(EndpointHandle endpoint,
                              uint32_t seat,
                              Duration interval,
                              TimePoint now,
                              std::mt19937_64& random) {
  if (interval == Duration::max())
    return false;
  if (endpoint.Index() >= m_scheduled.size())
    m_scheduled.resize(endpoint.Index() + 1);
  ScheduledProbe& scheduled = m_scheduled[endpoint.Index()];
  if (scheduled.term != m_seats[seat].term) {
    scheduled.term = m_seats[seat].term;
    // First probes are spread over one more interval, so that a new holder does not probe all endpoints in a burst.
    const auto spread = static_cast<Duration::rep>(random() % static_cast<uint64_t>(interval.count()));
    scheduled.due = now + interval + Duration(spread);
    return false;
  }
  if (now < scheduled.due)
    return false;
  // Counted from now and not from the scheduled time, so that probes missed in a pause are not sent later.
  scheduled.due = now + interval;
  return true;
}

}  // namespace sassafras
