#include "GatewayNode.h"
#include "PeerExchange.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

// Symptom would be two VMs that order one engine. Sequence: a VM starts while another of its zone
// is cut off from the store and from it; the other is one of the seeds, which name no zone, and the
// store names its zone later. Cause: the zone of a peer that was known already was not taken, so
// the new VM did not wait for it.
Test(peers, the_zone_of_a_seed_is_taken_when_it_is_told)
{
    GatewaySettings settings;
    settings.zone = "zone-a";
    GatewayNode node(settings);
    const Endpoint seed{"10.0.0.2", 7380};
    addPeer(node, seed, {});
    addPeer(node, seed, {"vm-2", "zone-a", 1});
    cr_assert_eq(node.peers.at(seed).zone, "zone-a");
    addPeer(node, seed, {});
    cr_assert_eq(node.peers.at(seed).zone, "zone-a");
}
