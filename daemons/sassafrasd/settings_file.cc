#include "settings_file.h"

#include <chrono>
#include <utility>

#include "base/error.h"
#include "base/log.h"
#include "base/toml_reader.h"
#include "entry/entry_instance.h"
#include "settings/settings.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kCheckPeriod{3};

}  // namespace

SettingsFile::SettingsFile(boost::asio::io_context& context,
                           std::string path,
                           std::string text,
                           EntryInstance& instance)
    : m_path(std::move(path)), m_text(std::move(text)), m_instance(instance), m_timer(context) {}

void SettingsFile::WatchForChanges() {
  m_timer.expires_after(kCheckPeriod);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    ReloadIfChanged();
    WatchForChanges();
  });
}

void SettingsFile::ReloadIfChanged() {
  const absl::StatusOr<std::string> text = ReadFile(m_path);
  if (text.ok() && *text != m_text)
    Reload();
}

void SettingsFile::Reload() {
  const absl::StatusOr<std::string> text = ReadFile(m_path);
  if (!text.ok()) {
    Log(LogLevel::kError, "settings_unusable", {{"error", MessageOf(text.status())}});
    return;
  }
  m_text = *text;
  const absl::StatusOr<Settings> settings = ParseSettings(m_text, m_path);
  if (settings.ok())
    m_instance.Reload(*settings);
  else
    Log(LogLevel::kError, "settings_unusable", {{"error", MessageOf(settings.status())}});
}

}  // namespace sassafras
