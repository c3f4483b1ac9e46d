#include "selection.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <utility>

#include "hedge_policy.h"
#include "state_parts.h"
#include "warmup_limit.h"

namespace sassafras {
namespace {

using FloatMicros = std::chrono::duration<float, std::micro>;

/** Candidates sampled for one choice; as many again if the best of them is full. */
constexpr size_t kSamplesPerRound = 5;
/** Random draws of an eligible candidate before the candidates are searched in order. */
constexpr int kRandomDraws = 4;
/** Age at which a load report has half its weight; the rest is the average of the service. */
constexpr FloatMicros kReportHalfWeightAge = std::chrono::milliseconds(50);
/** An endpoint with an older load report does not count as full while it runs no call of this instance. */
constexpr std::chrono::milliseconds kMaxFreshReportAge{100};
/** Share of slots in use above which an endpoint is hot; independent of kNearFullUtilization. */
constexpr float kHotUtilization = 0.8F;
/** Time over which a new or restarted endpoint is brought to full load, and the fraction of slots it starts with. */
constexpr FloatMicros kRampDuration = std::chrono::seconds(10);
constexpr float kRampInitialFraction = 0.2F;
/** Added to the score of endpoints in another failure domain. */
constexpr float kRemotePenalty = 0.15F;
/** An endpoint without progress for this multiple of the service's mean latency counts as slow. */
constexpr float kOverdueFactor = 3.0F;
/** Bounds of the latency ratio; the lower one is also added to the utilization in the score of a cold endpoint. */
constexpr float kMinLatencyRatio = 0.5F;
constexpr float kMaxLatencyRatio = 8.0F;
/** Added to the score of hot endpoints, so that it exceeds that of every cold one. */
constexpr float kHotScoreOffset = 1'000.0F;

constexpr std::array<std::pair<std::string_view, SelectionRule>, 6> kRuleNames = {{
    {"random", SelectionRule::kRandom},
    {"round_robin", SelectionRule::kRoundRobin},
    {"least_in_flight", SelectionRule::kLeastInFlight},
    {"power_of_two", SelectionRule::kPowerOfTwo},
    {"peak_ewma", SelectionRule::kPeakEwma},
    {"hot_cold", SelectionRule::kHotCold},
}};

}  // namespace

bool IsEligible(StateParts& parts, const CallState& call, EndpointHandle endpoint, TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  // The table position may since have been reused for an endpoint of another service.
  if (state.service != call.service || !state.active || state.leaving || state.evacuated)
    return false;
  if (state.ejected_until > now || state.held_off_until > now)
    return false;
  if (state.in_flight >= state.connection_limit)
    return false;
  if (IsBarredForHedge(parts, call, endpoint))
    return false;
  const auto end = call.tried.begin() + call.attempts;
  if (std::find(call.tried.begin(), end, endpoint) != end)
    return false;
  const bool limited = IsWarmupLimitReached(parts, state, now);
  parts.warmup_refusals += limited ? 1 : 0;
  return !limited;
}

std::optional<SelectionRule> ParseSelectionRule(std::string_view name) {
  for (const auto& [known, rule] : kRuleNames) {
    if (known == name)
      return rule;
  }
  return std::nullopt;
}

const Selector::RuleEntry Selector::kRules[] = {
    {SelectionRule::kRandom, &Selector::Random},
    {SelectionRule::kRoundRobin, &Selector::RoundRobin},
    {SelectionRule::kLeastInFlight, &Selector::LeastInFlight},
    {SelectionRule::kPowerOfTwo, &Selector::PowerOfTwo},
    {SelectionRule::kPeakEwma, &Selector::PeakEwma},
    {SelectionRule::kHotCold, &Selector::HotCold},
};

EndpointHandle Selector::Choose(SelectionRule rule) {
  if (m_candidates.empty())
    return {};
  const ChooseMethod choose = kRules[static_cast<size_t>(rule)].choose;
  return (this->*choose)();
}

EndpointHandle Selector::FirstEligibleFrom(size_t start) const {
  const size_t count = m_candidates.size();
  for (size_t step = 0; step < count; ++step) {
    const EndpointHandle endpoint = m_candidates[(start + step) % count];
    if (IsEligible(m_parts, m_call, endpoint, m_now))
      return endpoint;
  }
  return {};
}

EndpointHandle Selector::Sample() const {
  const size_t count = m_candidates.size();
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    const EndpointHandle endpoint = m_candidates[m_parts.random() % count];
    if (IsEligible(m_parts, m_call, endpoint, m_now))
      return endpoint;
  }
  return FirstEligibleFrom(m_parts.random() % count);
}

template <typename Score>
EndpointHandle Selector::BestOf(size_t count, Score score) const {
  EndpointHandle best;
  float best_score = std::numeric_limits<float>::max();
  for (size_t i = 0; i < count; ++i) {
    const EndpointHandle endpoint = Sample();
    if (!endpoint.IsValid())
      return best;
    const float value = score(endpoint);
    if (value < best_score) {
      best = endpoint;
      best_score = value;
    }
  }
  return best;
}

EndpointHandle Selector::Random() {
  return Sample();
}

EndpointHandle Selector::RoundRobin() {
  return FirstEligibleFrom(m_plan.next_round_robin++);
}

EndpointHandle Selector::LeastInFlight() {
  const size_t start = m_parts.random() % m_candidates.size();
  EndpointHandle best;
  for (size_t step = 0; step < m_candidates.size(); ++step) {
    const EndpointHandle endpoint = m_candidates[(start + step) % m_candidates.size()];
    if (!IsEligible(m_parts, m_call, endpoint, m_now))
      continue;
    if (!best.IsValid() || m_parts.At(endpoint).in_flight < m_parts.At(best).in_flight)
      best = endpoint;
  }
  return best;
}

EndpointHandle Selector::PowerOfTwo() {
  return BestOf(2, [this](EndpointHandle endpoint) { return static_cast<float>(m_parts.At(endpoint).in_flight); });
}

EndpointHandle Selector::PeakEwma() {
  return BestOf(2, [this](EndpointHandle endpoint) { return PeakEwmaScore(endpoint); });
}

float Selector::PeakEwmaScore(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  return (state.latency_us + 1.0F) * static_cast<float>(state.in_flight + 1);
}

EndpointHandle Selector::HotCold() {
  const bool may_hold_call = m_parts.options.late_binding;
  EndpointHandle best = BestOf(kSamplesPerRound, [this](EndpointHandle endpoint) { return HotColdScore(endpoint); });
  if (!best.IsValid() || !may_hold_call || !IsFull(best))
    return best;
  // The best sample is full: sample once more before the call has to wait.
  best = BestOf(kSamplesPerRound, [this](EndpointHandle endpoint) { return HotColdScore(endpoint); });
  return best.IsValid() && IsFull(best) ? EndpointHandle() : best;
}

float Selector::EstimatedOccupancy(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  const float mean = m_parts.At(state.service).other_instances_load;
  const auto own = static_cast<float>(state.in_flight);
  if (state.reported_at == TimePoint())
    return own + mean;
  const float others = state.reported_in_flight > state.own_in_flight_at_report
                           ? static_cast<float>(state.reported_in_flight - state.own_in_flight_at_report)
                           : 0.0F;
  const FloatMicros age = m_now - state.reported_at;
  const float weight = kReportHalfWeightAge / (kReportHalfWeightAge + age);
  return own + mean + (others - mean) * weight;
}

float Selector::EffectiveSlots(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  const auto slots = static_cast<float>(state.slots);
  if (state.ramp_start == TimePoint())
    return slots;
  const FloatMicros age = m_now - state.ramp_start;
  const float part = std::min(1.0F, kRampInitialFraction + (1.0F - kRampInitialFraction) * (age / kRampDuration));
  return std::max(1.0F, slots * part);
}

float Selector::UtilizationWithCall(EndpointHandle endpoint) const {
  return (EstimatedOccupancy(endpoint) + 1.0F) / EffectiveSlots(endpoint);
}

bool Selector::IsFull(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  const float slots = EffectiveSlots(endpoint);
  if (static_cast<float>(state.in_flight) + 1.0F > slots)
    return true;
  // Without a fresh report, an endpoint that runs no call of this instance does not count as full: only the answer to a
  // call can show that it has room.
  if (m_now - state.reported_at > kMaxFreshReportAge && state.in_flight == 0)
    return false;
  constexpr float kMinFreeSlots = 0.5F;
  return EstimatedOccupancy(endpoint) + kMinFreeSlots > slots;
}

float Selector::LatencyRatio(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  const float mean = m_parts.At(state.service).LatencyFor(m_call.terms.work);
  if (mean <= 0.0F)
    return 1.0F;
  float latency = state.latency_us > 0.0F ? state.latency_us : mean;
  if (state.in_flight > 0) {
    const float waiting = FloatMicros(m_now - state.progress_at).count();
    if (waiting > kOverdueFactor * mean)
      latency = std::max(latency, waiting);
  }
  return std::clamp(latency / mean, kMinLatencyRatio, kMaxLatencyRatio);
}

float Selector::HotColdScore(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts.At(endpoint);
  const float utilization = UtilizationWithCall(endpoint);
  const float remote = state.same_failure_domain ? 0.0F : kRemotePenalty;
  if (utilization > kHotUtilization)
    return kHotScoreOffset + utilization + remote;
  return LatencyRatio(endpoint) * (utilization + kMinLatencyRatio) + remote;
}

}  // namespace sassafras
