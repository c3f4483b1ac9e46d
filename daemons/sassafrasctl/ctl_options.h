#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace sassafras {

/** Command line of sassafrasctl. */
struct CtlOptions {
  std::string command;
  std::vector<std::string> platform;
  /** Entry instances to ask; empty for those in the platform's list. */
  std::vector<std::string> instances;
  /** Folder with plans.toml, upstreams.toml and the version they are based on. */
  std::string dir = ".";
  std::string author;
  std::string change_id;
  /** File for the HTML page of `burn`; empty for none. */
  std::string html_path;
  bool replace = false;
  bool json = false;
  /** How long `apply` waits for the change to be in force everywhere. */
  std::chrono::seconds wait{15};
};

}  // namespace sassafras
