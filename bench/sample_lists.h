#pragma once

#include <cstddef>
#include <string>

#include "lists/lists.h"

namespace sassafras {

/** Makes lists with `endpoints` spread evenly over `services`, and two plans for each service. */
Lists MakeSampleLists(size_t endpoints, size_t services);

/** TOML texts that MakeSampleLists() parses. */
std::string MakeSamplePlansToml(size_t services);
std::string MakeSampleUpstreamsToml(size_t endpoints, size_t services);

}  // namespace sassafras
