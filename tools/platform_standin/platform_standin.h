#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "../common/http_service.h"
#include "key_value.h"

namespace sassafras {

/**
 * Stand-in for the platform's key-value service and list of instances: the part of the etcd v3 JSON gateway
 * that the product uses, and a page to make it fail.
 */
class PlatformStandin {
 public:
  /** @param directory_lag  age of the instance list that is served */
  PlatformStandin(boost::asio::io_context& context, std::chrono::milliseconds instance_list_lag);
  absl::Status Start(const std::string& address);

 private:
  using Request = HttpService::Request;
  using JsonObject = boost::json::object;
  struct Lease {
    std::chrono::seconds ttl{};
    std::chrono::steady_clock::time_point expires_at;
  };
  struct Watcher {
    std::string key;
    std::deque<std::string> pending_lines;
    std::shared_ptr<boost::asio::steady_timer> wake_timer;
  };
  struct Snapshot {
    std::chrono::steady_clock::time_point taken_at;
    KeyMap keys;
    int64_t revision = 0;
  };

  boost::asio::awaitable<bool> HandleRequest(const Request& request, boost::beast::tcp_stream& stream);
  boost::asio::awaitable<bool> HandleWatch(const Request& request, boost::beast::tcp_stream& stream);
  JsonObject Range(const JsonObject& body);
  JsonObject Txn(const JsonObject& body);
  JsonObject GrantLease(const JsonObject& body);
  JsonObject KeepLeaseAlive(const JsonObject& body);
  JsonObject RevokeLease(const JsonObject& body);
  /** Pages of the stand-in itself, under /standin/. */
  HttpService::Response HandleControlRequest(const Request& request);
  void Put(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  void NotifyWatchers(const std::string& key);
  void ExpireLeases();
  /** State that a read of the key sees: an older one while the list of instances lags or reads are stale. */
  Snapshot SnapshotForRead(const std::string& key) const;
  void ScheduleMaintenance();
  static JsonObject MakeHeader(int64_t revision);

  boost::asio::io_context& m_context;
  HttpService m_service;
  boost::asio::steady_timer m_maintenance_timer;
  std::chrono::milliseconds m_instance_list_lag;
  KeyMap m_keys;
  KeyMap m_saved_keys;
  std::deque<Snapshot> m_history;
  std::map<int64_t, Lease> m_leases;
  std::list<std::shared_ptr<Watcher>> m_watchers;
  int64_t m_revision = 1;
  int64_t m_last_lease_id = 7'000;
  std::string m_mode = "up";
  std::chrono::milliseconds m_reply_delay{0};
  std::map<std::string, uint64_t> m_calls_by_path;
};

}  // namespace sassafras
