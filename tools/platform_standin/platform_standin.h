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
 * Stand-in for the platform's key-value store and instance list. Serves the part of the etcd v3 JSON gateway that the
 * load balancer uses, and control pages under /standin/ that inject failures.
 */
class PlatformStandin {
 public:
  /** @param instance_list_lag  age of the instance list that reads return */
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
  /** Serves the control pages under /standin/. */
  HttpService::Response HandleControlRequest(const Request& request);
  void Put(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  /** Queues an event with the current value of the key for each of its watchers. */
  void NotifyWatchers(const std::string& key);
  void ExpireLeases();
  /**
   * State that a read of the key returns: for keys of the instance list, and for all keys in mode "stale", a state as
   * old as the lag of the instance list; otherwise the current one.
   */
  Snapshot SnapshotForRead(const std::string& key) const;
  /** Expires leases and records a snapshot at regular intervals. */
  void ScheduleMaintenance();
  static JsonObject MakeHeader(int64_t revision);

  boost::asio::io_context& m_context;
  HttpService m_service;
  boost::asio::steady_timer m_maintenance_timer;
  std::chrono::milliseconds m_instance_list_lag;
  KeyMap m_keys;
  /** Keys at the last /standin/save; /standin/rollback restores them, but not the revision. */
  KeyMap m_saved_keys;
  /** Snapshots from the oldest that reads may return to the newest. */
  std::deque<Snapshot> m_history;
  std::map<int64_t, Lease> m_leases;
  std::list<std::shared_ptr<Watcher>> m_watchers;
  int64_t m_revision = 1;
  int64_t m_last_lease_id = 7'000;
  /** Failure mode: "up" (none), "down", "stale", "commit_then_down" or "lose_replies". */
  std::string m_mode = "up";
  /** Delay before each request is handled. */
  std::chrono::milliseconds m_request_delay{0};
  std::map<std::string, uint64_t> m_calls_by_path;
};

}  // namespace sassafras
