#include "net/listener.h"

#include <fmt/format.h>

#include "base/error.h"
#include "net/http_client.h"

namespace sassafras {

absl::Status OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address,
                          std::string_view setting_name) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint.ok())
    return endpoint.status();
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error)
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor.bind(*endpoint, error);
  if (!error)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::kUnreachable, fmt::format("{} {}: {}", setting_name, address, error.message()),
                     "use an address of this instance whose TCP port is free");
  }
  return absl::OkStatus();
}

}  // namespace sassafras
