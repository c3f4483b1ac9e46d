#include <doctest/doctest.h>

#include <chrono>
#include <memory>

#include "core/effect.h"
#include "core/event.h"
#include "core/reducer.h"
#include "core/state.h"
#include "core/state_options.h"
#include "world_setup.h"

namespace sassafras {
namespace {

using std::chrono::seconds;

constexpr EndpointHandle kEndpoint{0};

/** One reducer that is told of its first endpoint by probes and by the platform's list. */
class Directory {
 public:
  Directory() { Post(Event::ListsReceived{m_now, 1, std::make_shared<const Lists>(MakeWorldLists())}); }

  void Probe(uint64_t incarnation) {
    Event::ProbeEnded event;
    event.now = m_now;
    event.endpoint = kEndpoint;
    event.answered = true;
    event.load.present = true;
    event.load.incarnation = incarnation;
    Post(event);
  }

  void List(bool leaving, uint64_t incarnation) {
    Post(Event::DirectoryReceived{m_now, true, {}, {{"e0", incarnation, leaving}}});
  }

  void Advance(seconds time) { m_now += time; }
  bool IsLeaving() const { return m_state.IsLeaving(kEndpoint); }

 private:
  void Post(const Event::Any& event) {
    Effects effects;
    Reduce(m_state, event, effects);
  }

  TimePoint m_now{std::chrono::hours(1)};
  State m_state{StateOptions{.start = m_now}};
};

TEST_CASE("a late mark of the list does not hit the incarnation that came after") {
  Directory directory;
  directory.Probe(5);
  directory.List(true, 0);
  CHECK(directory.IsLeaving());
  directory.Advance(seconds(2));
  directory.Probe(9);
  CHECK_FALSE(directory.IsLeaving());
  directory.List(true, 0);
  CHECK_FALSE(directory.IsLeaving());
  directory.List(true, 5);
  CHECK_FALSE(directory.IsLeaving());
  directory.List(true, 9);
  CHECK(directory.IsLeaving());
  directory.List(false, 0);
  CHECK(directory.IsLeaving());
}

TEST_CASE("a mark without an incarnation counts once the list has caught up") {
  Directory directory;
  directory.Probe(5);
  directory.Probe(9);
  directory.Advance(seconds(61));
  directory.List(true, 0);
  CHECK(directory.IsLeaving());
}

TEST_CASE("the list takes back a mark that only the list made") {
  Directory directory;
  directory.List(true, 0);
  CHECK(directory.IsLeaving());
  directory.List(false, 0);
  CHECK_FALSE(directory.IsLeaving());
}

}  // namespace
}  // namespace sassafras
