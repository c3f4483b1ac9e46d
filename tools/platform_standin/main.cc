#include <chrono>
#include <csignal>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include "../common/arguments.h"
#include "base/error.h"
#include "platform_standin.h"

int main(int argc, const char** argv) {
  std::string listen;
  int64_t instance_list_lag_ms = 1'000;
  sassafras::Arguments arguments("platform_standin");
  arguments.AddString("listen", &listen, "IP:port to serve at");
  arguments.AddInteger("directory-lag-ms", &instance_list_lag_ms, "age of the instance list that reads return");
  if (!arguments.Parse(argc, argv))
    return 2;
  if (listen.empty()) {
    fmt::print(stderr, "platform_standin: --listen is required; see 'platform_standin --help'\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  sassafras::PlatformStandin platform(context, std::chrono::milliseconds(instance_list_lag_ms));
  if (const absl::Status status = platform.Start(listen); !status.ok()) {
    fmt::print(stderr, "platform_standin: {}\n", sassafras::MessageOf(status));
    return 4;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
