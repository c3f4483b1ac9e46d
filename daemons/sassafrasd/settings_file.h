#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafras {

class EntryInstance;

/** Reloads the settings file of a running instance on request and when its content has changed. */
class SettingsFile {
 public:
  /** @param text  file content that the instance was started with */
  SettingsFile(boost::asio::io_context& context, std::string path, std::string text, EntryInstance& instance);

  /** Starts checking the file for changes periodically, since it may change without a signal. */
  void WatchForChanges();
  /** Reads the file and applies it; if it is unreadable or invalid, the current settings stay in force. */
  void Reload();

 private:
  void ReloadIfChanged();

  std::string m_path;
  std::string m_text;
  EntryInstance& m_instance;
  boost::asio::steady_timer m_timer;
};

}  // namespace sassafras
