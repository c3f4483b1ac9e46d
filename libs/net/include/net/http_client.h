#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "net/http_reply.h"
#include "net/stream_canceller.h"

namespace sassafras {

/** Parses "IP:port". */
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

/**
 * Sends one HTTP/1.1 request over a new connection and reads the whole reply.
 * For control traffic only; callers' requests go through UpstreamPool.
 *
 * @param timeout  total time, from connecting to the last byte of the reply
 * @return the reply; error kUnreachable if the connection failed and nothing was sent, kOutcomeUnknown if the request
 *         may have arrived but the reply was lost
 */
boost::asio::awaitable<absl::StatusOr<HttpReply>> SendHttp(std::string address,
                                                           std::string method,
                                                           std::string target,
                                                           std::string body,
                                                           std::chrono::milliseconds timeout);

/**
 * Sends one POST request and passes each line of the streamed reply to `on_line` until the connection ends.
 * @param idle_timeout  longest time without a received byte
 * @param canceller     ends the stream early; must outlive the call
 * @return always an error, which says why the connection failed or ended
 */
boost::asio::awaitable<absl::Status> StreamHttp(std::string address,
                                                std::string target,
                                                std::string body,
                                                std::chrono::milliseconds idle_timeout,
                                                std::function<void(std::string_view)> on_line,
                                                StreamCanceller& canceller);

}  // namespace sassafras
