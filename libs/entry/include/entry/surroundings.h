#pragma once

#include <memory>

namespace sassafras {

class FleetStore;
class HttpDialect;
class PageSource;

/** What an instance needs of the platform that it runs on. Left empty, the product's own ways are used. */
struct Surroundings {
  std::shared_ptr<HttpDialect> dialect;
  std::shared_ptr<PageSource> pages;
  /** Without one, lists and instances are read through the settings' etcd gateway. */
  std::shared_ptr<FleetStore> store;
};

}  // namespace sassafras
