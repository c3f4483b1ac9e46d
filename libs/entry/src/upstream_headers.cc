#include "upstream_headers.h"

#include <algorithm>
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

constexpr std::array<http::field, 7> kHopByHopHeaders = {
    http::field::connection, http::field::keep_alive, http::field::proxy_connection,  http::field::te,
    http::field::trailer,    http::field::upgrade,    http::field::proxy_authenticate};

/** Headers that a sender must not be able to remove: the framing ones, and the one that selects the plan. */
constexpr std::array<std::string_view, 3> kEndToEndHeaders = {"content-length", "transfer-encoding", "host"};

bool IsEndToEnd(std::string_view name) {
  return std::any_of(kEndToEndHeaders.begin(), kEndToEndHeaders.end(), [name](std::string_view kept) {
    return boost::beast::iequals({name.data(), name.size()}, {kept.data(), kept.size()});
  });
}

}  // namespace

LoadReport ReadLoadReport(const http::fields& fields) {
  LoadReport report;
  report.present = ParseNumber(Text(fields, kUpstreamLoadHeader), report.in_flight);
  if (!report.present)
    report.in_flight = 0;
  if (!ParseNumber(Text(fields, kUpstreamIncarnationHeader), report.incarnation))
    report.incarnation = 0;
  report.draining = Text(fields, kUpstreamDrainingHeader) == "1";
  return report;
}

bool IsRefusal(const http::fields& fields) {
  return fields.find(kUpstreamRefusedHeader) != fields.end();
}

void RemoveHopByHopHeaders(http::fields& fields) {
  std::vector<std::string> connection_options;
  for (const auto token : http::token_list(fields[http::field::connection]))
    connection_options.emplace_back(token);
  for (const std::string& name : connection_options) {
    if (!IsEndToEnd(name))
      fields.erase(name);
  }
  for (const http::field field : kHopByHopHeaders)
    fields.erase(field);
}

}  // namespace sassafras
