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
   * @param extra_pages       additional pages, which take precedence over the built-in ones; may be null
   * @param refresh_counters  updates the counters of other components before they are rendered
   */
  AdminPages(const Engine& engine,
             const Settings& settings,
             Counters& counters,
             const PageSource* extra_pages,
             std::function<void()> refresh_counters);

  /** Renders the page for a request target; an unknown target yields a 404 page that lists the known paths. */
  Page Render(std::string_view target) const;

 private:
  using Renderer = Page (AdminPages::*)() const;
  struct PageEntry {
    std::string_view path;
    Renderer render;
  };
  static const PageEntry kPages[];

  Page RenderAddresses() const;
  Page RenderHealth() const;
  Page RenderCounters() const;
  Page RenderStatus() const;
  Page RenderBurn() const;

  const Engine& m_engine;
  const Settings& m_settings;
  Counters& m_counters;
  const PageSource* m_extra_pages;
  std::function<void()> m_refresh_counters;
};

}  // namespace sassafras
