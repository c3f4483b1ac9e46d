#include "prober.h"

#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "engine.h"
#include "lists/endpoint.h"
#include "net/http_client.h"
#include "upstream_headers.h"

namespace sassafras {
namespace {

constexpr std::chrono::milliseconds kProbeLimit{500};

}  // namespace

void Prober::Send(const Effect::SendProbe& probe) {
  const State& state = m_engine.GetState();
  asio::co_spawn(m_executor,
                 Run(probe, state.EndpointRow(probe.endpoint).address, std::string(state.ProbePath(probe.endpoint))),
                 asio::detached);
}

asio::awaitable<void> Prober::Run(Effect::SendProbe probe, std::string address, std::string path) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint.ok())
    co_return;
  Event::ProbeEnded ended;
  ended.endpoint = probe.endpoint;
  beast::tcp_stream stream(m_executor);
  stream.expires_after(kProbeLimit);
  error_code error;
  co_await stream.async_connect(*endpoint, Awaiting(error));
  http::request<http::empty_body> request(http::verb::get, path, 11);
  request.set(http::field::host, address);
  request.keep_alive(false);
  // Checked right before the probe leaves: the process may have been paused since it was planned.
  if (m_engine.Now() >= probe.not_after) {
    ++m_withdrawn;
    co_return;
  }
  if (!error) {
    ++m_sent;
    co_await http::async_write(stream, request, Awaiting(error));
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  if (!error)
    co_await http::async_read(stream, buffer, answer, Awaiting(error));
  if (!error) {
    ended.answered = answer.result() == http::status::ok;
    ended.load = ReadLoadReport(answer);
  }
  ended.now = m_engine.Now();
  m_engine.Post(ended);
}

}  // namespace sassafras
