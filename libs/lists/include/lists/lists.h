#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "lists/account.h"
#include "lists/caller_limits.h"
#include "lists/endpoint.h"
#include "lists/plan.h"
#include "lists/service.h"

namespace sassafras {

/** Configuration of plans and upstreams as written by the operators, with all cross-references checked. */
struct Lists {
  std::vector<Plan> plans;
  std::vector<Service> services;
  std::vector<Endpoint> endpoints;
  /** Client accounts; if there are none, requests need no API key. */
  std::vector<Account> accounts;
  CallerLimits limits;
  /** Whether a plan could not be decoded and is missing, so that a request without a plan may be one of its. */
  bool has_unreadable_plans = false;
  /** Whether a client account could not be decoded whole, so that an unknown API key may be one of its. */
  bool has_unreadable_accounts = false;
};

/**
 * Parses `plans.toml` and `upstreams.toml` and checks their rows and cross-references.
 * @return the lists, or the first error, which names the file, the row and the remedy
 */
absl::StatusOr<Lists> ParseLists(std::string_view plans_toml, std::string_view upstreams_toml);

/**
 * Describes the differences between two versions of the lists, with one line for each row that was added, removed or
 * changed: "+ plan x", "- endpoint y", "~ service z".
 */
std::vector<std::string> DiffLists(const Lists& before, const Lists& after);

}  // namespace sassafras
