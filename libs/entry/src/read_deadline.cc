#include "read_deadline.h"

#include "caller_stream.h"

namespace sassafras {

struct ReadDeadline::State {
  bool finished = false;
  bool expired = false;
};

ReadDeadline::ReadDeadline(CallerStream& caller, Duration limit)
    : m_state(std::make_shared<State>()), m_timer(caller.stream.get_executor(), limit) {
  caller.stream.expires_never();
  m_timer.async_wait([state = m_state, &caller](const error_code& error) {
    if (error || state->finished)
      return;
    state->expired = true;
    caller.stream.cancel();
  });
}

ReadDeadline::~ReadDeadline() {
  m_state->finished = true;
}

error_code ReadDeadline::Resolve(const error_code& error) const {
  if (error == asio::error::operation_aborted && m_state->expired)
    return beast::error::timeout;
  return error;
}

}  // namespace sassafras
