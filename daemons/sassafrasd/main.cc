#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <popt.h>

#include "base/error.h"
#include "base/system_clock.h"
#include "base/toml_reader.h"
#include "entry/entry_instance.h"
#include "platform/kv_fleet_store.h"
#include "platform/platform_dialect.h"
#include "platform/platform_pages.h"
#include "settings/settings.h"
#include "settings_file.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;
constexpr int kExitStartFailed = 4;
constexpr int kExitRequestsAborted = 5;

/** Parsed command line. */
struct Arguments {
  std::string settings_path;
  bool check_only = false;
};

/** Parses the command line; returns an exit code, or -1 to continue. */
int ParseArguments(int argc, const char** argv, Arguments& arguments) {
  char* path = nullptr;
  int check = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file in TOML (required)", "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("sassafrasd", argc, argv, options, 0), &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, void (*)(void*)> path_owner(path, &std::free);
  if (result < -1) {
    fmt::print(stderr, "sassafrasd: {}: {}; see 'sassafrasd --help'\n", poptBadOption(context.get(), 0),
               poptStrerror(result));
    return kExitUsage;
  }
  if (path == nullptr || poptPeekArg(context.get()) != nullptr) {
    fmt::print(stderr, "sassafrasd: name one settings file with --settings FILE; see 'sassafrasd --help'\n");
    return kExitUsage;
  }
  arguments.settings_path = path;
  arguments.check_only = check != 0;
  return -1;
}

/** Creates the adapters for the platform selected in the settings. */
sassafras::PlatformAdapters MakePlatformAdapters(const sassafras::Settings& settings) {
  sassafras::PlatformAdapters adapters;
  if (settings.store != sassafras::StoreKind::kPlatform)
    return adapters;
  adapters.dialect = std::make_shared<sassafras::platform::PlatformDialect>();
  adapters.pages = std::make_shared<sassafras::platform::PlatformPages>(settings.address_ttl);
  adapters.store = std::make_shared<sassafras::platform::KvFleetStore>(settings.platform.front());
  return adapters;
}

int Run(const sassafras::Settings& settings, const std::string& path, std::string text) {
  // Writing to a connection closed by the other side must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  const sassafras::SystemClock clock;
  sassafras::EntryInstance instance(context, settings, clock, MakePlatformAdapters(settings));
  if (const absl::Status status = instance.Start(); !status.ok()) {
    fmt::print(stderr, "sassafrasd: {}\n", sassafras::MessageOf(status));
    return kExitStartFailed;
  }
  sassafras::SettingsFile file(context, path, std::move(text), instance);
  file.WatchForChanges();
  boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  const std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](boost::system::error_code error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        file.Reload();
      else
        instance.RequestStop();
      // Keeps handling signals: a second SIGTERM or SIGINT must not abort requests in progress.
      wait_for_signal();
    });
  };
  wait_for_signal();
  context.run();
  // Aborted requests still hold references to components of the instance, which would be destroyed before them. The
  // process holds no persistent state, so it can exit without running destructors.
  if (instance.AbortedRequestCount() > 0)
    std::_Exit(kExitRequestsAborted);
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  if (const int code = ParseArguments(argc, argv, arguments); code >= 0)
    return code;
  auto text = sassafras::ReadFile(arguments.settings_path);
  const auto settings = text.ok() ? sassafras::ParseSettings(*text, arguments.settings_path)
                                  : absl::StatusOr<sassafras::Settings>(text.status());
  if (!settings.ok()) {
    fmt::print(stderr, "sassafrasd: {}\n", sassafras::MessageOf(settings.status()));
    return kExitInvalidSettings;
  }
  if (arguments.check_only) {
    fmt::print("{}: settings are valid\n", arguments.settings_path);
    return 0;
  }
  return Run(*settings, arguments.settings_path, *std::move(text));
}
