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

/** Stand-in for one endpoint: slots, a short queue, load reports, noise, drain and crashes. */
class Upstream {
 public:
  Upstream(boost::asio::io_context& context, const UpstreamOptions& options);

  absl::Status Start();
  /** Begins to leave: refuses new work and ends once requests in progress are done. */
  void Drain();
  bool IsDrained() const { return m_draining && m_running == 0 && m_waiting.empty(); }

 private:
  using Request = HttpService::Request;

  boost::asio::awaitable<bool> Handle(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> HandleProbe(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> HandleWork(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> Refuse(const Request& request, boost::beast::tcp_stream& stream, std::string why);
  boost::asio::awaitable<bool> Answer(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> AnswerWithFault(std::string fault,
                                               HttpService::Response response,
                                               boost::beast::tcp_stream& stream);
  boost::asio::awaitable<void> TakeSlot();
  void FreeSlot();
  /** Works for the given time; returns false if the client closed the connection meanwhile. */
  boost::asio::awaitable<bool> Work(std::chrono::microseconds amount, boost::beast::tcp_stream& stream);
  void Report(HttpService::Response& response);
  std::chrono::microseconds ReadWork(const Request& request) const;
  double SlowFactor();
  void ScheduleNoise();

  boost::asio::io_context& m_context;
  UpstreamOptions m_options;
  HttpService m_service;
  RunLog m_log;
  std::mt19937_64 m_random;
  boost::asio::steady_timer m_noise;
  uint64_t m_incarnation;
  std::chrono::steady_clock::time_point m_started;
  size_t m_running = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
  bool m_draining = false;
  bool m_noisy = false;
  size_t m_reported_load = 0;
  std::chrono::steady_clock::time_point m_reported_at{};
};

}  // namespace sassafras
