#include "upstream_headers.h"

#include <array>
#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

#include "base/parse_number.h"

namespace sassafras {
namespace {

namespace http = boost::beast::http;

std::string_view Text(const http::fields& fields, std::string_view name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

constexpr std::array<http::field, 7> kHopByHop = {
    http::field::connection, http::field::keep_alive, http::field::proxy_connection,  http::field::te,
    http::field::trailer,    http::field::upgrade,    http::field::proxy_authenticate};

}  // namespace

LoadReport ReadLoadReport(const http::fields& fields) {
  LoadReport report;
  report.present = ParseNumber(Text(fields, kUpstreamLoad), report.in_flight);
  ParseNumber(Text(fields, kUpstreamIncarnation), report.incarnation);
  report.draining = Text(fields, kUpstreamDraining) == "1";
  return report;
}

bool IsRefusal(const http::fields& fields) {
  return fields.find(kUpstreamRefused) != fields.end();
}

void RemoveHopByHop(http::fields& fields) {
  std::vector<std::string> named;
  for (const auto token : http::token_list(fields[http::field::connection]))
    named.emplace_back(token);
  for (const std::string& name : named) {
    // The sender must not be able to remove the framing headers.
    if (!boost::beast::iequals(name, "content-length") && !boost::beast::iequals(name, "transfer-encoding"))
      fields.erase(name);
  }
  for (const http::field field : kHopByHop)
    fields.erase(field);
}

}  // namespace sassafras
