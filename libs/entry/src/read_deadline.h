#pragma once

#include <memory>

#include "base/clock.h"
#include "http_types.h"

namespace sassafras {

struct CallerStream;

/**
 * Ends a read from a caller after a given time. Unlike the timeout of the stream it leaves the connection open, so that
 * the caller still gets a response. It covers the reads made while it exists.
 */
class ReadDeadline {
 public:
  /** @param caller  must outlive this object; its own timeout is switched off */
  ReadDeadline(CallerStream& caller, Duration limit);
  ~ReadDeadline();
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  /** Returns beast::error::timeout if this deadline ended the read that failed with `error`, and else `error`. */
  error_code Resolve(const error_code& error) const;
  /** Time since this deadline; negative before it. */
  Duration Lateness() const { return asio::steady_timer::clock_type::now() - m_timer.expiry(); }

 private:
  /** Shared with the handler of the timer, which may run after this object is gone. */
  struct State;

  std::shared_ptr<State> m_state;
  asio::steady_timer m_timer;
};

}  // namespace sassafras
