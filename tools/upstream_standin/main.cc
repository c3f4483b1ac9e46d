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
#include "upstream.h"
#include "upstream_options.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kExitUsage = 2;
constexpr int kExitSockets = 4;
constexpr milliseconds kDrainCheck{20};
/** A drained endpoint goes on refusing for this long, as real ones do while the list of instances lags. */
constexpr milliseconds kDrainLinger{1'500};

bool ReadOptions(int argc, const char** argv, sassafras::UpstreamOptions& options) {
  int64_t probe_us = options.probe_time.count();
  int64_t delay_us = 0;
  int64_t noise_every = 0;
  int64_t noise_length = options.noise_length.count();
  int64_t cold = 0;
  int64_t lag = 0;
  int64_t seed = 1;
  sassafras::Arguments arguments("upstream_standin");
  arguments.Text("name", &options.name, "name of the endpoint");
  arguments.Text("listen", &options.listen, "IP:port to serve at");
  arguments.Text("log", &options.log_path, "file that gets a line for each run, probe and refusal");
  arguments.Integer("slots", &options.slots, "requests run at once");
  arguments.Integer("queue", &options.queue, "requests that wait for a slot; more are refused");
  arguments.Integer("probe-us", &probe_us, "time a probe takes in a slot");
  arguments.Integer("delay-us", &delay_us, "one-way network delay");
  arguments.Integer("noise-every-ms", &noise_every, "mean time between noisy episodes; 0 for none");
  arguments.Integer("noise-length-ms", &noise_length, "length of a noisy episode");
  arguments.Number("noise-factor", &options.noise_factor, "how much slower work is in a noisy episode");
  arguments.Number("stragglers", &options.stragglers, "share of runs that take longer by chance");
  arguments.Number("straggler-factor", &options.straggler_factor, "how many times longer those runs take");
  arguments.Integer("cold-ms", &cold, "time after the start in which work is slower");
  arguments.Number("cold-factor", &options.cold_factor, "how much slower work is at first");
  arguments.Integer("report-lag-ms", &lag, "age of the load that is reported");
  arguments.Integer("seed", &seed, "seed of the random numbers");
  if (!arguments.Parse(argc, argv))
    return false;
  options.probe_time = microseconds(probe_us);
  options.delay = microseconds(delay_us);
  options.noise_every = milliseconds(noise_every);
  options.noise_length = milliseconds(noise_length);
  options.cold_time = milliseconds(cold);
  options.report_lag = milliseconds(lag);
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
  sassafras::Upstream upstream(context, options);
  if (const absl::Status status = upstream.Start(); !status.ok()) {
    fmt::print(stderr, "upstream_standin: {}\n", sassafras::MessageOf(status));
    return kExitSockets;
  }
  boost::asio::steady_timer check(context);
  const auto earliest_end = std::make_shared<std::chrono::steady_clock::time_point>();
  const std::function<void()> finish = [&] {
    check.expires_after(kDrainCheck);
    check.async_wait([&](boost::system::error_code) {
      if (upstream.IsDrained() && std::chrono::steady_clock::now() >= *earliest_end)
        context.stop();
      else
        finish();
    });
  };
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    sassafras::Log(sassafras::LogLevel::kInfo, "draining", {{"name", options.name}});
    *earliest_end = std::chrono::steady_clock::now() + kDrainLinger;
    upstream.Drain();
    finish();
  });
  context.run();
  return 0;
}
