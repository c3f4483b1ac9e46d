#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "single_instance.h"

namespace sassafras {
namespace {

constexpr int kCalls = 100;

/** Sends a call, plays its probe and its attempt; returns the name of the endpoint that ran it. */
std::string EndpointOfNextCall(SingleInstance& instance) {
  const auto probes = SingleInstance::EffectsOfType<Effect::SendProbe>(instance.ReceiveCall());
  REQUIRE(probes.size() == 1);
  const auto dispatches = SingleInstance::EffectsOfType<Effect::Dispatch>(instance.AnswerProbe(probes.front(), 0, 1));
  REQUIRE(dispatches.size() == 1);
  Event::AttemptEnded ended;
  ended.now = instance.Now();
  ended.call = dispatches.front().call;
  ended.endpoint = dispatches.front().endpoint;
  ended.result = AttemptResult::kAnswered;
  instance.HandleEvent(ended);
  return instance.EndpointName(ended.endpoint);
}

/** Number of calls, of kCalls, that an instance sends to service "s" if it divides them by these weights. */
int CallsOfFirstPart(double first, double second) {
  Lists lists = SingleInstance::MakeLists("");
  lists.plans.front().split = {{"s", first}, {"t", second}};
  SingleInstance instance;
  instance.ReceiveLists(1, std::move(lists));
  EndpointChange of_t = SingleInstance::MakeChange("of-t", 11);
  of_t.row.service = "t";
  instance.ReceiveEndpoints({SingleInstance::MakeChange("of-s", 10), of_t}, true, 11);
  int count = 0;
  for (int i = 0; i < kCalls; ++i)
    count += EndpointOfNextCall(instance) == "of-s" ? 1 : 0;
  return count;
}

// Guards against weights that are cut to whole numbers, or whose sum is out of range.
TEST_CASE("calls are divided by weights that are fractions, and by very large ones") {
  CHECK(CallsOfFirstPart(30, 70) == 30);
  CHECK(CallsOfFirstPart(0.3, 0.7) == 30);
  CHECK(CallsOfFirstPart(0.003, 0.007) == 30);
  CHECK(CallsOfFirstPart(1e308, 1e308) == kCalls / 2);
}

}  // namespace
}  // namespace sassafras
