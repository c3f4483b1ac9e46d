#pragma once

#include <cstdint>
#include <memory>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "base/clock.h"

namespace sassafras {

/**
 * Ends the operations of a stream at a given time, like the timeout of the stream itself, but not before input that has
 * arrived by then is read. After the thread was busy, timers that have expired are handled before the event loop has
 * looked at all sockets, and the timeout of the stream would close a socket that holds input.
 */
class StreamDeadline {
 public:
  /** What the operations wait for. */
  enum class Awaits : uint8_t { kConnection, kInput };
  enum class OnExpiry : uint8_t {
    /** Closes the connection. */
    kClose,
    /** Cancels the operations, also those that begin later, and leaves the connection open. */
    kCancel,
  };

  /** @param stream  must outlive this object; its own timeout must be off */
  explicit StreamDeadline(boost::beast::tcp_stream& stream, OnExpiry on_expiry = OnExpiry::kClose);
  ~StreamDeadline();
  StreamDeadline(const StreamDeadline&) = delete;
  StreamDeadline& operator=(const StreamDeadline&) = delete;

  /** Replaces the time set before. */
  void ExpiresAt(TimePoint time, Awaits awaits = Awaits::kInput);
  void ExpiresAfter(Duration time, Awaits awaits = Awaits::kInput);
  void ExpiresNever();
  /** Changes what the operations wait for and leaves the time as it is. */
  void SetAwaits(Awaits awaits);

  /** Returns beast::error::timeout if this deadline ended the operation that failed with `error`, and else `error`. */
  boost::beast::error_code Resolve(const boost::beast::error_code& error) const;

 private:
  /** Shared with the handlers of the timer, which may run after this object is gone. */
  struct State;

  static void StartTimer(const std::shared_ptr<State>& state);
  static void OnTimer(const std::shared_ptr<State>& state, uint64_t generation);
  static void Expire(const std::shared_ptr<State>& state);

  std::shared_ptr<State> m_state;
};

}  // namespace sassafras
