#include <chrono>
#include <csignal>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "../common/arguments.h"
#include "base/error.h"
#include "base/log.h"
#include "upstream_options.h"
#include "upstream_standin.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kExitUsage = 2;
constexpr int kExitListenFailed = 4;
constexpr milliseconds kDrainCheckPeriod{20};
/**
 * Minimum time from the stop signal to the exit. Until then requests are refused, as real endpoints refuse them while
 * the instance list lags.
 */
constexpr milliseconds kMinDrainTime{1'500};

bool ReadOptions(int argc, const char** argv, sassafras::UpstreamOptions& options) {
  int64_t probe_us = options.probe_time.count();
  int64_t delay_us = 0;
  int64_t noise_every_ms = 0;
  int64_t noise_length_ms = options.noise_duration.count();
  int64_t cold_ms = 0;
  int64_t report_lag_ms = 0;
  int64_t seed = 1;
  sassafras::Arguments arguments("upstream_standin");
  arguments.AddString("name", &options.name, "name of the endpoint");
  arguments.AddString("listen", &options.listen, "IP:port to serve at");
  arguments.AddString("log", &options.log_path, "file for a line per run, end of a run, probe and refusal");
  arguments.AddInteger("slots", &options.slots, "number of requests run in parallel");
  arguments.AddInteger("queue", &options.queue_limit,
                       "limit of requests waiting for a slot; further requests are refused");
  arguments.AddInteger("probe-us", &probe_us, "time for which a probe occupies a slot");
  arguments.AddInteger("delay-us", &delay_us, "one-way network delay");
  arguments.AddInteger("noise-every-ms", &noise_every_ms, "mean time between noisy episodes; 0 for none");
  arguments.AddInteger("noise-length-ms", &noise_length_ms, "duration of a noisy episode");
  arguments.AddNumber("noise-factor", &options.noise_factor, "factor by which a noisy episode slows down processing");
  arguments.AddNumber("stragglers", &options.straggler_share, "share of runs that are stragglers, chosen at random");
  arguments.AddNumber("straggler-factor", &options.straggler_factor, "how many times longer stragglers take");
  arguments.AddInteger("cold-ms", &cold_ms, "time after the start in which processing is slower");
  arguments.AddNumber("cold-factor", &options.cold_factor,
                      "factor by which processing is slower right after the start");
  arguments.AddInteger("report-lag-ms", &report_lag_ms, "minimum time between updates of the reported load");
  arguments.AddInteger("seed", &seed, "seed of the random numbers");
  if (!arguments.Parse(argc, argv))
    return false;
  options.probe_time = microseconds(probe_us);
  options.one_way_delay = microseconds(delay_us);
  options.mean_noise_interval = milliseconds(noise_every_ms);
  options.noise_duration = milliseconds(noise_length_ms);
  options.cold_period = milliseconds(cold_ms);
  options.report_lag = milliseconds(report_lag_ms);
  options.seed = static_cast<uint64_t>(seed);
  if (!options.name.empty() && !options.listen.empty())
    return true;
  fmt::print(stderr, "upstream_standin: --name and --listen are required; see 'upstream_standin --help'\n");
  return false;
}

}  // namespace

int main(int argc, const char** argv) {
  sassafras::UpstreamOptions options;
  if (!ReadOptions(argc, argv, options))
    return kExitUsage;
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  sassafras::UpstreamStandin upstream(context, options);
  if (const absl::Status status = upstream.Start(); !status.ok()) {
    fmt::print(stderr, "upstream_standin: {}\n", sassafras::MessageOf(status));
    return kExitListenFailed;
  }
  boost::asio::steady_timer drain_check_timer(context);
  const auto earliest_exit = std::make_shared<std::chrono::steady_clock::time_point>();
  const std::function<void()> exit_once_drained = [&] {
    drain_check_timer.expires_after(kDrainCheckPeriod);
    drain_check_timer.async_wait([&](boost::system::error_code) {
      if (upstream.IsDrained() && std::chrono::steady_clock::now() >= *earliest_exit)
        context.stop();
      else
        exit_once_drained();
    });
  };
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    sassafras::Log(sassafras::LogLevel::kInfo, "draining", {{"name", options.name}});
    *earliest_exit = std::chrono::steady_clock::now() + kMinDrainTime;
    upstream.Drain();
    exit_once_drained();
  });
  context.run();
  return 0;
}
