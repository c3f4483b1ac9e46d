#include <doctest/doctest.h>

#include <chrono>
#include <memory>

#include "core/effect.h"
#include "core/event.h"
#include "core/reducer.h"
#include "core/state.h"
#include "core/state_options.h"
#include "static_fleet_setup.h"

namespace sassafras {
namespace {

using std::chrono::seconds;

constexpr EndpointHandle kEndpoint{0};

/** One reducer that learns of its first endpoint from probe answers and from the platform's directory. */
class DirectoryFixture {
 public:
  DirectoryFixture() {
    HandleEvent(Event::ListsReceived{m_now, 1, std::make_shared<const Lists>(MakeSimulationLists())});
  }

  void ReceiveProbeAnswer(uint64_t incarnation) {
    Event::ProbeEnded event;
    event.now = m_now;
    event.endpoint = kEndpoint;
    event.answered = true;
    event.load.present = true;
    event.load.incarnation = incarnation;
    HandleEvent(event);
  }

  void ReceiveDirectory(bool leaving, uint64_t incarnation) {
    HandleEvent(Event::DirectoryReceived{m_now, true, {}, {{"e0", incarnation, leaving}}});
  }

  void Advance(seconds time) { m_now += time; }
  bool IsLeaving() const { return m_state.IsLeaving(kEndpoint); }

 private:
  void HandleEvent(const Event::Any& event) {
    Effects effects;
    Reduce(m_state, event, effects);
  }

  TimePoint m_now{std::chrono::hours(1)};
  State m_state{StateOptions{.start = m_now}};
};

TEST_CASE("a late leaving mark of the directory does not apply to a newer incarnation") {
  DirectoryFixture fixture;
  fixture.ReceiveProbeAnswer(5);
  fixture.ReceiveDirectory(true, 0);
  CHECK(fixture.IsLeaving());
  fixture.Advance(seconds(2));
  fixture.ReceiveProbeAnswer(9);
  CHECK_FALSE(fixture.IsLeaving());
  fixture.ReceiveDirectory(true, 0);
  CHECK_FALSE(fixture.IsLeaving());
  fixture.ReceiveDirectory(true, 5);
  CHECK_FALSE(fixture.IsLeaving());
  fixture.ReceiveDirectory(true, 9);
  CHECK(fixture.IsLeaving());
  fixture.ReceiveDirectory(false, 0);
  CHECK(fixture.IsLeaving());
}

TEST_CASE("a leaving mark without an incarnation applies once the directory must have caught up") {
  DirectoryFixture fixture;
  fixture.ReceiveProbeAnswer(5);
  fixture.ReceiveProbeAnswer(9);
  fixture.Advance(seconds(61));
  fixture.ReceiveDirectory(true, 0);
  CHECK(fixture.IsLeaving());
}

TEST_CASE("the directory can withdraw a leaving mark that only it has set") {
  DirectoryFixture fixture;
  fixture.ReceiveDirectory(true, 0);
  CHECK(fixture.IsLeaving());
  fixture.ReceiveDirectory(false, 0);
  CHECK_FALSE(fixture.IsLeaving());
}

}  // namespace
}  // namespace sassafras
