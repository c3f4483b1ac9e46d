#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "lists/caller_limits.h"
#include "lists/endpoint.h"
#include "lists/plan.h"
#include "lists/service.h"

namespace sassafras {

/** The operators' two lists, checked against each other. */
struct Lists {
  std::vector<Plan> plans;
  std::vector<Service> services;
  std::vector<Endpoint> endpoints;
  CallerLimits limits;
};

/**
 * Parses and checks both lists.
 * @return the lists, or the first problem with file, line, row and remedy
 */
absl::StatusOr<Lists> ParseLists(std::string_view plans_toml, std::string_view upstreams_toml);

/**
 * Describes what differs between two versions of the lists, one line a row: "+ plan x", "- endpoint y",
 * "~ service z".
 */
std::vector<std::string> DiffLists(const Lists& before, const Lists& after);

}  // namespace sassafras
