#include "platform.h"

#include <utility>

#include <absl/strings/escaping.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kSweepPeriod{50};
constexpr std::string_view kInstances = "/platform/instances/";

std::string Encode(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string Decoded(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  std::string bytes;
  if (value != nullptr)
    absl::Base64Unescape(std::string(value->as_string()), &bytes);
  return bytes;
}

int64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return 0;
  return value->is_string() ? std::stoll(std::string(value->as_string())) : value->to_number<int64_t>();
}

json::object KvJson(const std::string& key, const KeyValue& kv) {
  return {{"key", Encode(key)},
          {"value", Encode(kv.value)},
          {"create_revision", std::to_string(kv.create_revision)},
          {"mod_revision", std::to_string(kv.mod_revision)},
          {"version", std::to_string(kv.version)},
          {"lease", std::to_string(kv.lease)}};
}

}  // namespace

Platform::Platform(asio::io_context& context, milliseconds directory_lag)
    : m_context(context),
      m_service(context, [this](const Request& request, beast::tcp_stream& stream) { return Handle(request, stream); }),
      m_sweep(context),
      m_directory_lag(directory_lag) {}

absl::Status Platform::Start(const std::string& address) {
  ScheduleSweep();
  return m_service.Listen(address);
}

void Platform::ScheduleSweep() {
  m_sweep.expires_after(kSweepPeriod);
  m_sweep.async_wait([this](error_code error) {
    if (error)
      return;
    ExpireLeases();
    const auto now = steady_clock::now();
    m_history.push_back({now, m_keys, m_revision});
    while (m_history.size() > 1 && m_history[1].at <= now - m_directory_lag)
      m_history.pop_front();
    ScheduleSweep();
  });
}

Platform::Json Platform::Header(int64_t revision) {
  return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

void Platform::Put(const std::string& key, const std::string& value, int64_t lease) {
  ++m_revision;
  KeyValue& kv = m_keys[key];
  if (kv.version == 0)
    kv.create_revision = m_revision;
  kv.value = value;
  kv.mod_revision = m_revision;
  ++kv.version;
  kv.lease = lease;
  Notify(key);
}

void Platform::Erase(const std::string& key) {
  ++m_revision;
  m_keys.erase(key);
}

void Platform::Notify(const std::string& key) {
  const json::object event{{"kv", KvJson(key, m_keys.at(key))}};
  const json::object result{{"result", json::object{{"header", Header(m_revision)}, {"events", json::array{event}}}}};
  for (const auto& watcher : m_watchers) {
    if (watcher->key != key)
      continue;
    watcher->lines.push_back(json::serialize(result) + "\n");
    watcher->wake->cancel();
  }
}

void Platform::ExpireLeases() {
  const auto now = steady_clock::now();
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (lease->second.until > now) {
      ++lease;
      continue;
    }
    Revoke(json::object{{"ID", std::to_string((lease++)->first)}});
  }
}

Platform::Snapshot Platform::StateFor(const std::string& key) const {
  const bool lagging = key.starts_with(kInstances) || m_mode == "stale";
  if (lagging && !m_history.empty())
    return m_history.front();
  return {{}, m_keys, m_revision};
}

Platform::Json Platform::Range(const Json& body) {
  const std::string key = Decoded(body, "key");
  const std::string end = Decoded(body, "range_end");
  const int64_t since = Number(body, "min_mod_revision");
  const bool keys_only = body.contains("keys_only") && body.at("keys_only").as_bool();
  const Snapshot state = StateFor(key);
  json::array kvs;
  for (auto found = state.keys.lower_bound(key); found != state.keys.end(); ++found) {
    const bool inside = end.empty() ? found->first == key : found->first < end;
    if (!inside)
      break;
    if (found->second.mod_revision < since)
      continue;
    json::object kv = KvJson(found->first, found->second);
    if (keys_only)
      kv.erase("value");
    kvs.push_back(std::move(kv));
  }
  const std::string count = std::to_string(kvs.size());
  return {{"header", Header(state.revision)}, {"kvs", std::move(kvs)}, {"count", count}};
}

Platform::Json Platform::Txn(const Json& body) {
  bool holds = true;
  for (const json::value& item : body.at("compare").as_array()) {
    const json::object& compare = item.as_object();
    const auto found = m_keys.find(Decoded(compare, "key"));
    const int64_t revision = found == m_keys.end() ? 0 : found->second.mod_revision;
    holds = holds && compare.at("target").as_string() == "MOD" && revision == Number(compare, "mod_revision");
  }
  if (holds) {
    for (const json::value& item : body.at("success").as_array()) {
      const json::object& put = item.as_object().at("request_put").as_object();
      Put(Decoded(put, "key"), Decoded(put, "value"), Number(put, "lease"));
    }
  }
  Json reply{{"header", Header(m_revision)}};
  if (holds)
    reply["succeeded"] = true;
  return reply;
}

Platform::Json Platform::Grant(const Json& body) {
  const seconds ttl(Number(body, "TTL"));
  const int64_t id = ++m_last_lease;
  m_leases[id] = {ttl, steady_clock::now() + ttl};
  return {{"header", Header(m_revision)}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl.count())}};
}

Platform::Json Platform::KeepAlive(const Json& body) {
  const int64_t id = Number(body, "ID");
  const auto lease = m_leases.find(id);
  Json result{{"header", Header(m_revision)}, {"ID", std::to_string(id)}};
  if (lease != m_leases.end()) {
    lease->second.until = steady_clock::now() + lease->second.ttl;
    result["TTL"] = std::to_string(lease->second.ttl.count());
  }
  return {{"result", std::move(result)}};
}

Platform::Json Platform::Revoke(const Json& body) {
  const int64_t id = Number(body, "ID");
  m_leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, kv] : m_keys) {
    if (kv.lease == id)
      keys.push_back(key);
  }
  for (const std::string& key : keys)
    Erase(key);
  return {{"header", Header(m_revision)}};
}

asio::awaitable<bool> Platform::Handle(const Request& request, beast::tcp_stream& stream) {
  const std::string target(request.target());
  if (target.starts_with("/standin/"))
    co_return co_await WriteResponse(stream, Control(request));
  ++m_calls[target];
  if (m_mode == "down")
    co_return false;
  if (m_slow > milliseconds::zero()) {
    asio::steady_timer timer(m_context, m_slow);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (target == "/v3/watch")
    co_return co_await HandleWatch(request, stream);
  using Method = Json (Platform::*)(const Json&);
  static const std::map<std::string, Method> kMethods = {{"/v3/kv/range", &Platform::Range},
                                                         {"/v3/kv/txn", &Platform::Txn},
                                                         {"/v3/lease/grant", &Platform::Grant},
                                                         {"/v3/lease/keepalive", &Platform::KeepAlive},
                                                         {"/v3/lease/revoke", &Platform::Revoke}};
  const auto method = kMethods.find(target);
  if (method == kMethods.end())
    co_return co_await WriteResponse(stream, MakeResponse(request, 404, "{}"));
  std::string reply;
  try {
    reply = json::serialize((this->*method->second)(json::parse(request.body()).as_object()));
  } catch (const std::exception& error) {
    reply.clear();
  }
  if (reply.empty())
    co_return co_await WriteResponse(stream, MakeResponse(request, 400, "{\"error\":\"bad request\"}"));
  // The write took effect, its reply is lost, and nobody can ask.
  if (m_mode == "commit_then_down" && target == "/v3/kv/txn" && m_keys.contains("/sassafras/lists") &&
      m_keys.at("/sassafras/lists").mod_revision == m_revision) {
    m_mode = "down";
    co_return false;
  }
  const bool is_write = target == "/v3/kv/txn" || target == "/v3/lease/keepalive";
  if (m_mode == "lose_replies" && is_write)
    co_return false;
  co_return co_await WriteResponse(stream, MakeResponse(request, 200, std::move(reply)));
}

asio::awaitable<bool> Platform::HandleWatch(const Request& request, beast::tcp_stream& stream) {
  auto watcher = std::make_shared<Watcher>();
  watcher->key = Decoded(json::parse(request.body()).at("create_request").as_object(), "key");
  watcher->wake = std::make_shared<asio::steady_timer>(m_context);
  watcher->lines.push_back(
      json::serialize(json::object{{"result", json::object{{"header", Header(m_revision)}, {"created", true}}}}) +
      "\n");
  const auto position = m_watchers.insert(m_watchers.end(), watcher);
  http::response<http::empty_body> head(http::status::ok, 11);
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  error_code error;
  co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
  while (!error && m_mode != "down" && !IsClosed(stream)) {
    while (!watcher->lines.empty() && !error) {
      const std::string line = std::move(watcher->lines.front());
      watcher->lines.pop_front();
      co_await asio::async_write(stream, http::make_chunk(asio::buffer(line)),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    error_code ignored;
    watcher->wake->expires_after(milliseconds(500));
    co_await watcher->wake->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_watchers.erase(position);
  co_return false;
}

HttpService::Response Platform::Control(const Request& request) {
  const std::string target(request.target());
  if (target == "/standin/mode") {
    const json::object body = json::parse(request.body()).as_object();
    m_mode = std::string(body.at("mode").as_string());
    m_slow = milliseconds(Number(body, "slow_ms"));
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/instances") {
    const json::object body = json::parse(request.body()).as_object();
    Put(std::string(kInstances) + std::string(body.at("name").as_string()), json::serialize(body), 0);
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/forget") {
    const json::object body = json::parse(request.body()).as_object();
    Erase(std::string(kInstances) + std::string(body.at("name").as_string()));
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/save") {
    m_saved = m_keys;
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/rollback") {
    m_keys = m_saved;
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/calls") {
    json::object calls;
    for (const auto& [path, count] : m_calls)
      calls[path] = count;
    calls["watches_open"] = m_watchers.size();
    return MakeResponse(request, 200, json::serialize(calls) + "\n");
  }
  return MakeResponse(request, 404, "pages: mode, instances, forget, save, rollback, calls\n");
}

}  // namespace sassafras
