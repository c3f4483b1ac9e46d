#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/** Event handlers for attempts at endpoints. */
void OnEndpointReported(StateParts& parts, const Event::EndpointReported& event);
void OnAnswerStarted(StateParts& parts, const Event::AnswerStarted& event);
void OnAttemptEnded(StateParts& parts, const Event::AttemptEnded& event, Effects& effects);

}  // namespace sassafras
