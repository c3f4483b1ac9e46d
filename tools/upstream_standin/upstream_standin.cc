#include "upstream_standin.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "base/hash.h"
#include "base/log.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kCrashExitCode = 70;

std::string HeaderText(const HttpService::Request& request, std::string_view name) {
  return std::string(request[beast::string_view(name.data(), name.size())]);
}

int64_t HeaderNumber(const HttpService::Request& request, std::string_view name) {
  const std::string text = HeaderText(request, name);
  int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

asio::awaitable<void> Sleep(std::chrono::steady_clock::duration time) {
  if (time <= time.zero())
    co_return;
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> WriteRaw(beast::tcp_stream& stream, std::string bytes) {
  error_code error;
  co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

std::string Serialize(const HttpService::Response& response) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.result_int(), std::string(response.reason()));
  for (const auto& field : response)
    text += fmt::format("{}: {}\r\n", std::string(field.name_string()), std::string(field.value()));
  return text + "\r\n" + response.body();
}

}  // namespace

UpstreamStandin::UpstreamStandin(asio::io_context& context, const UpstreamOptions& options)
    : m_context(context),
      m_options(options),
      m_service(context,
                [this](const Request& request, beast::tcp_stream& stream) { return HandleRequest(request, stream); }),
      m_log(options.log_path),
      m_random(options.seed),
      m_noise_timer(context),
      m_incarnation(static_cast<uint64_t>(
          std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count())),
      m_started_at(steady_clock::now()) {}

absl::Status UpstreamStandin::Start() {
  if (m_options.mean_noise_interval > milliseconds::zero())
    ScheduleNoiseChange();
  return m_service.Listen(m_options.listen);
}

void UpstreamStandin::Drain() {
  m_draining = true;
}

void UpstreamStandin::ScheduleNoiseChange() {
  const double mean = std::chrono::duration<double>(m_options.mean_noise_interval).count();
  const std::chrono::duration<double> wait(m_in_noisy_episode
                                               ? std::chrono::duration<double>(m_options.noise_duration).count()
                                               : std::exponential_distribution<double>(1.0 / mean)(m_random));
  m_noise_timer.expires_after(std::chrono::duration_cast<steady_clock::duration>(wait));
  m_noise_timer.async_wait([this](error_code error) {
    if (error)
      return;
    m_in_noisy_episode = !m_in_noisy_episode;
    ScheduleNoiseChange();
  });
}

double UpstreamStandin::SlowdownFactor() {
  double factor = m_in_noisy_episode ? m_options.noise_factor : 1.0;
  const auto age = steady_clock::now() - m_started_at;
  if (age < m_options.cold_period) {
    const double cold_share =
        1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.cold_period);
    factor *= 1.0 + (m_options.cold_factor - 1.0) * cold_share;
  }
  return factor;
}

asio::awaitable<bool> UpstreamStandin::SimulateWork(microseconds remaining, beast::tcp_stream& stream) {
  // Waits in steps, so that a noisy episode also slows down requests that are already running.
  constexpr microseconds kWorkStep{2'000};
  while (remaining > microseconds::zero()) {
    const microseconds step = std::min(remaining, kWorkStep);
    remaining -= step;
    co_await Sleep(std::chrono::duration_cast<steady_clock::duration>(step * SlowdownFactor()));
    if (IsClosedByClient(stream))
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> UpstreamStandin::AcquireSlot() {
  if (m_busy_slots >= static_cast<size_t>(m_options.slots)) {
    auto slot_handed_over = std::make_shared<asio::steady_timer>(m_context, steady_clock::time_point::max());
    m_slot_waiters.push_back(slot_handed_over);
    error_code ignored;
    co_await slot_handed_over->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    // ReleaseSlot() handed its slot over without lowering m_busy_slots.
    co_return;
  }
  ++m_busy_slots;
}

void UpstreamStandin::ReleaseSlot() {
  if (m_slot_waiters.empty()) {
    --m_busy_slots;
    return;
  }
  m_slot_waiters.front()->cancel();
  m_slot_waiters.pop_front();
}

void UpstreamStandin::AddLoadHeaders(HttpService::Response& response) {
  const auto now = steady_clock::now();
  if (now - m_reported_at >= m_options.report_lag) {
    m_reported_at = now;
    m_reported_load = m_busy_slots + m_slot_waiters.size();
  }
  response.set("Upstream-Load", std::to_string(m_reported_load));
  response.set("Upstream-Incarnation", std::to_string(m_incarnation));
  if (m_draining)
    response.set("Upstream-Draining", "1");
}

asio::awaitable<bool> UpstreamStandin::HandleRequest(const Request& request, beast::tcp_stream& stream) {
  co_await Sleep(m_options.one_way_delay);
  if (request.target() == "/probe")
    co_return co_await HandleProbe(request, stream);
  co_return co_await HandleWork(request, stream);
}

asio::awaitable<bool> UpstreamStandin::HandleProbe(const Request& request, beast::tcp_stream& stream) {
  m_log.Write("probe", m_options.name);
  co_await AcquireSlot();
  co_await Sleep(m_options.probe_time);
  ReleaseSlot();
  HttpService::Response response = MakeResponse(request, 200, "ok\n");
  AddLoadHeaders(response);
  co_return co_await WriteResponse(stream, std::move(response));
}

asio::awaitable<bool> UpstreamStandin::Refuse(const Request& request, beast::tcp_stream& stream, std::string reason) {
  m_log.Write("refuse", HeaderText(request, "X-Request-Id"));
  HttpService::Response response = MakeResponse(request, 503, {});
  response.set("Upstream-Refused", reason);
  AddLoadHeaders(response);
  co_return co_await WriteResponse(stream, std::move(response));
}

microseconds UpstreamStandin::RequestedWork(const Request& request) const {
  return microseconds(HeaderNumber(request, "X-Work-Us"));
}

asio::awaitable<bool> UpstreamStandin::HandleWork(const Request& request, beast::tcp_stream& stream) {
  if (m_draining)
    co_return co_await Refuse(request, stream, "drain");
  if (m_slot_waiters.size() >= static_cast<size_t>(m_options.queue_limit) &&
      m_busy_slots >= static_cast<size_t>(m_options.slots))
    co_return co_await Refuse(request, stream, "shed");
  co_await AcquireSlot();
  const std::string id = HeaderText(request, "X-Request-Id");
  m_log.Write("run", id);
  if (!HeaderText(request, "X-Crash").empty())
    ::_exit(kCrashExitCode);
  microseconds work = RequestedWork(request);
  if (std::bernoulli_distribution(m_options.straggler_share)(m_random))
    work = std::chrono::duration_cast<microseconds>(work * m_options.straggler_factor);
  const bool finished = co_await SimulateWork(work, stream);
  m_log.Write(finished ? "done" : "cancel", id);
  ReleaseSlot();
  if (!finished)
    co_return false;
  co_await Sleep(m_options.one_way_delay);
  co_return co_await SendAnswer(request, stream);
}

asio::awaitable<bool> UpstreamStandin::SendAnswer(const Request& request, beast::tcp_stream& stream) {
  std::string body = fmt::format("id={} hash={:x} ", HeaderText(request, "X-Request-Id"), Hash64(request.body()));
  const int64_t padding = HeaderNumber(request, "X-Answer-Bytes") - static_cast<int64_t>(body.size());
  if (padding > 0)
    body.append(static_cast<size_t>(padding), 'x');
  HttpService::Response response = MakeResponse(request, 200, std::move(body));
  AddLoadHeaders(response);
  response.set("X-Answered-By", m_options.name);
  const std::string fault = HeaderText(request, "X-Fault");
  if (!fault.empty())
    co_return co_await SendFaultyAnswer(fault, std::move(response), stream);
  if (request.method() == http::verb::head) {
    const std::string text = Serialize(response);
    co_return co_await WriteRaw(stream, text.substr(0, text.find("\r\n\r\n") + 4));
  }
  co_return co_await WriteResponse(stream, std::move(response));
}

asio::awaitable<bool> UpstreamStandin::SendFaultyAnswer(std::string fault,
                                                        HttpService::Response response,
                                                        beast::tcp_stream& stream) {
  if (fault == "chunked") {
    response.chunked(true);
    co_return co_await WriteResponse(stream, std::move(response));
  }
  if (fault == "empty") {
    response.body().clear();
    response.prepare_payload();
    co_return co_await WriteResponse(stream, std::move(response));
  }
  const std::string serialized = Serialize(response);
  const size_t body_start = serialized.find("\r\n\r\n") + 4;
  if (fault == "continue")
    co_return co_await WriteRaw(stream, "HTTP/1.1 100 Continue\r\n\r\n" + serialized);
  if (fault == "overlong")
    co_return co_await WriteRaw(stream, serialized + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  if (fault == "truncate")
    co_await WriteRaw(stream, serialized.substr(0, body_start + response.body().size() / 2));
  if (fault == "unframed") {
    std::string text = serialized.substr(0, body_start);
    const size_t field_start = text.find("Content-Length");
    text.erase(field_start, text.find("\r\n", field_start) + 2 - field_start);
    co_await WriteRaw(stream, text + response.body());
  }
  if (fault == "garbage")
    co_await WriteRaw(stream, "this is no answer\r\n\r\n");
  if (fault == "slow") {
    for (size_t offset = 0; offset < serialized.size(); offset += 64) {
      co_await WriteRaw(stream, serialized.substr(offset, 64));
      co_await Sleep(milliseconds(5));
    }
    co_return true;
  }
  // The faults "reset", "truncate", "unframed" and "garbage" end with a closed connection.
  co_return false;
}

}  // namespace sassafras
