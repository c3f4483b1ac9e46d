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
#include "net/stream_stop.h"

namespace sassafras {

/** Parses "IP:port"; an error names the remedy. */
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

/**
 * Sends one HTTP/1.1 request over a connection of its own and reads the whole reply.
 * For control traffic; calls go through UpstreamPool.
 *
 * @param limit  time for everything from connecting to the last byte
 * @return the reply; kUnreachable if no byte of the request left; kOutcomeUnknown if the request may have
 *         arrived and the reply was lost
 */
boost::asio::awaitable<absl::StatusOr<HttpReply>> SendHttp(std::string address,
                                                           std::string method,
                                                           std::string target,
                                                           std::string body,
                                                           std::chrono::milliseconds limit);

/**
 * Sends one request and hands over each line of the streamed reply as it arrives, until the connection ends.
 * @param silence  longest time without a byte
 * @param stop     ends the stream; must outlive the call
 */
boost::asio::awaitable<absl::Status> StreamHttp(std::string address,
                                                std::string target,
                                                std::string body,
                                                std::chrono::milliseconds silence,
                                                std::function<void(std::string_view)> on_line,
                                                StreamStop& stop);

}  // namespace sassafras
