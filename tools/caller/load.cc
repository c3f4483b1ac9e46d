#include "load.h"

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

/** Time beyond the deadline after which a send counts as lost. */
constexpr milliseconds kGrace{1'000};
constexpr std::string_view kLost = "lost";
constexpr std::string_view kAnswered = "answered";

auto Token(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

asio::awaitable<void> SleepUntil(steady_clock::time_point time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

struct Load::Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool used = false;
};

Load::Load(asio::io_context& context, const LoadOptions& options)
    : m_context(context),
      m_options(options),
      m_addresses(options.entries, options.direct, options.seed),
      m_log(options.log_path),
      m_results(options.flows.size()) {}

Load::~Load() = default;

asio::awaitable<void> Load::Run() {
  asio::co_spawn(m_context, m_addresses.Run(), asio::detached);
  constexpr milliseconds kPoll{10};
  while (!m_addresses.Ready())
    co_await SleepUntil(steady_clock::now() + kPoll);
  m_start = steady_clock::now();
  m_end = m_start + m_options.warmup + m_options.length;
  m_open = m_options.flows.size();
  for (size_t flow = 0; flow < m_options.flows.size(); ++flow)
    asio::co_spawn(m_context, RunFlow(flow), asio::detached);
  while (m_open > 0)
    co_await SleepUntil(steady_clock::now() + kPoll);
}

double Load::RateAt(const Flow& flow, steady_clock::time_point now) const {
  const auto third = m_options.length / 3;
  const auto offset = now - m_start - m_options.warmup;
  const bool crest = offset >= third && offset < 2 * third;
  return flow.rate * (crest && flow.swings ? m_options.swing : 1.0);
}

Load::Call Load::MakeCall(size_t index, std::mt19937_64& random, uint64_t number) {
  const Flow& flow = m_options.flows[index];
  Call call;
  call.flow = index;
  call.id = fmt::format("{}-{}-{}", flow.name, m_options.seed, number);
  if (flow.keyed)
    call.key = call.id;
  const double mean = static_cast<double>(flow.work.count());
  double work = flow.fixed_work ? mean : mean / 2 + std::exponential_distribution<double>(2.0 / mean)(random);
  if (std::bernoulli_distribution(flow.stragglers)(random))
    work *= flow.straggler_factor;
  call.work = microseconds(static_cast<int64_t>(work));
  call.body.assign(static_cast<size_t>(flow.request_bytes), static_cast<char>('a' + number % 26));
  call.lose_answer = std::bernoulli_distribution(flow.resend)(random);
  return call;
}

asio::awaitable<void> Load::RunFlow(size_t index) {
  const Flow& flow = m_options.flows[index];
  std::mt19937_64 random(HashCombine(m_options.seed, index));
  uint64_t number = 0;
  steady_clock::time_point due = m_start;
  while (due < m_end) {
    const double rate = RateAt(flow, due);
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(random));
    due += duration_cast<steady_clock::duration>(gap);
    co_await SleepUntil(due);
    m_worst_start_delay = std::max(m_worst_start_delay, duration_cast<microseconds>(steady_clock::now() - due));
    Call call = MakeCall(index, random, number++);
    call.due = due;
    ++m_open;
    asio::co_spawn(m_context, RunCall(std::move(call)), asio::detached);
  }
  --m_open;
}

asio::awaitable<void> Load::RunCall(Call call) {
  const Flow& flow = m_options.flows[call.flow];
  const auto target = m_addresses.Pick();
  Reply reply;
  reply.outcome = "no_address";
  if (target.has_value()) {
    call.target = *target;
    reply = co_await Send(call);
  }
  for (int64_t sends = 1; sends < m_options.max_sends && reply.outcome != kAnswered; ++sends) {
    constexpr milliseconds kPause{20};
    co_await SleepUntil(steady_clock::now() + kPause);
    // A keyed call names its first owner in every send; any other call may go anywhere.
    const auto other = m_addresses.Pick();
    if (other.has_value()) {
      const std::string owner = call.target.owner;
      call.target = *other;
      if (!call.key.empty() && !owner.empty())
        call.target.owner = owner;
      reply = co_await Send(call);
    }
  }
  const auto now = steady_clock::now();
  const auto latency = duration_cast<microseconds>(now - call.due);
  if (call.due >= m_start + m_options.warmup) {
    if (reply.outcome == kAnswered)
      m_results[call.flow].AddAnswer(latency, flow.deadline, reply.whole);
    else
      m_results[call.flow].AddFailure(reply.outcome, latency);
  }
  --m_open;
}

asio::awaitable<Load::Reply> Load::Send(Call& call) {
  const std::string& flow = m_options.flows[call.flow].name;
  constexpr int kRedirects = 3;
  Reply reply;
  for (int hop = 0; hop < kRedirects; ++hop) {
    ++m_sends;
    std::unique_ptr<Connection> connection = co_await Connect(call.target.address);
    if (connection == nullptr) {
      m_addresses.Avoid(call.target.address);
      reply.outcome = "no_connection";
    } else {
      reply = co_await Exchange(call, connection);
    }
    if (std::exchange(call.lose_answer, false))
      reply.outcome = kLost;
    m_log.Write(flow, call.id, reply.outcome);
    if (reply.location.empty())
      break;
    call.target.address = std::exchange(reply.location, {});
  }
  co_return reply;
}

asio::awaitable<std::unique_ptr<Load::Connection>> Load::Connect(std::string address) {
  auto& idle = m_idle[address];
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
  constexpr milliseconds kConnectLimit{1'000};
  connection->stream.expires_after(kConnectLimit);
  if (endpoint.ok())
    co_await connection->stream.async_connect(*endpoint, Token(error));
  if (error || !endpoint.ok())
    co_return nullptr;
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

http::request<http::string_body> Load::MakeRequest(const Call& call) const {
  const Flow& flow = m_options.flows[call.flow];
  http::request<http::string_body> request;
  request.method_string(flow.method);
  request.target(flow.path);
  request.version(11);
  request.set(http::field::host, call.target.address);
  request.set("X-Request-Id", call.id);
  request.set("X-Work-Us", std::to_string(call.work.count()));
  request.set("X-Answer-Bytes", std::to_string(flow.answer_bytes));
  request.set("Sassafras-Deadline-Ms", std::to_string(flow.deadline.count()));
  if (!flow.fault.empty())
    request.set("X-Fault", flow.fault);
  if (!call.key.empty()) {
    request.set("Idempotency-Key", call.key);
    request.set("Sassafras-Owner", call.target.owner);
  }
  request.body() = call.body;
  if (!call.body.empty())
    request.prepare_payload();
  return request;
}

Load::Reply Load::Judge(const Call& call, const http::response<http::string_body>& answer) const {
  Reply reply;
  const auto outcome = answer["Sassafras-Outcome"];
  if (!outcome.empty()) {
    reply.outcome = fmt::format("{}:{}", std::string(outcome), std::string(answer["Sassafras-Reason"]));
    const std::string location(answer[http::field::location]);
    constexpr std::string_view kScheme = "http://";
    if (location.starts_with(kScheme))
      reply.location = location.substr(kScheme.size(), location.find('/', kScheme.size()) - kScheme.size());
    return reply;
  }
  if (answer.result() != http::status::ok) {
    reply.outcome = fmt::format("status_{}", answer.result_int());
    return reply;
  }
  reply.outcome = kAnswered;
  const Flow& flow = m_options.flows[call.flow];
  const std::string expected = fmt::format("id={} hash={:x} ", call.id, Hash64(call.body));
  const auto size = static_cast<size_t>(std::max<int64_t>(flow.answer_bytes, static_cast<int64_t>(expected.size())));
  const bool bodiless = flow.method == "HEAD" || flow.fault == "empty";
  reply.whole = bodiless ? answer.body().empty() : answer.body().starts_with(expected) && answer.body().size() == size;
  return reply;
}

asio::awaitable<Load::Reply> Load::Exchange(Call& call, std::unique_ptr<Connection>& connection) {
  const Flow& flow = m_options.flows[call.flow];
  connection->stream.expires_after(flow.deadline + kGrace);
  const http::request<http::string_body> request = MakeRequest(call);
  error_code error;
  co_await http::async_write(connection->stream, request, Token(error));
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.skip(flow.method == "HEAD");
  if (!error)
    co_await http::async_read(connection->stream, connection->buffer, parser, Token(error));
  if (error) {
    Reply reply;
    reply.outcome = kLost;
    co_return reply;
  }
  const Reply reply = Judge(call, parser.get());
  if (parser.keep_alive()) {
    connection->stream.expires_never();
    m_idle[call.target.address].push_back(std::move(connection));
  }
  co_return reply;
}

bool Load::HasWrongAnswers() const {
  return std::any_of(m_results.begin(), m_results.end(), [](const FlowResult& result) { return result.Wrong() > 0; });
}

boost::json::object Load::Result() {
  boost::json::object flows;
  for (size_t i = 0; i < m_results.size(); ++i)
    flows[m_options.flows[i].name] = m_results[i].ToJson();
  return {{"seed", m_options.seed},
          {"sends", m_sends},
          {"worst_start_delay_us", m_worst_start_delay.count()},
          {"flows", std::move(flows)}};
}

}  // namespace sassafras
