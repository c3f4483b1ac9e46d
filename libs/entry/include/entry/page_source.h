#pragma once

#include <optional>
#include <string_view>

#include "entry/page.h"

namespace sassafras {

class State;

/** Pages beside the product's own ones under /sassafras/. */
class PageSource {
 public:
  virtual ~PageSource() = default;
  /** Renders the page for a request target; nothing if there is none. */
  virtual std::optional<Page> Render(std::string_view target, const State& state) const = 0;
};

}  // namespace sassafras
