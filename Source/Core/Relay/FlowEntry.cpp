#include "FlowEntry.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Returns the service of the route to which the agent belongs.
std::optional<ServiceNameHash> serviceOfMember(const Endpoint &agent,
                                               const RouteRecord &route,
                                               const ServiceTable &table) {
  for (const ServiceId id : servicesOf(route)) {
    const Service *service = table.find(id);
    if (service == nullptr)
      continue;
    for (const auto members : {service->members(), table.withdrawnMembers(id)})
      if (std::ranges::find(members, agent, &ServiceMember::Address) !=
          members.end())
        return hashServiceName(service->name());
  }
  return std::nullopt;
}

} // namespace

std::vector<ServiceId> servicesOf(const RouteRecord &route) {
  std::vector<ServiceId> services;
  for (const RouteShare &it : route.Shares)
    services.push_back(it.Service);
  services.insert(services.end(), route.FormerServices.begin(),
                  route.FormerServices.end());
  return services;
}

void resolveServices(FlowEntry &entry, const RouteRecord &route,
                     const ServiceTable &table) {
  for (Holder *it : {&entry.Current, &entry.Alternate}) {
    if (it->Agent.Port == 0 || it->Service)
      continue;
    it->Service = serviceOfMember(it->Agent, route, table);
    if (!it->Service)
      *it = {};
  }
}

bool takesNewFlows(const Holder &holder, const RouteRecord &route,
                   const ServiceTable &table) {
  return std::ranges::any_of(route.Shares, [&](const RouteShare &it) {
    const Service *service = table.find(it.Service);
    return it.Weight > 0 && service != nullptr &&
           holder.Service == hashServiceName(service->name());
  });
}

} // namespace pistachio
