#include "static_fleet_setup.h"

#include <fmt/format.h>

#include "static_fleet_simulation.h"

namespace sassafras {

Lists MakeSimulationLists() {
  Lists lists;
  Service service;
  service.name = "svc";
  service.probe_budget = StaticFleetSimulation::kProbesPerSecond;
  service.probe_path = "/probe";
  lists.services.push_back(service);
  for (size_t i = 0; i < StaticFleetSimulation::kEndpoints; ++i) {
    Endpoint endpoint;
    endpoint.name = fmt::format("e{}", i);
    endpoint.service = service.name;
    endpoint.address = endpoint.name;
    endpoint.failure_domain = i % 2 == 0 ? "a" : "b";
    endpoint.slots = kEndpointSlots;
    endpoint.connections = 260;
    lists.endpoints.push_back(endpoint);
  }
  for (const bool repeat_safe : {true, false}) {
    Plan plan;
    plan.name = repeat_safe ? "safe" : "never";
    plan.customer = "c";
    plan.method = repeat_safe ? "GET" : "POST";
    plan.path_prefix = "/";
    plan.repeat = repeat_safe ? Repeat::kSafe : Repeat::kNever;
    plan.deadline = StaticFleetSimulation::kCallDeadline;
    plan.objective_latency = StaticFleetSimulation::Millis(200);
    plan.service = service.name;
    lists.plans.push_back(plan);
  }
  return lists;
}

std::string PeerAddress(size_t instance) {
  return fmt::format("p{}", instance);
}

}  // namespace sassafras
