#include "load_generator.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "base/hash.h"
#include "net/http_client.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A send without an answer this long after its deadline counts as lost. */
constexpr milliseconds kAnswerGracePeriod{1'000};
constexpr std::string_view kLostOutcome = "lost";
constexpr std::string_view kAnsweredOutcome = "answered";

auto RedirectErrorTo(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

asio::awaitable<void> SleepUntil(steady_clock::time_point time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

struct LoadGenerator::Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool used = false;
};

LoadGenerator::LoadGenerator(asio::io_context& context, const LoadOptions& options)
    : m_context(context),
      m_options(options),
      m_address_cache(options.entry_addresses, options.direct, options.seed),
      m_log(options.log_path),
      m_flow_results(options.flows.size()) {}

LoadGenerator::~LoadGenerator() = default;

asio::awaitable<void> LoadGenerator::Run() {
  asio::co_spawn(m_context, m_address_cache.RefreshPeriodically(), asio::detached);
  constexpr milliseconds kPollPeriod{10};
  while (!m_address_cache.HasAddresses())
    co_await SleepUntil(steady_clock::now() + kPollPeriod);
  m_start = steady_clock::now();
  m_end = m_start + m_options.warmup + m_options.measurement_time;
  m_unfinished_tasks = m_options.flows.size();
  for (size_t flow_index = 0; flow_index < m_options.flows.size(); ++flow_index)
    asio::co_spawn(m_context, RunFlow(flow_index), asio::detached);
  while (m_unfinished_tasks > 0)
    co_await SleepUntil(steady_clock::now() + kPollPeriod);
}

double LoadGenerator::RateAt(const Flow& flow, steady_clock::time_point now) const {
  const auto third = m_options.measurement_time / 3;
  const auto offset = now - m_start - m_options.warmup;
  const bool is_peak = offset >= third && offset < 2 * third;
  return flow.calls_per_second * (is_peak && flow.has_peak ? m_options.peak_factor : 1.0);
}

LoadGenerator::Call LoadGenerator::MakeCall(size_t flow_index, std::mt19937_64& random, uint64_t call_number) {
  const Flow& flow = m_options.flows[flow_index];
  Call call;
  call.flow_index = flow_index;
  call.id = fmt::format("{}-{}-{}", flow.name, m_options.seed, call_number);
  if (flow.has_idempotency_key)
    call.idempotency_key = call.id;
  const double mean = static_cast<double>(flow.mean_work.count());
  double work = flow.fixed_work ? mean : mean / 2 + std::exponential_distribution<double>(2.0 / mean)(random);
  if (std::bernoulli_distribution(flow.straggler_share)(random))
    work *= flow.straggler_factor;
  call.work = microseconds(static_cast<int64_t>(work));
  call.body.assign(static_cast<size_t>(flow.request_bytes), static_cast<char>('a' + call_number % 26));
  call.discard_answer = std::bernoulli_distribution(flow.resend_share)(random);
  return call;
}

asio::awaitable<void> LoadGenerator::RunFlow(size_t flow_index) {
  const Flow& flow = m_options.flows[flow_index];
  std::mt19937_64 random(HashCombine(m_options.seed, flow_index));
  uint64_t call_number = 0;
  steady_clock::time_point due = m_start;
  while (due < m_end) {
    const double rate = RateAt(flow, due);
    const std::chrono::duration<double> interarrival_time(std::exponential_distribution<double>(rate)(random));
    due += duration_cast<steady_clock::duration>(interarrival_time);
    co_await SleepUntil(due);
    m_worst_start_delay = std::max(m_worst_start_delay, duration_cast<microseconds>(steady_clock::now() - due));
    Call call = MakeCall(flow_index, random, call_number++);
    call.due = due;
    ++m_unfinished_tasks;
    asio::co_spawn(m_context, RunCall(std::move(call)), asio::detached);
  }
  --m_unfinished_tasks;
}

asio::awaitable<void> LoadGenerator::RunCall(Call call) {
  const Flow& flow = m_options.flows[call.flow_index];
  const auto target = m_address_cache.Pick();
  SendResult send_result;
  send_result.outcome = "no_address";
  if (target.has_value()) {
    call.target = *target;
    send_result = co_await SendFollowingRedirects(call);
  }
  for (int64_t sends = 1; sends < m_options.max_sends && send_result.outcome != kAnsweredOutcome; ++sends) {
    constexpr milliseconds kRetryDelay{20};
    co_await SleepUntil(steady_clock::now() + kRetryDelay);
    // A call with an idempotency key keeps the owner of its first send; the address may change.
    const auto next_target = m_address_cache.Pick();
    if (next_target.has_value()) {
      const std::string owner = call.target.owner;
      call.target = *next_target;
      if (!call.idempotency_key.empty() && !owner.empty())
        call.target.owner = owner;
      send_result = co_await SendFollowingRedirects(call);
    }
  }
  const auto now = steady_clock::now();
  const auto latency = duration_cast<microseconds>(now - call.due);
  if (call.due >= m_start + m_options.warmup) {
    if (send_result.outcome == kAnsweredOutcome)
      m_flow_results[call.flow_index].AddAnswer(latency, flow.deadline, send_result.correct);
    else
      m_flow_results[call.flow_index].AddFailure(send_result.outcome, latency);
  }
  --m_unfinished_tasks;
}

asio::awaitable<LoadGenerator::SendResult> LoadGenerator::SendFollowingRedirects(Call& call) {
  const std::string& flow = m_options.flows[call.flow_index].name;
  constexpr int kMaxHops = 3;
  SendResult send_result;
  for (int hop = 0; hop < kMaxHops; ++hop) {
    ++m_send_count;
    std::unique_ptr<Connection> connection = co_await AcquireConnection(call.target.address);
    if (connection == nullptr) {
      m_address_cache.Remove(call.target.address);
      send_result.outcome = "no_connection";
    } else {
      send_result = co_await SendOnce(call, connection);
    }
    if (std::exchange(call.discard_answer, false))
      send_result.outcome = kLostOutcome;
    m_log.Write(flow, call.id, send_result.outcome);
    if (send_result.redirect_address.empty())
      break;
    call.target.address = std::exchange(send_result.redirect_address, {});
  }
  co_return send_result;
}

asio::awaitable<std::unique_ptr<LoadGenerator::Connection>> LoadGenerator::AcquireConnection(std::string address) {
  auto& idle = m_idle_connections[address];
  while (!idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back());
    idle.pop_back();
    char byte = 0;
    error_code error;
    connection->stream.socket().non_blocking(true, error);
    connection->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block)
      co_return connection;
  }
  auto connection = std::make_unique<Connection>(m_context);
  const auto endpoint = ParseAddress(address);
  error_code error;
  constexpr milliseconds kConnectTimeout{1'000};
  connection->stream.expires_after(kConnectTimeout);
  if (endpoint.ok())
    co_await connection->stream.async_connect(*endpoint, RedirectErrorTo(error));
  if (error || !endpoint.ok())
    co_return nullptr;
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

http::request<http::string_body> LoadGenerator::MakeRequest(const Call& call) const {
  const Flow& flow = m_options.flows[call.flow_index];
  http::request<http::string_body> request;
  request.method_string(flow.method);
  request.target(flow.path);
  request.version(11);
  request.set(http::field::host, call.target.address);
  request.set("X-Request-Id", call.id);
  request.set("X-Work-Us", std::to_string(call.work.count()));
  request.set("X-Answer-Bytes", std::to_string(flow.answer_bytes));
  request.set("Sassafras-Deadline-Ms", std::to_string(flow.deadline.count()));
  if (!flow.answer_fault.empty())
    request.set("X-Fault", flow.answer_fault);
  if (!call.idempotency_key.empty()) {
    request.set("Idempotency-Key", call.idempotency_key);
    request.set("Sassafras-Owner", call.target.owner);
  }
  request.body() = call.body;
  if (!call.body.empty())
    request.prepare_payload();
  return request;
}

LoadGenerator::SendResult LoadGenerator::ClassifyAnswer(const Call& call,
                                                        const http::response<http::string_body>& answer) const {
  SendResult send_result;
  const auto outcome = answer["Sassafras-Outcome"];
  if (!outcome.empty()) {
    send_result.outcome = fmt::format("{}:{}", std::string(outcome), std::string(answer["Sassafras-Reason"]));
    const std::string location(answer[http::field::location]);
    constexpr std::string_view kScheme = "http://";
    if (location.starts_with(kScheme))
      send_result.redirect_address =
          location.substr(kScheme.size(), location.find('/', kScheme.size()) - kScheme.size());
    return send_result;
  }
  if (answer.result() != http::status::ok) {
    send_result.outcome = fmt::format("status_{}", answer.result_int());
    return send_result;
  }
  send_result.outcome = kAnsweredOutcome;
  const Flow& flow = m_options.flows[call.flow_index];
  const std::string expected = fmt::format("id={} hash={:x} ", call.id, Hash64(call.body));
  const auto size = static_cast<size_t>(std::max<int64_t>(flow.answer_bytes, static_cast<int64_t>(expected.size())));
  const bool bodiless = flow.method == "HEAD" || flow.answer_fault == "empty";
  send_result.correct =
      bodiless ? answer.body().empty() : answer.body().starts_with(expected) && answer.body().size() == size;
  return send_result;
}

asio::awaitable<LoadGenerator::SendResult> LoadGenerator::SendOnce(Call& call,
                                                                   std::unique_ptr<Connection>& connection) {
  const Flow& flow = m_options.flows[call.flow_index];
  connection->stream.expires_after(flow.deadline + kAnswerGracePeriod);
  const http::request<http::string_body> request = MakeRequest(call);
  error_code error;
  co_await http::async_write(connection->stream, request, RedirectErrorTo(error));
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.skip(flow.method == "HEAD");
  if (!error)
    co_await http::async_read(connection->stream, connection->buffer, parser, RedirectErrorTo(error));
  if (error) {
    SendResult send_result;
    send_result.outcome = kLostOutcome;
    co_return send_result;
  }
  const SendResult send_result = ClassifyAnswer(call, parser.get());
  if (parser.keep_alive()) {
    connection->stream.expires_never();
    m_idle_connections[call.target.address].push_back(std::move(connection));
  }
  co_return send_result;
}

bool LoadGenerator::HasWrongAnswers() const {
  return std::any_of(m_flow_results.begin(), m_flow_results.end(),
                     [](const FlowResult& flow_result) { return flow_result.WrongAnswerCount() > 0; });
}

boost::json::object LoadGenerator::ToJson() {
  boost::json::object flows;
  for (size_t i = 0; i < m_flow_results.size(); ++i)
    flows[m_options.flows[i].name] = m_flow_results[i].ToJson();
  return {{"seed", m_options.seed},
          {"sends", m_send_count},
          {"worst_start_delay_us", m_worst_start_delay.count()},
          {"flows", std::move(flows)}};
}

}  // namespace sassafras
