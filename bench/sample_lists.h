#pragma once

#include <cstddef>
#include <string>

#include "lists/lists.h"

namespace sassafras {

/** Makes lists of a given size: `endpoints` over `services`, two plans for each service. */
Lists MakeSampleLists(size_t endpoints, size_t services);

/** The same lists as TOML texts. */
std::string MakeSamplePlansToml(size_t services);
std::string MakeSampleUpstreamsToml(size_t endpoints, size_t services);

}  // namespace sassafras
