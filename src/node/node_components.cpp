#include "node/node_components.h"

namespace buckthornhill::node {
namespace {
constexpr std::size_t max_kept_handovers = 32;
}

node_components::node_components(const membership::member_description& self,
                                 const node_configuration& configuration, const random_hook& random)
    : members(self, configuration.membership, random)
    , usage(self.region)
    , admission(configuration.admission, random)
    , selector(self.id, place{self.region, self.domain}, configuration.steering, random)
    , shift(configuration.shift)
    , health(configuration.health)
    , crashes(configuration.quarantine)
    , tickets(self.incarnation, configuration.requests)
    , handovers(max_kept_handovers)
{
}

instance_id node_components::handover_holder_of(incarnation_id incarnation) const
{
    const auto found = this->handover_holders.find(incarnation);
    return found == this->handover_holders.end() ? instance_id{} : found->second;
}
} // namespace buckthornhill::node
