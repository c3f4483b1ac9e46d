#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "core/load_report.h"

namespace sassafras {

/** Headers with which endpoints report their load and state; see docs/PROTOCOL.md. */
constexpr std::string_view kUpstreamLoadHeader = "Upstream-Load";
constexpr std::string_view kUpstreamIncarnationHeader = "Upstream-Incarnation";
constexpr std::string_view kUpstreamDrainingHeader = "Upstream-Draining";
constexpr std::string_view kUpstreamRefusedHeader = "Upstream-Refused";

/** Reads the load report of a response; its `present` is false if the load is missing or malformed. */
LoadReport ReadLoadReport(const boost::beast::http::fields& fields);

/** Whether the endpoint states that it did not run the request. */
bool IsRefusal(const boost::beast::http::fields& fields);

/** Removes the hop-by-hop headers, including those named by `Connection`. */
void RemoveHopByHopHeaders(boost::beast::http::fields& fields);

}  // namespace sassafras
