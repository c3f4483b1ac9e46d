#include "store/etcd_client.h"

#include <optional>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/log.h"
#include "net/http_client.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::milliseconds kCallTimeout{1'500};
constexpr std::chrono::seconds kWatchIdleTimeout{600};
constexpr std::chrono::seconds kSeatTtl{6};
constexpr int kHttpOk = 200;

std::string EncodeBase64(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::string DecodeBase64(const json::value& text) {
  std::string bytes;
  const json::string& encoded = text.as_string();
  if (!absl::Base64Unescape(absl::string_view(encoded.data(), encoded.size()), &bytes))
    throw std::invalid_argument("value is not base64");
  return bytes;
}

/** Returns a 64-bit integer field. The gateway writes these as strings and omits zeros. */
int64_t IntegerField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return 0;
  if (value->is_string())
    return std::stoll(std::string(value->as_string()));
  return value->to_number<int64_t>();
}

absl::Status InvalidReplyError(std::string_view what) {
  return MakeError(ErrorKind::kOutcomeUnknown, fmt::format("platform: invalid reply: {}", what),
                   "check that the addresses are those of an etcd v3 JSON gateway");
}

StoredValue ParseKeyValue(const json::object& kv) {
  StoredValue value;
  value.exists = true;
  value.revision = IntegerField(kv, "mod_revision");
  if (kv.contains("value"))
    value.value = DecodeBase64(kv.at("value"));
  return value;
}

DirectoryEntry ParseDirectoryEntry(std::string_view text) {
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
  entry.incarnation = static_cast<uint64_t>(IntegerField(object, "incarnation"));
  entry.leaving = text_of("state") == "leaving";
  return entry;
}

/** Returns the key of an item for the log, or a part of the text that stands in its place. */
std::string PrintableKey(const json::value& item) {
  constexpr size_t kMaxPrintedBytes = 100;
  try {
    return DecodeBase64(item.at("key")).substr(0, kMaxPrintedBytes);
  } catch (const std::exception&) {
    return json::serialize(item).substr(0, kMaxPrintedBytes);
  }
}

/** Decodes an item of the directory; logs one that is damaged, and returns nothing for it. */
std::optional<DirectoryEntry> DecodeDirectoryEntry(const json::value& item) {
  try {
    return ParseDirectoryEntry(DecodeBase64(item.at("value")));
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "directory_entry_unusable", {{"key", PrintableKey(item)}, {"error", error.what()}});
    return std::nullopt;
  }
}

json::value MakePutIfRevisionRequest(std::string_view key,
                                     int64_t revision,
                                     std::string_view value,
                                     const std::string& lease) {
  json::object put{{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}};
  if (!lease.empty())
    put["lease"] = lease;
  const json::object compare{
      {"key", EncodeBase64(key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(revision)}};
  return json::object{{"compare", json::array{compare}},
                      {"success", json::array{json::object{{"request_put", std::move(put)}}}},
                      {"failure", json::array{}}};
}

// Request bodies are built outside coroutines: GCC 12 does not compile initializer lists in a co_await expression.
json::value MakeRangeRequest(std::string_view key) {
  return json::object{{"key", EncodeBase64(key)}};
}

json::value MakeRevisionRequest(std::string_view key) {
  return json::object{{"key", EncodeBase64(key)}, {"keys_only", true}};
}

json::value MakePrefixRangeRequest(std::string_view prefix, int64_t since_revision) {
  std::string end(prefix);
  ++end.back();
  json::object range{{"key", EncodeBase64(prefix)}, {"range_end", EncodeBase64(end)}};
  if (since_revision > 0)
    range["min_mod_revision"] = std::to_string(since_revision + 1);
  return range;
}

json::value MakeWatchRequest(std::string_view key) {
  return json::object{{"create_request", json::object{{"key", EncodeBase64(key)}}}};
}

json::value MakeLeaseRequest(const std::string& lease) {
  return json::object{{"ID", lease}};
}

json::value MakeGrantRequest(std::chrono::seconds ttl) {
  return json::object{{"TTL", std::to_string(ttl.count())}};
}

bool HasKeyValues(const json::value& reply) {
  const json::value* kvs = reply.as_object().if_contains("kvs");
  return kvs != nullptr && !kvs->as_array().empty();
}

bool Succeeded(const json::value& reply) {
  const json::value* succeeded = reply.as_object().if_contains("succeeded");
  return succeeded != nullptr && succeeded->as_bool();
}

}  // namespace

EtcdClient::EtcdClient(std::vector<std::string> addresses, std::string holder)
    : m_addresses(std::move(addresses)), m_seat_holder(std::move(holder)) {}

std::chrono::seconds EtcdClient::Ttl() const {
  return kSeatTtl;
}

asio::awaitable<absl::StatusOr<json::value>> EtcdClient::Call(std::string target, json::value body) {
  absl::Status failure =
      MakeError(ErrorKind::kUnreachable, "platform: no address is set",
                "add 'platform = [\"IP:port\"]' to the settings, or pass --platform to sassafrasctl");
  const std::string text = json::serialize(body);
  for (size_t attempt = 0; attempt < m_addresses.size(); ++attempt) {
    const std::string& address = m_addresses[m_address_index % m_addresses.size()];
    absl::StatusOr<HttpReply> reply = co_await SendHttp(address, "POST", target, text, kCallTimeout);
    if (reply.ok() && reply->status == kHttpOk) {
      boost::system::error_code error;
      json::value value = json::parse(reply->body, error);
      if (error || !value.is_object())
        co_return InvalidReplyError("not a JSON object");
      co_return value;
    }
    if (reply.ok())
      failure =
          MakeError(ErrorKind::kOutcomeUnknown, fmt::format("platform {}: HTTP status {}", address, reply->status),
                    "try again when the platform is up");
    else
      failure = reply.status();
    ++m_address_index;
    // Retry at the next address only if the request cannot have taken effect.
    if (ErrorKindOf(failure) != ErrorKind::kUnreachable)
      break;
  }
  co_return failure;
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::Read() {
  co_return co_await ReadLists(MakeRangeRequest(kListsKey));
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::ReadRevision() {
  co_return co_await ReadLists(MakeRevisionRequest(kListsKey));
}

asio::awaitable<absl::StatusOr<StoredValue>> EtcdClient::ReadLists(json::value range) {
  auto reply = co_await Call("/v3/kv/range", std::move(range));
  if (!reply.ok())
    co_return reply.status();
  try {
    if (!HasKeyValues(*reply))
      co_return StoredValue();
    co_return ParseKeyValue(reply->at("kvs").as_array().front().as_object());
  } catch (const std::exception& error) {
    co_return InvalidReplyError(error.what());
  }
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::CompareAndSwap(int64_t expected_revision, std::string value) {
  auto reply = co_await Call("/v3/kv/txn", MakePutIfRevisionRequest(kListsKey, expected_revision, value, {}));
  if (!reply.ok())
    co_return reply.status();
  co_return Succeeded(*reply);
}

asio::awaitable<absl::Status> EtcdClient::Watch(std::function<void(StoredValue)> on_change,
                                                StreamCanceller& canceller) {
  if (m_addresses.empty())
    co_return MakeError(ErrorKind::kUnreachable, "platform: no address is set", "set 'platform' in the settings");
  const std::string& address = m_addresses[m_address_index % m_addresses.size()];
  co_return co_await StreamHttp(
      address, "/v3/watch", json::serialize(MakeWatchRequest(kListsKey)), kWatchIdleTimeout,
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
            on_change(ParseKeyValue(event.at("kv").as_object()));
        } catch (const std::exception&) {
          // Ignores an invalid event: the watcher's next read returns the current state.
        }
      },
      canceller);
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Claim(uint32_t seat) {
  // GCC 12 miscompiles a conditional expression with co_await, hence the if statement.
  if (m_leases_by_seat.contains(seat))
    co_return co_await Renew(seat);
  co_return co_await Acquire(seat);
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Renew(uint32_t seat) {
  auto reply = co_await Call("/v3/lease/keepalive", MakeLeaseRequest(m_leases_by_seat[seat]));
  if (!reply.ok())
    co_return reply.status();
  try {
    const int64_t ttl = IntegerField(reply->at("result").as_object(), "TTL");
    if (ttl < kSeatTtl.count()) {
      m_leases_by_seat.erase(seat);
      co_return false;
    }
    co_return true;
  } catch (const std::exception& error) {
    co_return InvalidReplyError(error.what());
  }
}

asio::awaitable<absl::StatusOr<bool>> EtcdClient::Acquire(uint32_t seat) {
  const std::string key = fmt::format("{}{}", kSeatPrefix, seat);
  // Reads first: for the platform a read is cheaper than the writes of a claim that is bound to fail.
  auto held = co_await Call("/v3/kv/range", MakeRangeRequest(key));
  if (!held.ok())
    co_return held.status();
  if (HasKeyValues(*held))
    co_return false;
  auto grant = co_await Call("/v3/lease/grant", MakeGrantRequest(kSeatTtl));
  if (!grant.ok())
    co_return grant.status();
  std::string lease;
  try {
    lease = std::to_string(IntegerField(grant->as_object(), "ID"));
  } catch (const std::exception& error) {
    co_return InvalidReplyError(error.what());
  }
  auto reply = co_await Call("/v3/kv/txn", MakePutIfRevisionRequest(key, 0, m_seat_holder, lease));
  if (!reply.ok())
    co_return reply.status();
  if (!Succeeded(*reply)) {
    co_await Revoke(lease);
    co_return false;
  }
  m_leases_by_seat[seat] = lease;
  co_return true;
}

asio::awaitable<absl::Status> EtcdClient::Revoke(std::string lease) {
  auto reply = co_await Call("/v3/lease/revoke", MakeLeaseRequest(lease));
  co_return reply.status();
}

asio::awaitable<absl::Status> EtcdClient::Release(uint32_t seat) {
  const auto held = m_leases_by_seat.extract(seat);
  if (held.empty())
    co_return absl::OkStatus();
  co_return co_await Revoke(held.mapped());
}

asio::awaitable<absl::StatusOr<DirectoryListing>> EtcdClient::List(int64_t since_revision) {
  auto reply = co_await Call("/v3/kv/range", MakePrefixRangeRequest(kInstancePrefix, since_revision));
  if (!reply.ok())
    co_return reply.status();
  DirectoryListing listing;
  listing.is_snapshot = since_revision == 0;
  try {
    listing.revision = IntegerField(reply->at("header").as_object(), "revision");
    if (!HasKeyValues(*reply))
      co_return listing;
    for (const json::value& item : reply->at("kvs").as_array()) {
      if (auto entry = DecodeDirectoryEntry(item))
        listing.entries.push_back(*std::move(entry));
    }
  } catch (const std::exception& error) {
    co_return InvalidReplyError(error.what());
  }
  co_return listing;
}

}  // namespace sassafras
