#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace sassafras {

/** Parsed command line of sassafrasctl. */
struct CtlOptions {
  std::string command;
  /** Configuration that `check` reads instead of the lists in `dir`; empty for none. */
  std::string file;
  /** Configuration that `check` compares `file` with; empty for that in force on the platform, if `platform` is set. */
  std::string against;
  std::vector<std::string> platform;
  /** Addresses of the entry instances to query; empty for those in the platform's instance directory. */
  std::vector<std::string> instances;
  /** Folder with plans.toml, upstreams.toml and the stored document that they are based on. */
  std::string dir = ".";
  std::string author;
  std::string change_id;
  /** Output file for the HTML page of `burn`; empty for none. */
  std::string html_path;
  bool replace = false;
  bool json = false;
  /** How long `apply` waits for the change to be in force everywhere. */
  std::chrono::seconds wait{15};
};

}  // namespace sassafras
