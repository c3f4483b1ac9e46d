#pragma once

#include <memory>

namespace sassafras {

class FleetStore;
class HttpDialect;
class PageSource;

/** Adapters to the platform that an instance runs on. A null adapter selects the native implementation. */
struct PlatformAdapters {
  std::shared_ptr<HttpDialect> dialect;
  std::shared_ptr<PageSource> pages;
  /** If null, lists and instances are read through the etcd gateway named in the settings. */
  std::shared_ptr<FleetStore> store;
};

}  // namespace sassafras
