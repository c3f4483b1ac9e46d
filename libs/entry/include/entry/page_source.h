#pragma once

#include <optional>
#include <string_view>

#include "entry/page.h"

namespace sassafras {

class State;

/** Additional pages, served besides the built-in ones under /sassafras/. */
class PageSource {
 public:
  virtual ~PageSource() = default;
  /** Renders the page for a request target; nullopt if there is no such page. */
  virtual std::optional<Page> Render(std::string_view target, const State& state) const = 0;
};

}  // namespace sassafras
