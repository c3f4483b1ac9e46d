#include <doctest/doctest.h>

#include <chrono>

#include "single_instance.h"

namespace sassafras {
namespace {

// Guards against ejecting sound endpoints of a service that does not report its load.
TEST_CASE("good health checks without a load report do not count as failures of their endpoints") {
  SingleInstance instance;
  instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
  instance.ReceiveEndpoints({SingleInstance::MakeChange("e0", 10), SingleInstance::MakeChange("e1", 11)}, true, 11);
  constexpr int kMoreThanEject = 30;
  for (int i = 0; i < kMoreThanEject; ++i) {
    for (const Effect::SendProbe& probe : SingleInstance::EffectsOfType<Effect::SendProbe>(instance.ReceiveCall())) {
      Event::ProbeEnded event;
      event.now = instance.Now();
      event.endpoint = probe.endpoint;
      event.answered = true;
      event.call = probe.call;
      instance.HandleEvent(event);
    }
    instance.Advance(std::chrono::milliseconds(100));
  }
  CHECK(SingleInstance::EffectsOfType<Effect::SendProbe>(instance.ReceiveCall()).size() == 2);
}

}  // namespace
}  // namespace sassafras
