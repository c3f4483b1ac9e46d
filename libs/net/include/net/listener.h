#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace sassafras {

/**
 * Opens a listening socket at IP:port.
 * @param setting_name  setting or option that holds the address, for error messages
 */
absl::Status OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address,
                          std::string_view setting_name);

}  // namespace sassafras
