#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/flow-identity.h"
#include "protocol/flow-packet.h"
#include "state/forward-view.h"
#include "state/recent-flows.h"

/* Where flows are open that two targets may have accepted: peers tell each
 * other, and packets whose cookie may be that of the other target are assigned
 * to the right one. Times are those of a monotonic clock in microseconds. */

struct opened_flows;

/* Tells the peers about OPEN_FLOW_RECORDS_MAX flows at most. */
typedef void (*opened_flows_tell_fn)(void *ctx,
                                     const struct open_flow_record *records,
                                     size_t count);

/* The target of a packet that is no opening packet. */
struct opened_flows_owner {
    uint32_t cookie; /* of the target: its own form, not that of openings */
    uint32_t named;  /* the same of the target that the packet names */
    bool known;      /* false: the packet may belong to a flow that is open at
                      * another target */
    /* Where the flow is recorded as open, NULL: nowhere. It is valid until
     * the next change of the records. */
    const struct recent_flow *record;
};

/* "own" and "view" are not owned. Returns NULL when out of memory. */
struct opened_flows *opened_flows_new(struct recent_flows *own,
                                      struct forward_view *view,
                                      opened_flows_tell_fn tell, void *ctx);
void opened_flows_destroy(struct opened_flows *of);
/* To be called once a second. */
void opened_flows_expire(struct opened_flows *of, uint64_t now);

/* Tells the peers where a flow is open, unless there were too many in this
 * second. Returns whether they were told. */
bool opened_flows_tell(struct opened_flows *of, const struct recent_flow *flow,
                       uint64_t now);
/* Peers have started or ended: what they know of the flows here is told again
 * by the next opened_flows_expire(), to all. */
void opened_flows_on_peers_changed(struct opened_flows *of);
/* Takes over what a peer has told. With "relay", what is new here is passed
 * on. */
void opened_flows_receive(struct opened_flows *of,
                          const struct open_flow_record *records, size_t count,
                          bool relay, uint64_t now);

struct opened_flows_owner
opened_flows_find_owner(const struct opened_flows *of,
                        const struct flow_packet *packet);
