#include "upstream.h"

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

constexpr int kCrashExit = 70;

std::string Field(const HttpService::Request& request, std::string_view name) {
  return std::string(request[beast::string_view(name.data(), name.size())]);
}

int64_t NumberField(const HttpService::Request& request, std::string_view name) {
  const std::string text = Field(request, name);
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

Upstream::Upstream(asio::io_context& context, const UpstreamOptions& options)
    : m_context(context),
      m_options(options),
      m_service(context, [this](const Request& request, beast::tcp_stream& stream) { return Handle(request, stream); }),
      m_log(options.log_path),
      m_random(options.seed),
      m_noise(context),
      m_incarnation(static_cast<uint64_t>(
          std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count())),
      m_started(steady_clock::now()) {}

absl::Status Upstream::Start() {
  if (m_options.noise_every > milliseconds::zero())
    ScheduleNoise();
  return m_service.Listen(m_options.listen);
}

void Upstream::Drain() {
  m_draining = true;
}

void Upstream::ScheduleNoise() {
  const double mean = std::chrono::duration<double>(m_options.noise_every).count();
  const std::chrono::duration<double> wait(m_noisy ? std::chrono::duration<double>(m_options.noise_length).count()
                                                   : std::exponential_distribution<double>(1.0 / mean)(m_random));
  m_noise.expires_after(std::chrono::duration_cast<steady_clock::duration>(wait));
  m_noise.async_wait([this](error_code error) {
    if (error)
      return;
    m_noisy = !m_noisy;
    ScheduleNoise();
  });
}

double Upstream::SlowFactor() {
  double factor = m_noisy ? m_options.noise_factor : 1.0;
  const auto age = steady_clock::now() - m_started;
  if (age < m_options.cold_time) {
    const double left = 1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.cold_time);
    factor *= 1.0 + (m_options.cold_factor - 1.0) * left;
  }
  return factor;
}

asio::awaitable<bool> Upstream::Work(microseconds amount, beast::tcp_stream& stream) {
  // Done in steps, so that a noisy episode slows work that is under way.
  constexpr microseconds kStep{2'000};
  while (amount > microseconds::zero()) {
    const microseconds step = std::min(amount, kStep);
    amount -= step;
    co_await Sleep(std::chrono::duration_cast<steady_clock::duration>(step * SlowFactor()));
    if (IsClosed(stream))
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> Upstream::TakeSlot() {
  if (m_running >= static_cast<size_t>(m_options.slots)) {
    auto turn = std::make_shared<asio::steady_timer>(m_context, steady_clock::time_point::max());
    m_waiting.push_back(turn);
    error_code ignored;
    co_await turn->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    // The slot was handed over by FreeSlot().
    co_return;
  }
  ++m_running;
}

void Upstream::FreeSlot() {
  if (m_waiting.empty()) {
    --m_running;
    return;
  }
  m_waiting.front()->cancel();
  m_waiting.pop_front();
}

void Upstream::Report(HttpService::Response& response) {
  const auto now = steady_clock::now();
  if (now - m_reported_at >= m_options.report_lag) {
    m_reported_at = now;
    m_reported_load = m_running + m_waiting.size();
  }
  response.set("Upstream-Load", std::to_string(m_reported_load));
  response.set("Upstream-Incarnation", std::to_string(m_incarnation));
  if (m_draining)
    response.set("Upstream-Draining", "1");
}

asio::awaitable<bool> Upstream::Handle(const Request& request, beast::tcp_stream& stream) {
  co_await Sleep(m_options.delay);
  if (request.target() == "/probe")
    co_return co_await HandleProbe(request, stream);
  co_return co_await HandleWork(request, stream);
}

asio::awaitable<bool> Upstream::HandleProbe(const Request& request, beast::tcp_stream& stream) {
  m_log.Write("probe", m_options.name);
  co_await TakeSlot();
  co_await Sleep(m_options.probe_time);
  FreeSlot();
  HttpService::Response response = MakeResponse(request, 200, "ok\n");
  Report(response);
  co_return co_await WriteResponse(stream, std::move(response));
}

asio::awaitable<bool> Upstream::Refuse(const Request& request, beast::tcp_stream& stream, std::string why) {
  m_log.Write("refuse", Field(request, "X-Request-Id"));
  HttpService::Response response = MakeResponse(request, 503, {});
  response.set("Upstream-Refused", why);
  Report(response);
  co_return co_await WriteResponse(stream, std::move(response));
}

microseconds Upstream::ReadWork(const Request& request) const {
  return microseconds(NumberField(request, "X-Work-Us"));
}

asio::awaitable<bool> Upstream::HandleWork(const Request& request, beast::tcp_stream& stream) {
  if (m_draining)
    co_return co_await Refuse(request, stream, "drain");
  if (m_waiting.size() >= static_cast<size_t>(m_options.queue) && m_running >= static_cast<size_t>(m_options.slots))
    co_return co_await Refuse(request, stream, "shed");
  co_await TakeSlot();
  const std::string id = Field(request, "X-Request-Id");
  m_log.Write("run", id);
  if (!Field(request, "X-Crash").empty())
    ::_exit(kCrashExit);
  microseconds work = ReadWork(request);
  if (std::bernoulli_distribution(m_options.stragglers)(m_random))
    work = std::chrono::duration_cast<microseconds>(work * m_options.straggler_factor);
  const bool finished = co_await Work(work, stream);
  m_log.Write(finished ? "done" : "cancel", id);
  FreeSlot();
  if (!finished)
    co_return false;
  co_await Sleep(m_options.delay);
  co_return co_await Answer(request, stream);
}

asio::awaitable<bool> Upstream::Answer(const Request& request, beast::tcp_stream& stream) {
  std::string body = fmt::format("id={} hash={:x} ", Field(request, "X-Request-Id"), Hash64(request.body()));
  const int64_t padding = NumberField(request, "X-Answer-Bytes") - static_cast<int64_t>(body.size());
  if (padding > 0)
    body.append(static_cast<size_t>(padding), 'x');
  HttpService::Response response = MakeResponse(request, 200, std::move(body));
  Report(response);
  response.set("X-Answered-By", m_options.name);
  const std::string fault = Field(request, "X-Fault");
  if (!fault.empty())
    co_return co_await AnswerWithFault(fault, std::move(response), stream);
  if (request.method() == http::verb::head) {
    const std::string text = Serialize(response);
    co_return co_await WriteRaw(stream, text.substr(0, text.find("\r\n\r\n") + 4));
  }
  co_return co_await WriteResponse(stream, std::move(response));
}

asio::awaitable<bool> Upstream::AnswerWithFault(std::string fault,
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
  const std::string whole = Serialize(response);
  const size_t body_at = whole.find("\r\n\r\n") + 4;
  if (fault == "continue")
    co_return co_await WriteRaw(stream, "HTTP/1.1 100 Continue\r\n\r\n" + whole);
  if (fault == "overlong")
    co_return co_await WriteRaw(stream, whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  if (fault == "truncate")
    co_await WriteRaw(stream, whole.substr(0, body_at + response.body().size() / 2));
  if (fault == "unframed") {
    std::string text = whole.substr(0, body_at);
    const size_t length = text.find("Content-Length");
    text.erase(length, text.find("\r\n", length) + 2 - length);
    co_await WriteRaw(stream, text + response.body());
  }
  if (fault == "garbage")
    co_await WriteRaw(stream, "this is no answer\r\n\r\n");
  if (fault == "slow") {
    for (size_t at = 0; at < whole.size(); at += 64) {
      co_await WriteRaw(stream, whole.substr(at, 64));
      co_await Sleep(milliseconds(5));
    }
    co_return true;
  }
  // "reset" and the cut-off faults end the connection here.
  co_return false;
}

}  // namespace sassafras
