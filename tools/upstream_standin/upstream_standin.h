#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "../common/http_service.h"
#include "run_log.h"
#include "upstream_options.h"

namespace sassafras {

/**
 * Stand-in for one upstream endpoint. Runs requests in a limited number of slots with a queue in front, reports its
 * load, and simulates noisy episodes, draining, crashes and faulty answers.
 */
class UpstreamStandin {
 public:
  UpstreamStandin(boost::asio::io_context& context, const UpstreamOptions& options);

  absl::Status Start();
  /** Starts to drain: new requests are refused, queued and running requests are finished. */
  void Drain();
  bool IsDrained() const { return m_draining && m_busy_slots == 0 && m_slot_waiters.empty(); }

 private:
  using Request = HttpService::Request;

  boost::asio::awaitable<bool> HandleRequest(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> HandleProbe(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> HandleWork(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> Refuse(const Request& request, boost::beast::tcp_stream& stream, std::string reason);
  boost::asio::awaitable<bool> SendAnswer(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> SendFaultyAnswer(std::string fault,
                                                HttpService::Response response,
                                                boost::beast::tcp_stream& stream);
  boost::asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();
  /** Waits for the processing time, scaled by SlowdownFactor(); returns false if the client closed the connection. */
  boost::asio::awaitable<bool> SimulateWork(std::chrono::microseconds remaining, boost::beast::tcp_stream& stream);
  void AddLoadHeaders(HttpService::Response& response);
  std::chrono::microseconds RequestedWork(const Request& request) const;
  /** Factor by which a noisy episode and the warm-up slow down processing now; 1 for neither. */
  double SlowdownFactor();
  void ScheduleNoiseChange();

  boost::asio::io_context& m_context;
  UpstreamOptions m_options;
  HttpService m_service;
  RunLog m_log;
  std::mt19937_64 m_random;
  boost::asio::steady_timer m_noise_timer;
  uint64_t m_incarnation;
  std::chrono::steady_clock::time_point m_started_at;
  size_t m_busy_slots = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> m_slot_waiters;
  bool m_draining = false;
  bool m_in_noisy_episode = false;
  size_t m_reported_load = 0;
  std::chrono::steady_clock::time_point m_reported_at{};
};

}  // namespace sassafras
