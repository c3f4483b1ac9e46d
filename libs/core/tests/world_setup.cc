#include "world_setup.h"

#include <fmt/format.h>

#include "world.h"

namespace sassafras {

Lists MakeWorldLists() {
  Lists lists;
  Service service;
  service.name = "svc";
  service.probe_budget = World::kProbeBudget;
  service.probe_path = "/probe";
  lists.services.push_back(service);
  for (size_t i = 0; i < World::kEndpoints; ++i) {
    Endpoint endpoint;
    endpoint.name = fmt::format("e{}", i);
    endpoint.service = service.name;
    endpoint.address = endpoint.name;
    endpoint.failure_domain = i % 2 == 0 ? "a" : "b";
    endpoint.slots = kSlots;
    endpoint.connections = 260;
    lists.endpoints.push_back(endpoint);
  }
  for (const bool safe : {true, false}) {
    Plan plan;
    plan.name = safe ? "safe" : "never";
    plan.customer = "c";
    plan.method = safe ? "GET" : "POST";
    plan.path_prefix = "/";
    plan.repeat = safe ? Repeat::kSafe : Repeat::kNever;
    plan.deadline = World::kDeadline;
    plan.objective_latency = World::Millis(200);
    plan.service = service.name;
    lists.plans.push_back(plan);
  }
  return lists;
}

std::string PeerAddress(size_t instance) {
  return fmt::format("p{}", instance);
}

}  // namespace sassafras
