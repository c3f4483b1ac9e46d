#include "platform_standin.h"

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

constexpr milliseconds kMaintenancePeriod{50};
constexpr std::string_view kInstancePrefix = "/platform/instances/";

std::string EncodeBase64(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string DecodeField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  std::string bytes;
  if (value != nullptr)
    absl::Base64Unescape(std::string(value->as_string()), &bytes);
  return bytes;
}

int64_t NumberField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return 0;
  return value->is_string() ? std::stoll(std::string(value->as_string())) : value->to_number<int64_t>();
}

json::object KeyValueToJson(const std::string& key, const KeyValue& kv) {
  return {{"key", EncodeBase64(key)},
          {"value", EncodeBase64(kv.value)},
          {"create_revision", std::to_string(kv.create_revision)},
          {"mod_revision", std::to_string(kv.mod_revision)},
          {"version", std::to_string(kv.version)},
          {"lease", std::to_string(kv.lease)}};
}

}  // namespace

PlatformStandin::PlatformStandin(asio::io_context& context, milliseconds instance_list_lag)
    : m_context(context),
      m_service(context,
                [this](const Request& request, beast::tcp_stream& stream) { return HandleRequest(request, stream); }),
      m_maintenance_timer(context),
      m_instance_list_lag(instance_list_lag) {}

absl::Status PlatformStandin::Start(const std::string& address) {
  ScheduleMaintenance();
  return m_service.Listen(address);
}

void PlatformStandin::ScheduleMaintenance() {
  m_maintenance_timer.expires_after(kMaintenancePeriod);
  m_maintenance_timer.async_wait([this](error_code error) {
    if (error)
      return;
    ExpireLeases();
    const auto now = steady_clock::now();
    m_history.push_back({now, m_keys, m_revision});
    while (m_history.size() > 1 && m_history[1].taken_at <= now - m_instance_list_lag)
      m_history.pop_front();
    ScheduleMaintenance();
  });
}

PlatformStandin::JsonObject PlatformStandin::MakeHeader(int64_t revision) {
  return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

void PlatformStandin::Put(const std::string& key, const std::string& value, int64_t lease) {
  ++m_revision;
  KeyValue& kv = m_keys[key];
  if (kv.version == 0)
    kv.create_revision = m_revision;
  kv.value = value;
  kv.mod_revision = m_revision;
  ++kv.version;
  kv.lease = lease;
  NotifyWatchers(key);
}

void PlatformStandin::Erase(const std::string& key) {
  ++m_revision;
  m_keys.erase(key);
}

void PlatformStandin::NotifyWatchers(const std::string& key) {
  const json::object event{{"kv", KeyValueToJson(key, m_keys.at(key))}};
  const json::object result{
      {"result", json::object{{"header", MakeHeader(m_revision)}, {"events", json::array{event}}}}};
  for (const auto& watcher : m_watchers) {
    if (watcher->key != key)
      continue;
    watcher->pending_lines.push_back(json::serialize(result) + "\n");
    watcher->wake_timer->cancel();
  }
}

void PlatformStandin::ExpireLeases() {
  const auto now = steady_clock::now();
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    RevokeLease(json::object{{"ID", std::to_string((lease++)->first)}});
  }
}

PlatformStandin::Snapshot PlatformStandin::SnapshotForRead(const std::string& key) const {
  const bool reads_old_state = key.starts_with(kInstancePrefix) || m_mode == "stale";
  if (reads_old_state && !m_history.empty())
    return m_history.front();
  return {{}, m_keys, m_revision};
}

PlatformStandin::JsonObject PlatformStandin::Range(const JsonObject& body) {
  const std::string key = DecodeField(body, "key");
  const std::string end = DecodeField(body, "range_end");
  const int64_t min_mod_revision = NumberField(body, "min_mod_revision");
  const bool keys_only = body.contains("keys_only") && body.at("keys_only").as_bool();
  const Snapshot state = SnapshotForRead(key);
  json::array kvs;
  for (auto found = state.keys.lower_bound(key); found != state.keys.end(); ++found) {
    const bool in_range = end.empty() ? found->first == key : found->first < end;
    if (!in_range)
      break;
    if (found->second.mod_revision < min_mod_revision)
      continue;
    json::object kv = KeyValueToJson(found->first, found->second);
    if (keys_only)
      kv.erase("value");
    kvs.push_back(std::move(kv));
  }
  const std::string count = std::to_string(kvs.size());
  return {{"header", MakeHeader(state.revision)}, {"kvs", std::move(kvs)}, {"count", count}};
}

PlatformStandin::JsonObject PlatformStandin::Txn(const JsonObject& body) {
  bool comparisons_hold = true;
  for (const json::value& item : body.at("compare").as_array()) {
    const json::object& compare = item.as_object();
    const auto found = m_keys.find(DecodeField(compare, "key"));
    const int64_t revision = found == m_keys.end() ? 0 : found->second.mod_revision;
    comparisons_hold = comparisons_hold && compare.at("target").as_string() == "MOD" &&
                       revision == NumberField(compare, "mod_revision");
  }
  if (comparisons_hold) {
    for (const json::value& item : body.at("success").as_array()) {
      const json::object& put = item.as_object().at("request_put").as_object();
      Put(DecodeField(put, "key"), DecodeField(put, "value"), NumberField(put, "lease"));
    }
  }
  JsonObject reply{{"header", MakeHeader(m_revision)}};
  if (comparisons_hold)
    reply["succeeded"] = true;
  return reply;
}

PlatformStandin::JsonObject PlatformStandin::GrantLease(const JsonObject& body) {
  const seconds ttl(NumberField(body, "TTL"));
  const int64_t id = ++m_last_lease_id;
  m_leases[id] = {ttl, steady_clock::now() + ttl};
  return {{"header", MakeHeader(m_revision)}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl.count())}};
}

PlatformStandin::JsonObject PlatformStandin::KeepLeaseAlive(const JsonObject& body) {
  const int64_t id = NumberField(body, "ID");
  const auto lease = m_leases.find(id);
  JsonObject result{{"header", MakeHeader(m_revision)}, {"ID", std::to_string(id)}};
  if (lease != m_leases.end()) {
    lease->second.expires_at = steady_clock::now() + lease->second.ttl;
    result["TTL"] = std::to_string(lease->second.ttl.count());
  }
  return {{"result", std::move(result)}};
}

PlatformStandin::JsonObject PlatformStandin::RevokeLease(const JsonObject& body) {
  const int64_t id = NumberField(body, "ID");
  m_leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, kv] : m_keys) {
    if (kv.lease == id)
      keys.push_back(key);
  }
  for (const std::string& key : keys)
    Erase(key);
  return {{"header", MakeHeader(m_revision)}};
}

asio::awaitable<bool> PlatformStandin::HandleRequest(const Request& request, beast::tcp_stream& stream) {
  const std::string target(request.target());
  if (target.starts_with("/standin/"))
    co_return co_await WriteResponse(stream, HandleControlRequest(request));
  ++m_calls_by_path[target];
  if (m_mode == "down")
    co_return false;
  if (m_request_delay > milliseconds::zero()) {
    asio::steady_timer timer(m_context, m_request_delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (target == "/v3/watch")
    co_return co_await HandleWatch(request, stream);
  using Handler = JsonObject (PlatformStandin::*)(const JsonObject&);
  static const std::map<std::string, Handler> kHandlers = {{"/v3/kv/range", &PlatformStandin::Range},
                                                           {"/v3/kv/txn", &PlatformStandin::Txn},
                                                           {"/v3/lease/grant", &PlatformStandin::GrantLease},
                                                           {"/v3/lease/keepalive", &PlatformStandin::KeepLeaseAlive},
                                                           {"/v3/lease/revoke", &PlatformStandin::RevokeLease}};
  const auto handler = kHandlers.find(target);
  if (handler == kHandlers.end())
    co_return co_await WriteResponse(stream, MakeResponse(request, 404, "{}"));
  std::string reply;
  try {
    reply = json::serialize((this->*handler->second)(json::parse(request.body()).as_object()));
  } catch (const std::exception& error) {
    reply.clear();
  }
  if (reply.empty())
    co_return co_await WriteResponse(stream, MakeResponse(request, 400, "{\"error\":\"bad request\"}"));
  // Mode "commit_then_down": the write takes effect, its reply is lost, and the store is down, so that the client can't
  // find out whether the write took effect.
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

asio::awaitable<bool> PlatformStandin::HandleWatch(const Request& request, beast::tcp_stream& stream) {
  auto watcher = std::make_shared<Watcher>();
  watcher->key = DecodeField(json::parse(request.body()).at("create_request").as_object(), "key");
  watcher->wake_timer = std::make_shared<asio::steady_timer>(m_context);
  watcher->pending_lines.push_back(
      json::serialize(json::object{{"result", json::object{{"header", MakeHeader(m_revision)}, {"created", true}}}}) +
      "\n");
  const auto position = m_watchers.insert(m_watchers.end(), watcher);
  http::response<http::empty_body> head(http::status::ok, 11);
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  error_code error;
  co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
  while (!error && m_mode != "down" && !IsClosedByClient(stream)) {
    while (!watcher->pending_lines.empty() && !error) {
      const std::string line = std::move(watcher->pending_lines.front());
      watcher->pending_lines.pop_front();
      co_await asio::async_write(stream, http::make_chunk(asio::buffer(line)),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    error_code ignored;
    watcher->wake_timer->expires_after(milliseconds(500));
    co_await watcher->wake_timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_watchers.erase(position);
  co_return false;
}

HttpService::Response PlatformStandin::HandleControlRequest(const Request& request) {
  const std::string target(request.target());
  if (target == "/standin/mode") {
    const json::object body = json::parse(request.body()).as_object();
    m_mode = std::string(body.at("mode").as_string());
    m_request_delay = milliseconds(NumberField(body, "slow_ms"));
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/instances") {
    const json::object body = json::parse(request.body()).as_object();
    Put(std::string(kInstancePrefix) + std::string(body.at("name").as_string()), json::serialize(body), 0);
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/forget") {
    const json::object body = json::parse(request.body()).as_object();
    Erase(std::string(kInstancePrefix) + std::string(body.at("name").as_string()));
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/save") {
    m_saved_keys = m_keys;
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/rollback") {
    m_keys = m_saved_keys;
    return MakeResponse(request, 200, "{}\n");
  }
  if (target == "/standin/calls") {
    json::object calls;
    for (const auto& [path, count] : m_calls_by_path)
      calls[path] = count;
    calls["watches_open"] = m_watchers.size();
    return MakeResponse(request, 200, json::serialize(calls) + "\n");
  }
  return MakeResponse(request, 404, "unknown page; known pages: mode, instances, forget, save, rollback, calls\n");
}

}  // namespace sassafras
