#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "../common/arguments.h"
#include "base/error.h"
#include "load_generator.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitWrongAnswers = 6;

bool ReadOptions(int argc, const char** argv, sassafras::LoadOptions& options, std::string& output) {
  std::vector<std::string> flows;
  int64_t seconds = 5;
  int64_t warmup_ms = options.warmup.count();
  int64_t seed = 1;
  sassafras::Arguments arguments("caller");
  arguments.AddStringList("entry", &options.entry_addresses,
                          "IP:port of an instance to fetch addresses from; may be repeated");
  arguments.AddFlag("direct", &options.direct, "send calls to the --entry addresses without fetching other addresses");
  arguments.AddStringList(
      "flow", &flows,
      "name=..,path=..,rate=..[,method=,work-us=,fixed-work=,stragglers=,straggler-factor=,deadline-ms=,"
      "answer-bytes=,request-bytes=,keyed=,resend=,swings=,fault=]; may be repeated");
  arguments.AddInteger("seconds", &seconds, "duration of the load after the warm-up");
  arguments.AddInteger("warmup-ms", &warmup_ms, "time at the start in which calls are not counted");
  arguments.AddNumber("swing", &options.peak_factor, "factor of the rates in the middle third of the time");
  arguments.AddInteger("seed", &seed, "seed of the arrival and processing times");
  arguments.AddInteger("max-sends", &options.max_sends, "limit of sends per call");
  arguments.AddString("log", &options.log_path, "file that gets a line for each send");
  arguments.AddString("output", &output, "file for the JSON result; standard output without it");
  if (!arguments.Parse(argc, argv))
    return false;
  for (const std::string& text : flows) {
    auto flow = sassafras::ParseFlow(text);
    if (!flow.ok()) {
      fmt::print(stderr, "caller: {}\n", sassafras::MessageOf(flow.status()));
      return false;
    }
    options.flows.push_back(*std::move(flow));
  }
  options.measurement_time = std::chrono::seconds(seconds);
  options.warmup = std::chrono::milliseconds(warmup_ms);
  options.seed = static_cast<uint64_t>(seed);
  if (!options.entry_addresses.empty() && !options.flows.empty())
    return true;
  fmt::print(stderr, "caller: at least one --entry and one --flow are required; see 'caller --help'\n");
  return false;
}

bool WriteResult(const std::string& path, const std::string& text) {
  std::FILE* file = path.empty() ? stdout : std::fopen(path.c_str(), "w");
  if (file == nullptr) {
    fmt::print(stderr, "caller: {}: cannot open the file for writing; check that its directory exists\n", path);
    return false;
  }
  std::fputs(text.c_str(), file);
  if (file != stdout)
    std::fclose(file);
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  sassafras::LoadOptions options;
  std::string output;
  if (!ReadOptions(argc, argv, options, output))
    return kExitUsage;
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  sassafras::LoadGenerator generator(context, options);
  boost::asio::co_spawn(context, generator.Run(), [&context](const std::exception_ptr&) { context.stop(); });
  context.run();
  if (!WriteResult(output, boost::json::serialize(generator.ToJson()) + "\n"))
    return kExitUsage;
  return generator.HasWrongAnswers() ? kExitWrongAnswers : 0;
}
