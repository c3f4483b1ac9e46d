#include <doctest/doctest.h>

#include <string>

#include "base/error.h"
#include "settings/settings.h"

namespace sassafras {
namespace {

const std::string kValid =
    "instance = \"entry-1\"\nfailure_domain = \"a\"\nlisten = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n"
    "platform = [\"127.0.0.1:3\"]\n";

TEST_CASE("settings with only the required keys are valid") {
  const auto settings = ParseSettings(kValid, "s.toml");
  REQUIRE(settings.ok());
  CHECK(settings->instance == "entry-1");
  CHECK(settings->selection == "hot_cold");
  CHECK(settings->late_binding);
  CHECK(settings->hedge_limit == 10);
}

// Guards against a limit of 0 that is taken for a missing one, and against limits that no number of calls can earn.
TEST_CASE("the hedge limit is in percent of calls, from 0 to 100") {
  const auto off = ParseSettings(kValid + "hedge_limit = 0\n", "s.toml");
  REQUIRE(off.ok());
  CHECK(off->hedge_limit == 0);
  const auto part = ParseSettings(kValid + "hedge_limit = 2.5\n", "s.toml");
  REQUIRE(part.ok());
  CHECK(part->hedge_limit == 2.5);
  for (const char* value : {"-1", "101", "nan", "\"10%\""}) {
    const auto settings = ParseSettings(kValid + "hedge_limit = " + value + "\n", "s.toml");
    REQUIRE_FALSE(settings.ok());
    CHECK(MessageOf(settings.status()).find("'hedge_limit' is not a number from 0 to 100") != std::string::npos);
  }
}

TEST_CASE("the users' platform needs exactly one address") {
  const std::string without =
      "instance = \"e\"\nfailure_domain = \"a\"\nlisten = \"127.0.0.1:1\"\n"
      "peer_listen = \"127.0.0.1:2\"\nstore = \"platform\"\n";
  const auto missing = ParseSettings(without, "s.toml");
  REQUIRE_FALSE(missing.ok());
  CHECK(MessageOf(missing.status()).find("needs one address") != std::string::npos);
  const auto named =
      ParseSettings(without + "platform = [\"127.0.0.1:3\"]\nask_first = \"on\"\nkill_after = \"6s\"\n", "s.toml");
  REQUIRE(named.ok());
  CHECK(named->store == StoreKind::kPlatform);
  CHECK(named->ask_first);
  CHECK(named->kill_after == std::chrono::seconds(6));
}

TEST_CASE("an error is one line that names the file, the line and the remedy") {
  const std::pair<std::string, std::string> rows[] = {
      {kValid + "colour = \"red\"\n", "s.toml line 6: unknown key 'colour'; remove it or use one of:"},
      {kValid + "queue_limit = \"many\"\n", "s.toml line 6: 'queue_limit' is not a whole number from 0 to 1000000"},
      {kValid + "address_ttl = \"5 parsecs\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"99999s\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"1.5.2s\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"nans\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"infs\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"-1.5s\"\n", "'address_ttl' is not a duration"},
      {kValid + "address_ttl = \"2.5\"\n", "'address_ttl' is not a duration"},
      {kValid + "selection = \"best\"\n", "'selection' is none of random, round_robin"},
      {kValid + "platform = []\n", "fix the TOML syntax"},
      {"instance = \"x\"\n", "'failure_domain' is missing"},
      {"instance = 5\n", "'instance' is not a string"},
  };
  for (const auto& [text, expected] : rows) {
    const auto settings = ParseSettings(text, "s.toml");
    REQUIRE_FALSE(settings.ok());
    const std::string message = MessageOf(settings.status());
    CAPTURE(message);
    CHECK(message.find(expected) != std::string::npos);
    CHECK(message.find('\n') == std::string::npos);
  }
}

TEST_CASE("a missing file is reported as unreadable") {
  const auto settings = LoadSettings("no-such-file.toml");
  REQUIRE_FALSE(settings.ok());
  CHECK(ErrorKindOf(settings.status()) == ErrorKind::kInaccessibleFile);
}

}  // namespace
}  // namespace sassafras
