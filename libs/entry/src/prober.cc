#include "prober.h"

#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/state.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "lists/endpoint.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "net/response_head.h"
#include "upstream_connection.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{500};
/** Most bytes of a probe's answer. Endpoints in trouble may send without end, and many probes run at a time. */
constexpr uint32_t kMaxProbeHeadBytes = 8u << 10u;
constexpr uint64_t kMaxProbeBodyBytes = 16u << 10u;
/** Pooled connections that were idle for longer are not used. */
constexpr std::chrono::seconds kMaxConnectionIdle{8};

}  // namespace

void Prober::Send(const Effect::SendProbe& probe) {
  const State& state = m_engine.GetState();
  const Endpoint& row = state.EndpointConfig(probe.endpoint);
  asio::co_spawn(m_executor, Run(probe, row.name, row.address, std::string(state.ProbePath(probe.endpoint))),
                 asio::detached);
}

asio::awaitable<void> Prober::Run(Effect::SendProbe probe, std::string name, std::string address, std::string path) {
  Event::ProbeEnded ended;
  // The incarnation known now: the endpoint may have restarted when an answer arrives.
  const uint64_t incarnation = m_engine.GetState().EndpointIncarnation(probe.endpoint);
  ended.endpoint = probe.endpoint;
  ended.call = probe.call;
  bool reused = false;
  error_code error = co_await SendAndReceive(name, address, path, probe.not_after, reused, ended);
  // Retries: the endpoint may have closed the idle connection, which says nothing about its health.
  if (error && error != beast::error::timeout && reused)
    error = co_await SendAndReceive(name, address, path, probe.not_after, reused, ended);
  if (ended.load.incarnation == 0)
    ended.load.incarnation = incarnation;
  ended.now = m_engine.Now();
  m_engine.Post(ended);
}

asio::awaitable<error_code> Prober::SendAndReceive(const std::string& name,
                                                   const std::string& address,
                                                   const std::string& path,
                                                   TimePoint not_after,
                                                   bool& reused,
                                                   Event::ProbeEnded& ended) {
  error_code error;
  const auto endpoint = ParseAddress(address);
  if (!endpoint.ok())
    co_return asio::error::invalid_argument;
  std::unique_ptr<UpstreamConnection> connection = m_pool.Take(address, kMaxConnectionIdle);
  reused = connection->connected;
  connection->stream.expires_after(kProbeTimeout);
  if (!reused) {
    co_await connection->stream.async_connect(*endpoint, AwaitWithError(error));
    if (error)
      co_return error;
    connection->connected = true;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  }
  http::request<http::empty_body> request(http::verb::get, path, 11);
  request.set(http::field::host, address);
  // Checked right before sending: the process may have been paused, or the endpoint may have asked for no requests.
  const TimePoint now = m_engine.Now();
  const State& state = m_engine.GetState();
  if (now >= not_after || state.IsHeldOff(ended.endpoint, now) || state.IsEvacuated(ended.endpoint)) {
    ++m_withdrawn;
    ended.withdrawn = true;
    co_return error;
  }
  ++m_sent;
  co_await http::async_write(connection->stream, request, AwaitWithError(error));
  if (error)
    co_return error;
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxProbeHeadBytes);
  parser.body_limit(kMaxProbeBodyBytes);
  error = co_await ReadResponseHead(connection->stream, connection->buffer, parser);
  if (error)
    co_return error;
  const http::response<http::string_body>& response = parser.get();
  // After an interim response the final one still follows: the next request on the connection would receive it.
  if (!IsFinalStatus(response.result_int()) || m_dialect.IsMismatchedProbeResponse(response, name))
    co_return http::error::bad_value;
  // Read now: the parser adds the fields of a trailer to those of the head.
  LoadReport load = m_dialect.ReadLoad(response);
  load.unhealthy = response.result() != http::status::ok;
  co_await http::async_read(connection->stream, connection->buffer, parser, AwaitWithError(error));
  if (error)
    co_return error;
  ended.answered = load.present || !load.unhealthy;
  ended.load = load;
  if (response.keep_alive() && connection->buffer.size() == 0)
    m_pool.Return(address, std::move(connection));
  co_return error;
}

}  // namespace sassafras
