#include "endpoint_json.h"

#include <exception>

#include <boost/json.hpp>

#include "base/error.h"

namespace sassafras {
namespace {

namespace json = boost::json;

json::object EncodeEndpoint(const EndpointChange& endpoint) {
  return {{"kind", static_cast<uint64_t>(endpoint.kind)},
          {"name", endpoint.row.name},
          {"service", endpoint.row.service},
          {"address", endpoint.row.address},
          {"failure_domain", endpoint.row.failure_domain},
          {"slots", endpoint.row.slots},
          {"incarnation", endpoint.incarnation},
          {"revision", endpoint.revision},
          {"warmup_ms", endpoint.warmup.count()}};
}

/** Decodes one endpoint; throws if a field is missing or has the wrong type. */
EndpointChange DecodeEndpoint(const json::object& object) {
  const auto text = [&](std::string_view name) {
    return std::string(object.at({name.data(), name.size()}).as_string());
  };
  const auto number = [&](std::string_view name) {
    return object.at({name.data(), name.size()}).to_number<uint64_t>();
  };
  EndpointChange endpoint;
  const bool leaving = number("kind") == static_cast<uint64_t>(EndpointChange::Kind::kLeaving);
  endpoint.kind = leaving ? EndpointChange::Kind::kLeaving : EndpointChange::Kind::kServing;
  endpoint.row.name = text("name");
  endpoint.row.service = text("service");
  endpoint.row.address = text("address");
  endpoint.row.failure_domain = text("failure_domain");
  endpoint.row.slots = static_cast<uint32_t>(number("slots"));
  endpoint.incarnation = number("incarnation");
  endpoint.revision = number("revision");
  // Peers of an earlier version do not state it.
  if (object.contains("warmup_ms"))
    endpoint.warmup = std::chrono::milliseconds(object.at("warmup_ms").to_number<uint32_t>());
  return endpoint;
}

}  // namespace

std::string EncodeEndpoints(const std::vector<EndpointChange>& endpoints,
                            uint64_t as_of,
                            std::chrono::milliseconds age) {
  json::array rows;
  for (const EndpointChange& endpoint : endpoints)
    rows.push_back(EncodeEndpoint(endpoint));
  return json::serialize(json::object{{"as_of", as_of}, {"age_ms", age.count()}, {"endpoints", std::move(rows)}});
}

absl::StatusOr<Event::EndpointsReceived> DecodeEndpoints(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    const json::object& object = value.as_object();
    Event::EndpointsReceived event;
    event.as_of = object.at("as_of").to_number<uint64_t>();
    event.age = std::chrono::milliseconds(object.at("age_ms").to_number<int64_t>());
    event.whole = true;
    event.from_peer = true;
    for (const json::value& row : object.at("endpoints").as_array())
      event.changes.push_back(DecodeEndpoint(row.as_object()));
    return event;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kInvalidSyntax, std::string("malformed endpoints from a peer: ") + error.what(),
                     "check that all instances run the same version");
  }
}

}  // namespace sassafras
