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

/** Pages under /sassafras/: address answer, health, counters, status and burn. */
class AdminPages {
 public:
  /**
   * @param more     pages of the platform; may be null
   * @param refresh  brings the counters of other parts up to date before they are rendered
   */
  AdminPages(const Engine& engine,
             const Settings& settings,
             Counters& counters,
             const PageSource* more,
             std::function<void()> refresh);

  /** Renders the page for a request target; 404 with the list of pages for an unknown one. */
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
