#include "store/etcd_client.h"

#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "net/http_client.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::milliseconds kCallLimit{1'500};
constexpr std::chrono::seconds kWatchSilence{600};
constexpr std::chrono::seconds kSeatTtl{6};
constexpr int kOk = 200;

std::string Encode(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::string Decode(const json::value& text) {
  std::string bytes;
  const json::string& encoded = text.as_string();
  if (!absl::Base64Unescape(absl::string_view(encoded.data(), encoded.size()), &bytes))
    throw std::invalid_argument("value is not base64");
  return bytes;
}

/** The gateway writes 64-bit numbers as texts, and leaves out zeros. */
int64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return 0;
  if (value->is_string())
    return std::stoll(std::string(value->as_string()));
  return value->to_number<int64_t>();
}

absl::Status BadReply(std::string_view what) {
  return MakeError(ErrorKind::kOutcomeUnknown, fmt::format("platform: reply not understood: {}", what),
                   "check that the addresses are those of an etcd v3 JSON gateway");
}

StoredValue ParseKv(const json::object& kv) {
  StoredValue value;
  value.exists = true;
  value.revision = Number(kv, "mod_revision");
  if (kv.contains("value"))
    value.value = Decode(kv.at("value"));
  return value;
}

DirectoryEntry ParseEntry(std::string_view text) {
  const json::object object = json::parse(text).as_object();
  const auto text_of = [&](std::string_view key) {
    const json::value* value = object.if_contains(key);
    return value == nullptr ? std::string() : std::string(value->as_string());
  };
  DirectoryEntry entry;
  entry.kind = text_of("kind") == "upstream" ? DirectoryEntry::Kind::kUpstream : DirectoryEntry::Kind::kEntry;
  entry.name = text_of("name");
  entry.failure_domain = text_of("failure_domain");
  entry.address = text_of("address");
  entry.peer_address = text_of("peer_address");
  entry.incarnation = static_cast<uint64_t>(Number(object, "incarnation"));
  entry.leaving = text_of("state") == "leaving";
  return entry;
}

json::value PutIfRevision(std::string_view key, int64_t revision, std::string_view value, const std::string& lease) {
  json::object put{{"key", Encode(key)}, {"value", Encode(value)}};
  if (!lease.empty())
    put["lease"] = lease;
  const json::object compare{
      {"key", Encode(key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(revision)}};
  return json::object{{"compare", json::array{compare}},
                      {"success", json::array{json::object{{"request_put", std::move(put)}}}},
                      {"failure", json::array{}}};
}

// Bodies are built outside coroutines: initializer lists in a co_await expression do not compile with GCC 12.
json::value RangeOf(std::string_view key) {
  return json::object{{"key", Encode(key)}};
}

json::value RevisionOf(std::string_view key) {
  return json::object{{"key", Encode(key)}, {"keys_only", true}};
}

json::value RangeOfPrefix(std::string_view prefix, int64_t since) {
  std::string end(prefix);
  ++end.back();
  json::object range{{"key", Encode(prefix)}, {"range_end", Encode(end)}};
  if (since > 0)
    range["min_mod_revision"] = std::to_string(since + 1);
  return range;
}

json::value WatchOf(std::string_view key) {
  return json::object{{"create_request", json::object{{"key", Encode(key)}}}};
}

json::value LeaseOf(const std::string& lease) {
  return json::object{{"ID", lease}};
}

json::value GrantOf(std::chrono::seconds ttl) {
  return json::object{{"TTL", std::to_string(ttl.count())}};
}

bool HasKeys(const json::value& reply) {
  const json::value* kvs = reply.as_object().if_contains("kvs");
  return kvs != nullptr && !kvs->as_array().empty();
}

bool Succeeded(const json::value& reply) {
  const json::value* succeeded = reply.as_object().if_contains("succeeded");
  return succeeded != nullptr && succeeded->as_bool();
}

}  // namespace

EtcdClient::EtcdClient(std::vector<std::string> addresses, std::string holder)
    : m_addresses(std::move(addresses)), m_holder(std::move(holder)) {}

std::chrono::seconds EtcdClient::Ttl() const {
  return kSeatTtl;
}

asio::awaitable<absl::StatusOr<json::value>> EtcdClient::Call(std::string target, json::value body) {
  absl::Status failure = MakeError(ErrorKind::kUnreachable, "platform: no address is set",
                                   "add 'platform = [\"IP:port\"]' to the settings");
  const std::string text = json::serialize(body);
  for (size_t attempt = 0; attempt < m_addresses.size(); ++attempt) {
    const std::string& address = m_addresses[m_current % m_addresses.size()];
    absl::StatusOr<HttpReply> reply = co_await SendHttp(address, "POST", target, text, kCallLimit);
    if (reply.ok() && reply->status == kOk) {
      boost::system::error_code error;
      json::value value = json::parse(reply->body, error);
      if (error || !value.is_object())
        co_return BadReply("no JSON object");
      co_return value;
    }
    if (reply.ok())
      failure = MakeError(ErrorKind::kOutcomeUnknown, fmt::format("platform {}: status {}", address, reply->status),
                          "try again when the platform is up");
    else
      failure = reply.status();
    ++m_current;
    // A request that may have taken effect is not sent again from here.
    if (ErrorKindOf(failure) != ErrorKind::kUnreachable)
      break;
  }
  co_return failure;
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::Read() {
  co_return co_await ReadLists(RangeOf(kListsKey));
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::ReadRevision() {
  co_return co_await ReadLists(RevisionOf(kListsKey));
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::ReadLists(json::value range) {
  auto reply = co_await Call("/v3/kv/range", std::move(range));
  if (!reply.ok())
    co_return reply.status();
  try {
    if (!HasKeys(*reply))
      co_return StoredValue();
    co_return ParseKv(reply->at("kvs").as_array().front().as_object());
  } catch (const std::exception& error) {
    co_return BadReply(error.what());
  }
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::CompareAndSwap(int64_t expected_revision, std::string value) {
  auto reply = co_await Call("/v3/kv/txn", PutIfRevision(kListsKey, expected_revision, value, {}));
  if (!reply.ok())
    co_return reply.status();
  co_return Succeeded(*reply);
}

asio::awaitable<absl::Status> EtcdClient::Watch(std::function<void(StoredValue)> on_change, StreamStop& stop) {
  if (m_addresses.empty())
    co_return MakeError(ErrorKind::kUnreachable, "platform: no address is set", "set 'platform'");
  const std::string& address = m_addresses[m_current % m_addresses.size()];
  co_return co_await StreamHttp(
      address, "/v3/watch", json::serialize(WatchOf(kListsKey)), kWatchSilence,
      [&on_change](std::string_view line) {
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        if (error || !value.is_object())
          return;
        try {
          const json::value* events = value.at("result").as_object().if_contains("events");
          if (events == nullptr)
            return;
          for (const json::value& event : events->as_array())
            on_change(ParseKv(event.at("kv").as_object()));
        } catch (const std::exception&) {
          // An event that cannot be read is made good by the watcher's next read.
        }
      },
      stop);
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Claim(uint32_t seat) {
  // No conditional expression: GCC 12 miscompiles one that awaits.
  if (m_held.contains(seat))
    co_return co_await Renew(seat);
  co_return co_await Acquire(seat);
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Renew(uint32_t seat) {
  auto reply = co_await Call("/v3/lease/keepalive", LeaseOf(m_held[seat]));
  if (!reply.ok())
    co_return reply.status();
  try {
    const int64_t ttl = Number(reply->at("result").as_object(), "TTL");
    if (ttl < kSeatTtl.count()) {
      m_held.erase(seat);
      co_return false;
    }
    co_return true;
  } catch (const std::exception& error) {
    co_return BadReply(error.what());
  }
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Acquire(uint32_t seat) {
  const std::string key = fmt::format("{}{}", kSeatPrefix, seat);
  // A read is cheaper for the platform than the writes of a claim that cannot succeed.
  auto held = co_await Call("/v3/kv/range", RangeOf(key));
  if (!held.ok())
    co_return held.status();
  if (HasKeys(*held))
    co_return false;
  auto grant = co_await Call("/v3/lease/grant", GrantOf(kSeatTtl));
  if (!grant.ok())
    co_return grant.status();
  std::string lease;
  try {
    lease = std::to_string(Number(grant->as_object(), "ID"));
  } catch (const std::exception& error) {
    co_return BadReply(error.what());
  }
  auto reply = co_await Call("/v3/kv/txn", PutIfRevision(key, 0, m_holder, lease));
  if (!reply.ok())
    co_return reply.status();
  if (!Succeeded(*reply)) {
    co_await Revoke(lease);
    co_return false;
  }
  m_held[seat] = lease;
  co_return true;
}

asio::awaitable<absl::Status> EtcdClient::Revoke(std::string lease) {
  auto reply = co_await Call("/v3/lease/revoke", LeaseOf(lease));
  co_return reply.status();
}

asio::awaitable<absl::Status> EtcdClient::Release(uint32_t seat) {
  const auto held = m_held.extract(seat);
  if (held.empty())
    co_return absl::OkStatus();
  co_return co_await Revoke(held.mapped());
}

asio::awaitable<absl::StatusOr<DirectoryListing>> EtcdClient::List(int64_t since) {
  auto reply = co_await Call("/v3/kv/range", RangeOfPrefix(kInstancePrefix, since));
  if (!reply.ok())
    co_return reply.status();
  DirectoryListing listing;
  listing.whole = since == 0;
  try {
    listing.revision = Number(reply->at("header").as_object(), "revision");
    if (!HasKeys(*reply))
      co_return listing;
    for (const json::value& kv : reply->at("kvs").as_array())
      listing.entries.push_back(ParseEntry(Decode(kv.at("value"))));
  } catch (const std::exception& error) {
    co_return BadReply(error.what());
  }
  co_return listing;
}

}  // namespace sassafras
