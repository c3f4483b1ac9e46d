#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "call_fixture.h"
#include "entry/native_dialect.h"
#include "null_control_sink.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};
/** More than an attempt buffers before it passes an answer on. */
constexpr size_t kBodyBytes = 400'000;
constexpr size_t kEndpoints = 6;
/** Attempts of the call under test that are answered step by step; the connections of further ones are closed. */
constexpr size_t kSteppedAttempts = 2;
/** Calls after which the instance knows the usual latency, which hedging needs. */
constexpr int kUsualCalls = 24;

/** Answers the probes of usual calls at once and keeps those of the call under test for it. */
class ProbeSink final : public NullControlSink {
 public:
  explicit ProbeSink(CallFixture& fixture) : m_fixture(fixture) {}

  void Hold() { m_hold = true; }
  CallHandle LastCall() const { return m_last_call; }
  /** Answers the oldest probe that is kept; returns whether there was one. */
  bool AnswerOne() {
    if (m_kept.empty())
      return false;
    const Effect::SendProbe probe = m_kept.front();
    m_kept.pop_front();
    Answer(probe);
    return true;
  }

  using NullControlSink::OnEffect;
  void OnEffect(const Effect::SendProbe& effect) override {
    m_last_call = effect.call;
    if (m_hold)
      m_kept.push_back(effect);
    else
      Answer(effect);
  }

 private:
  void Answer(const Effect::SendProbe& probe) {
    Event::ProbeEnded ended;
    ended.now = m_fixture.GetClock().Peek();
    ended.endpoint = probe.endpoint;
    ended.answered = true;
    ended.call = probe.call;
    ended.load.present = true;
    ended.load.slots = 6;
    m_fixture.GetEngine().Post(ended);
  }

  CallFixture& m_fixture;
  bool m_hold = false;
  std::deque<Effect::SendProbe> m_kept;
  CallHandle m_last_call;
};

/** What an endpoint does next with the answer to the call under test. */
enum class Step { kHead, kPiece, kEnd, kReset };

/** Endpoints that play the answers to the call under test step by step, when the test says so. */
class SteppedAnswers {
 public:
  explicit SteppedAnswers(asio::io_context& context) : m_context(context) {}

  void Hold() { m_hold = true; }
  /** Number of attempts that have reached an endpoint. */
  size_t Attempts() const { return m_steps.size(); }
  void Play(size_t attempt, Step step) { m_steps[attempt].push_back(step); }
  static std::string Body(size_t attempt) { return std::string(kBodyBytes, static_cast<char>('a' + attempt)); }

  ScriptedEndpoint::Script Script(ManualClock& clock) {
    return [this, &clock](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) -> asio::awaitable<bool> {
      if (!m_hold) {
        clock.Advance(std::chrono::milliseconds(50));
        co_return co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
      const size_t attempt = m_steps.size();
      if (attempt == kSteppedAttempts)
        co_return false;
      m_steps.emplace_back();
      co_return co_await PlayAnswer(socket, attempt);
    };
  }

 private:
  asio::awaitable<bool> PlayAnswer(asio::ip::tcp::socket& socket, size_t attempt) {
    constexpr size_t kPieceBytes = 150'000;
    const std::string body = Body(attempt);
    size_t sent = 0;
    bool writable = true;
    while (writable) {
      const Step step = co_await NextStep(attempt);
      if (step == Step::kReset) {
        socket.set_option(asio::socket_base::linger(true, 0));
        co_return false;
      }
      if (step == Step::kHead)
        writable = co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
                                                   "\r\nSassafras-Request-Id: x\r\n\r\n");
      const size_t left = kBodyBytes - sent;
      const size_t size = step == Step::kPiece ? std::min(kPieceBytes, left) : step == Step::kEnd ? left : 0;
      writable = writable && co_await WriteBytes(socket, body.substr(sent, size));
      sent += size;
      if (step == Step::kEnd)
        co_return false;
    }
    co_return false;
  }

  asio::awaitable<Step> NextStep(size_t attempt) {
    asio::steady_timer timer(m_context);
    error_code ignored;
    while (m_steps[attempt].empty()) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(AwaitWithError(ignored));
    }
    const Step step = m_steps[attempt].front();
    m_steps[attempt].pop_front();
    co_return step;
  }

  asio::io_context& m_context;
  bool m_hold = false;
  std::deque<std::deque<Step>> m_steps;
};

/** One call with a hedge, whose probes, answers and ends come in an order drawn from `seed`. */
struct HedgedCall {
  explicit HedgedCall(uint32_t seed)
      : random(seed),
        fixture(dialect, MakeOptions()),
        probes(fixture),
        answers(fixture.Context()),
        caller(fixture.Context()) {
    fixture.GetEngine().SetControlSink(probes);
    for (size_t i = 0; i < kEndpoints; ++i)
      fixture.AddEndpoint(answers.Script(fixture.GetClock()));
    fixture.SetClockToRealTime();
    fixture.Serve(Repeat::kSafe, kDeadline);
    for (int i = 0; i < kUsualCalls; ++i)
      REQUIRE(fixture.Call("usual").status == 200);
  }

  static StateOptions MakeOptions() {
    StateOptions options = CallFixture::MakeOptions(true);
    options.ask_first = true;
    options.load_probes_per_endpoint_per_second = 1'000;
    return options;
  }

  /** Lets everything happen that can happen now. */
  void Settle() {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(3);
    while (std::chrono::steady_clock::now() < until)
      fixture.Context().run_one_for(std::chrono::milliseconds(1));
  }

  std::string Run() {
    std::string received;
    bool closed = false;
    fixture.Connect(caller);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nSassafras-Request-Id: x\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    answers.Hold();
    asio::co_spawn(fixture.Context(), ReadAll(received, closed), asio::detached);
    fixture.RunUntil([&] { return answers.Attempts() == 1; });
    probes.Hold();
    std::vector<Step> left[kSteppedAttempts] = {DrawSteps(), DrawSteps()};
    bool hedge_due = false;
    // Most orders in which the hedge comes late have none.
    if (random() % 4 > 0)
      PostHedgeDue(hedge_due);
    while (!closed && (!left[0].empty() || !left[1].empty())) {
      Settle();
      const uint32_t draw = random() % 6;
      if (draw == 0)
        PostHedgeDue(hedge_due);
      else if (draw <= 2)
        probes.AnswerOne();
      else
        PlayStep(left, draw % kSteppedAttempts);
      // The hedge will not come any more.
      if (left[0].empty() && answers.Attempts() < kSteppedAttempts && !probes.AnswerOne())
        left[1].clear();
    }
    fixture.RunUntil([&] { return closed; });
    return received;
  }

  const NativeDialect dialect;
  std::mt19937 random;
  CallFixture fixture;
  ProbeSink probes;
  SteppedAnswers answers;
  asio::ip::tcp::socket caller;

 private:
  std::vector<Step> DrawSteps() {
    std::vector<Step> steps = {Step::kHead};
    steps.insert(steps.end(), random() % 3, Step::kPiece);
    steps.push_back(random() % 3 == 0 ? Step::kEnd : Step::kReset);
    return steps;
  }

  void PostHedgeDue(bool& done) {
    if (!std::exchange(done, true))
      fixture.GetEngine().Post(Event::HedgeDue{fixture.GetClock().Peek(), probes.LastCall()});
  }

  void PlayStep(std::vector<Step> (&left)[kSteppedAttempts], size_t attempt) {
    if (attempt >= answers.Attempts() || left[attempt].empty())
      return;
    answers.Play(attempt, left[attempt].front());
    left[attempt].erase(left[attempt].begin());
  }

  asio::awaitable<void> ReadAll(std::string& received, bool& closed) {
    std::string chunk(65'536, 0);
    error_code error;
    while (!error) {
      const size_t size = co_await caller.async_read_some(asio::buffer(chunk), AwaitWithError(error));
      received.append(chunk, 0, size);
    }
    closed = true;
  }
};

/** Whether `received` is a rejection, or a head of an answer and the begin of one attempt's body. */
bool IsFromOneAttempt(const std::string& received) {
  const size_t head_end = received.find("\r\n\r\n");
  if (received.empty() || received.rfind("HTTP/1.1 200", 0) != 0)
    return received.find("HTTP/1.1 200") == std::string::npos;
  if (head_end == std::string::npos)
    return true;
  const std::string body = received.substr(head_end + 4);
  return body.empty() || (body.size() <= kBodyBytes && body == std::string(body.size(), body[0]));
}

}  // namespace

// Guards against an answer that breaks off and is continued with the answer of a hedge, so that it looks whole (MIXED).
TEST_CASE("whatever becomes of a call's two attempts, its caller's bytes are the answer of one of them") {
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    HedgedCall call(seed);
    CHECK(IsFromOneAttempt(call.Run()));
  }
}

}  // namespace sassafras
