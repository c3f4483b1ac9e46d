#include "net/stream_deadline.h"

#include <chrono>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <poll.h>

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::error_code;

/**
 * Most rounds of the event loop by which an expired deadline is postponed while input waits. One round takes in 128
 * sockets. A peer that sends without end must not postpone its deadline for ever.
 */
constexpr int kMaxPostponements = 64;
/** Time between two cancellations. Each ends only the operations that are pending at that moment. */
constexpr std::chrono::milliseconds kCancelPeriod{10};

}  // namespace

struct StreamDeadline::State {
  State(beast::tcp_stream& stream_in, OnExpiry on_expiry_in)
      : stream(&stream_in), on_expiry(on_expiry_in), timer(stream_in.get_executor()) {}

  /** Whether the event loop will complete the operation because of something that has already happened. */
  bool IsReady() const {
    const int events = awaits == Awaits::kInput ? POLLIN : POLLOUT;
    pollfd socket{stream->socket().native_handle(), static_cast<short>(events), 0};
    return ::poll(&socket, 1, 0) > 0;
  }

  /** Null once the deadline is gone. */
  beast::tcp_stream* stream;
  OnExpiry on_expiry;
  asio::steady_timer timer;
  Awaits awaits = Awaits::kInput;
  /** Counts the times that were set; a handler of an earlier one does nothing. */
  uint64_t generation = 0;
  int postponements = 0;
  bool expired = false;
};

StreamDeadline::StreamDeadline(beast::tcp_stream& stream, OnExpiry on_expiry)
    : m_state(std::make_shared<State>(stream, on_expiry)) {}

StreamDeadline::~StreamDeadline() {
  ExpiresNever();
  m_state->stream = nullptr;
}

void StreamDeadline::ExpiresAt(TimePoint time, Awaits awaits) {
  ExpiresNever();
  m_state->awaits = awaits;
  m_state->timer.expires_at(time);
  StartTimer(m_state);
}

void StreamDeadline::ExpiresAfter(Duration time, Awaits awaits) {
  ExpiresAt(asio::steady_timer::clock_type::now() + time, awaits);
}

void StreamDeadline::ExpiresNever() {
  ++m_state->generation;
  m_state->postponements = 0;
  m_state->expired = false;
  m_state->timer.cancel();
}

void StreamDeadline::SetAwaits(Awaits awaits) {
  m_state->awaits = awaits;
}

error_code StreamDeadline::Resolve(const error_code& error) const {
  const bool ended = error == asio::error::operation_aborted || error == asio::error::bad_descriptor;
  if (ended && m_state->expired)
    return beast::error::timeout;
  return error;
}

void StreamDeadline::StartTimer(const std::shared_ptr<State>& state) {
  state->timer.async_wait([state, generation = state->generation](const error_code& error) {
    if (!error)
      OnTimer(state, generation);
  });
}

void StreamDeadline::OnTimer(const std::shared_ptr<State>& state, uint64_t generation) {
  if (state->stream == nullptr || state->generation != generation)
    return;
  if (!state->expired && state->postponements < kMaxPostponements && state->IsReady()) {
    ++state->postponements;
    asio::post(state->timer.get_executor(), [state, generation] { OnTimer(state, generation); });
    return;
  }
  Expire(state);
}

void StreamDeadline::Expire(const std::shared_ptr<State>& state) {
  state->expired = true;
  if (state->on_expiry == OnExpiry::kClose) {
    state->stream->close();
    return;
  }
  state->stream->cancel();
  state->timer.expires_after(kCancelPeriod);
  StartTimer(state);
}

}  // namespace sassafras
