#pragma once

#include <chrono>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/gossip_message.h"

namespace sassafras {

struct CallState;
struct StateParts;

/**
 * Gives the call a token of its account's quota, if the account has a limit and the call holds none that is valid.
 * @return false if the call now waits for a token, was continued by ContinueAdmitted(), or was rejected
 */
bool AcquireQuota(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Whether the call may be hedged as far as the quota is concerned. */
bool QuotaAllowsHedge(StateParts& parts, const CallState& call, TimePoint now);

/** Uses the token of the call for a dispatch; without one, the dispatch is reported to an owner as owed. */
void SpendQuota(StateParts& parts, CallState& call, TimePoint now);

/** Restores the token of a call whose latest attempt was not run by its endpoint. */
void UndoSpendQuota(StateParts& parts, CallState& call);

/** Returns the unused token of a call that ends to the stock of its account. */
void ReturnQuota(StateParts& parts, const CallState& call, TimePoint now);

/** Records that a call of the account is rejected over quota; returns when its caller can expect a token. */
std::chrono::milliseconds RecordOverQuota(StateParts& parts, AccountHandle account, TimePoint now);

/** Handles the requests and grants of a message from a peer. */
void OnQuotaMessage(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects);

/** Handles requests without a reply, waiting calls whose deadline has passed, and owed tokens. */
void UpdateQuotas(StateParts& parts, TimePoint now, Effects& effects);

/** When UpdateQuotas() is due. */
TimePoint NextQuotaTime(const StateParts& parts);

/** Drops state that is no longer used, and logs accounts that are within their quota again; due every second. */
void ExpireQuotas(StateParts& parts, TimePoint now);

}  // namespace sassafras
