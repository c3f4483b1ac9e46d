#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>

#include "address_cache.h"
#include "call_log.h"
#include "flow.h"
#include "flow_result.h"
#include "load_options.h"

namespace sassafras {

/** Open-loop load generator: calls start at their scheduled times and do not wait for earlier calls to finish. */
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, const LoadOptions& options);
  ~LoadGenerator();

  /** Sends all calls and waits until the last one has finished. */
  boost::asio::awaitable<void> Run();
  boost::json::object ToJson();
  /** Whether an answer was truncated, altered or belonged to another request. */
  bool HasWrongAnswers() const;

 private:
  struct Connection;
  /** One call and the data needed to check its answer. */
  struct Call {
    size_t flow_index = 0;
    std::string id;
    std::string idempotency_key;
    std::string body;
    std::chrono::microseconds work{};
    /** Scheduled start, from which the latency is measured. */
    std::chrono::steady_clock::time_point due;
    AddressCache::ServingAddress target;
    /** Whether the first answer is treated as lost. */
    bool discard_answer = false;
  };
  /** Outcome of one send of a call. */
  struct SendResult {
    /** "answered", "lost", "status_<code>", or the outcome and the reason that the load balancer returned. */
    std::string outcome;
    /** IP:port from the Location header; empty if the answer is no redirect. */
    std::string redirect_address;
    /** Whether the answer is complete and belongs to this request. */
    bool correct = false;
  };

  boost::asio::awaitable<void> RunFlow(size_t flow_index);
  boost::asio::awaitable<void> RunCall(Call call);
  boost::asio::awaitable<SendResult> SendFollowingRedirects(Call& call);
  boost::asio::awaitable<SendResult> SendOnce(Call& call, std::unique_ptr<Connection>& connection);
  boost::asio::awaitable<std::unique_ptr<Connection>> AcquireConnection(std::string address);
  boost::beast::http::request<boost::beast::http::string_body> MakeRequest(const Call& call) const;
  SendResult ClassifyAnswer(const Call& call,
                            const boost::beast::http::response<boost::beast::http::string_body>& answer) const;
  Call MakeCall(size_t flow_index, std::mt19937_64& random, uint64_t call_number);
  double RateAt(const Flow& flow, std::chrono::steady_clock::time_point now) const;

  boost::asio::io_context& m_context;
  const LoadOptions m_options;
  AddressCache m_address_cache;
  CallLog m_log;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_idle_connections;
  std::vector<FlowResult> m_flow_results;
  std::chrono::steady_clock::time_point m_start;
  std::chrono::steady_clock::time_point m_end;
  size_t m_unfinished_tasks = 0;
  uint64_t m_send_count = 0;
  std::chrono::microseconds m_worst_start_delay{0};
};

}  // namespace sassafras
