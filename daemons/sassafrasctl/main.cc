#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <popt.h>

#include "commands.h"
#include "ctl_options.h"
#include "exit_code.h"

namespace sassafras {
namespace {

constexpr const char* kUsage =
    "COMMAND\n"
    "Commands:\n"
    "  check    check the lists in --dir; check FILE: a configuration before it is sent to the platform, compared\n"
    "           with --against FILE or with that in force on --platform\n"
    "  show     fetch the stored lists into --dir, as the base of an edit\n"
    "  diff     show what an apply would change\n"
    "  apply    store the lists in --dir and wait until they are in force everywhere\n"
    "  outcome  report whether the change --change-id was accepted\n"
    "  status   show the state of every entry instance\n"
    "  burn     report service-level burn for each plan\n"
    "Exit codes: 0 done, 1 internal, 2 usage, 3 invalid input, 4 unreachable, 5 conflict or not accepted,\n"
    "  6 outcome unknown, 7 accepted but not yet in force everywhere\n"
    "Exit codes of check FILE: 0 clean, 1 findings, 2 unusable";

std::vector<std::string> Split(const std::string& text) {
  if (text.empty())
    return {};
  return absl::StrSplit(text, ',');
}

/** Parses the command line into `options`; prints an error and returns false if it is invalid. */
bool ParseOptions(int argc, const char** argv, CtlOptions& options) {
  char* platform = nullptr;
  char* instances = nullptr;
  char* dir = nullptr;
  char* author = nullptr;
  char* change_id = nullptr;
  char* output = nullptr;
  char* against = nullptr;
  char* html = nullptr;
  int replace = 0;
  int wait_seconds = static_cast<int>(options.wait.count());
  const poptOption table[] = {
      {"platform", 'p', POPT_ARG_STRING, &platform, 0, "the platform's key-value service", "IP:PORT[,...]"},
      {"instances", 'i', POPT_ARG_STRING, &instances, 0, "entry instances to query, instead of the platform's list",
       "IP:PORT[,...]"},
      {"dir", 'd', POPT_ARG_STRING, &dir, 0, "folder with plans.toml and upstreams.toml (default: .)", "DIR"},
      {"author", 'a', POPT_ARG_STRING, &author, 0, "who makes the change (default: $USER)", "NAME"},
      {"change-id", 'c', POPT_ARG_STRING, &change_id, 0, "id of the change", "ID"},
      {"replace", 0, POPT_ARG_NONE, &replace, 0, "apply even if the stored lists have changed since the edit began",
       nullptr},
      {"wait", 'w', POPT_ARG_INT, &wait_seconds, 0, "seconds that apply waits for the change to be in force",
       "SECONDS"},
      {"output", 'o', POPT_ARG_STRING, &output, 0, "text (default) or json", "FORMAT"},
      {"format", 0, POPT_ARG_STRING, &output, 0, "the same as --output", "FORMAT"},
      {"against", 0, POPT_ARG_STRING, &against, 0, "configuration that check FILE compares with", "FILE"},
      {"html", 0, POPT_ARG_STRING, &html, 0, "also write the burn report as an HTML page", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("sassafrasctl", argc, argv, table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), kUsage);
  const int result = poptGetNextOpt(context.get());
  const auto take_string = [](char* text) {
    std::string value = text == nullptr ? "" : text;
    std::free(text);
    return value;
  };
  options.platform = Split(take_string(platform));
  options.instances = Split(take_string(instances));
  if (std::string value = take_string(dir); !value.empty())
    options.dir = value;
  options.author = take_string(author);
  options.change_id = take_string(change_id);
  options.html_path = take_string(html);
  options.against = take_string(against);
  const std::string format = take_string(output);
  options.json = format == "json";
  options.replace = replace != 0;
  options.wait = std::chrono::seconds(wait_seconds);
  if (const char* user = std::getenv("USER"); options.author.empty() && user != nullptr)
    options.author = user;
  if (options.author.empty())
    options.author = "unknown";
  if (result < -1) {
    fmt::print(stderr, "sassafrasctl: {}: {}; see 'sassafrasctl --help'\n", poptBadOption(context.get(), 0),
               poptStrerror(result));
    return false;
  }
  if (!format.empty() && format != "json" && format != "text") {
    fmt::print(stderr, "sassafrasctl: unknown --output format '{}'; use text or json\n", format);
    return false;
  }
  const char* command = poptGetArg(context.get());
  const bool is_check = command != nullptr && std::string_view(command) == "check";
  if (const char* file = is_check ? poptGetArg(context.get()) : nullptr)
    options.file = file;
  if (command == nullptr || poptPeekArg(context.get()) != nullptr) {
    fmt::print(stderr, "sassafrasctl: name one command; see 'sassafrasctl --help'\n");
    return false;
  }
  if (!options.against.empty() && options.file.empty()) {
    fmt::print(stderr, "sassafrasctl: --against needs check FILE; see 'sassafrasctl --help'\n");
    return false;
  }
  options.command = command;
  return true;
}

}  // namespace
}  // namespace sassafras

int main(int argc, const char** argv) {
  sassafras::CtlOptions options;
  if (!sassafras::ParseOptions(argc, argv, options))
    return static_cast<int>(sassafras::ExitCode::kUsage);
  boost::asio::io_context context(1);
  sassafras::Commands commands(options);
  auto code = sassafras::ExitCode::kInternal;
  boost::asio::co_spawn(context, commands.Run(),
                        [&code](const std::exception_ptr& failure, sassafras::ExitCode result) {
                          if (failure == nullptr)
                            code = result;
                        });
  context.run();
  return static_cast<int>(code);
}
