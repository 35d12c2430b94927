#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

#include "coordination/own-delay.h"
#include "coordination/target-speed.h"
#include "daemon/forward-log.h"
#include "protocol/flow-packet.h"
#include "state/forward-view.h"
#include "state/recent-flows.h"

/* Feeds target_speed with what the flows of a forward task show, and exchanges
 * its records with the peers. It has no timer while nothing waits to be told:
 * flows are looked at when packets arrive, because without packets nothing is
 * decided. */
struct forward_speed;

struct forward_speed_callbacks {
    /* Tells the peers how long targets take, as view_sync_send_slow_targets().
     */
    void (*tell)(void *ctx, const struct slow_target_record *records,
                 size_t count, bool wide);
    void *ctx;
};

/* All arguments but "cb", which is copied, stay owned by the caller and must
 * outlive the result. Returns NULL when out of memory. */
struct forward_speed *
forward_speed_new(struct event_base *base, struct recent_flows *flows,
                  const struct forward_view *view, struct own_delay *own_delay,
                  struct forward_log *log,
                  const struct forward_speed_callbacks *cb);
/* Does nothing for NULL. */
void forward_speed_destroy(struct forward_speed *fs);

/* The caller of a flow that waited for an answer has received something from
 * the target. Must be called before the state of the flow changes. "arrived"
 * is when "packet", which shows it, was received, "alive_at" the latest time
 * at which the target is known to have been working. */
void forward_speed_on_answer(struct forward_speed *fs,
                             const struct recent_flow *flow,
                             const struct forward_target *target,
                             const struct route_record *route,
                             const struct flow_packet *packet,
                             uint64_t arrived, uint64_t alive_at,
                             uint64_t now);
/* A flow was placed at the target, which is a trial if it fails. */
void forward_speed_on_placed(struct forward_speed *fs,
                             const struct forward_target *target,
                             uint64_t now);
/* Sets the interval between two trials of this balancer at a target. */
void forward_speed_set_trial_interval(struct forward_speed *fs,
                                      uint64_t interval_us);
/* Adds what a peer has told, as target_speed_receive(). */
void forward_speed_receive(struct forward_speed *fs,
                           const struct slow_target_record *records,
                           size_t count, bool relay);
/* The routers are about to hand flows to other balancers, since one has come
 * or gone. The answers on flows that another one gets are not seen here. */
void forward_speed_on_routers_changed(struct forward_speed *fs, uint64_t now);
/* Looks at the requests that wait for an answer, and tells the peers what they
 * may lack, if that is due. To be called for each packet. */
void forward_speed_check(struct forward_speed *fs, uint64_t now);

const struct target_speed *
forward_speed_targets(const struct forward_speed *fs);
