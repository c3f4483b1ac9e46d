#pragma once

#include <cstddef>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/effect.h"

namespace sassafras {

struct CallState;
struct LoadReport;
struct StateParts;

/**
 * Maximum number of held calls of a service to which answers may give a free slot. It bounds the work for each call
 * that is held and for each answer that shows a free slot.
 */
constexpr size_t kMaxHeldCalls = 256;

/** Returns the maximum wait of the call for probe answers, and the maximum age at which it probes again. */
Duration MaxProbeWait(const CallState& call);

/**
 * Holds the call until it may probe again, or, while the probe budget is low, until an answer shows a free slot.
 * @param endpoint  the best endpoint so far
 * @return false if the call was held long enough, if probing again costs more than `endpoint` is worth, or if the
 * budget is low and kMaxHeldCalls calls are held already
 */
bool HoldForBetter(StateParts& parts,
                   CallHandle handle,
                   EndpointHandle endpoint,
                   float estimate,
                   TimePoint now,
                   Effects& effects);

/**
 * Sends a held call to the endpoint if `load`, which came with an answer that just ended, shows a free slot: of the
 * most urgent calls that would end in time there, one of the account that is next by AccountFairness, and of those the
 * one held longest. This costs no probe.
 */
void DispatchHeldCall(StateParts& parts,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now,
                      Effects& effects);

/**
 * Sends a held call in place of this one to the endpoint at which its own probes found a free slot, if that call is
 * next by priority and account, and holds this one. Otherwise the calls of an account with many calls would get most
 * slots before those that are held.
 */
bool YieldToHeldCall(StateParts& parts,
                     CallHandle handle,
                     EndpointHandle endpoint,
                     float estimate,
                     TimePoint now,
                     Effects& effects);

}  // namespace sassafras
