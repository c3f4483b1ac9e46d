#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "entry/page.h"

namespace sassafras {

class Engine;
class PageSource;
struct Settings;

/** Renders the pages under /sassafras/: addresses, health, counters, status and burn. */
class AdminPages {
 public:
  /**
   * @param more     additional pages of the platform, which take precedence; may be null
   * @param refresh  updates the counters of other components before they are rendered
   */
  AdminPages(const Engine& engine,
             const Settings& settings,
             Counters& counters,
             const PageSource* more,
             std::function<void()> refresh);

  /** Renders the page for a request target; an unknown target yields a 404 page that lists the known paths. */
  Page Render(std::string_view target) const;

 private:
  using Renderer = Page (AdminPages::*)() const;
  struct Row {
    std::string_view path;
    Renderer render;
  };
  static const Row kRows[];

  Page Addresses() const;
  Page Health() const;
  Page CountersText() const;
  Page Status() const;
  Page Burn() const;

  const Engine& m_engine;
  const Settings& m_settings;
  Counters& m_counters;
  const PageSource* m_more;
  std::function<void()> m_refresh;
};

}  // namespace sassafras
