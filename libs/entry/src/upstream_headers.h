#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "core/load_report.h"

namespace sassafras {

/** Headers with which endpoints report their load and state; see docs/PROTOCOL.md. */
constexpr std::string_view kUpstreamLoad = "Upstream-Load";
constexpr std::string_view kUpstreamIncarnation = "Upstream-Incarnation";
constexpr std::string_view kUpstreamDraining = "Upstream-Draining";
constexpr std::string_view kUpstreamRefused = "Upstream-Refused";

/** Reads the load report of a response; malformed values count as absent. */
LoadReport ReadLoadReport(const boost::beast::http::fields& fields);

/** Whether the endpoint states that it did not run the request. */
bool IsRefusal(const boost::beast::http::fields& fields);

/** Removes the hop-by-hop headers, including those named by `Connection`. */
void RemoveHopByHop(boost::beast::http::fields& fields);

}  // namespace sassafras
