#include "probe_schedule.h"

#include <algorithm>

namespace sassafras {

Duration ProbeSchedule::IntervalFor(double probes_per_second) {
  constexpr std::chrono::duration<double> kWindowSeconds = kWindow;
  const double usable = probes_per_second * kWindowSeconds.count() - kReserve;
  if (usable < 1.0)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(kWindowSeconds / usable);
}

void ProbeSchedule::Grant(uint32_t seat, TimePoint valid_until, TimePoint now) {
  if (!Holds(seat, now))
    ++m_seats[seat].term;
  m_seats[seat].valid_until = valid_until;
}

bool ProbeSchedule::HoldsAny(TimePoint now) const {
  return std::any_of(m_seats.begin(), m_seats.end(), [now](const Seat& seat) { return now < seat.valid_until; });
}

bool ProbeSchedule::TakeDue(EndpointHandle endpoint,
                            uint32_t seat,
                            Duration interval,
                            TimePoint now,
                            std::mt19937_64& random) {
  if (interval == Duration::max())
    return false;
  if (endpoint.Index() >= m_plans.size())
    m_plans.resize(endpoint.Index() + 1);
  Plan& plan = m_plans[endpoint.Index()];
  if (plan.term != m_seats[seat].term) {
    plan.term = m_seats[seat].term;
    // The start is spread over one more interval, so that a new holder's probes do not come in a burst.
    const auto spread = static_cast<Duration::rep>(random() % static_cast<uint64_t>(interval.count()));
    plan.next = now + interval + Duration(spread);
    return false;
  }
  if (now < plan.next)
    return false;
  // Counted from now, not from the planned time: a pause must not be made up for.
  plan.next = now + interval;
  return true;
}

}  // namespace sassafras
