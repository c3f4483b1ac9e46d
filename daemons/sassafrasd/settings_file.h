#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafras {

class EntryInstance;

/** The settings file of a running instance: read again when asked, or when its content has changed. */
class SettingsFile {
 public:
  /** @param text  the content that is in force */
  SettingsFile(boost::asio::io_context& context, std::string path, std::string text, EntryInstance& instance);

  /** Starts to look for changes, since the file may change without a signal. */
  void Watch();
  /** Reads the file again; one that cannot be used changes nothing. */
  void Reload();

 private:
  void ReloadIfChanged();

  std::string m_path;
  std::string m_text;
  EntryInstance& m_instance;
  boost::asio::steady_timer m_timer;
};

}  // namespace sassafras
