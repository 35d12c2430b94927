#include "daemon/control.h"

#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "peers"
#include "base/address.h"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/gossip-send.h"
#include "daemon/messages.h"
#include "protocol/gossip-codec.h"

void
control_peers_send(void *ctx, uint32_t addr, uint16_t port,
                   const struct gossip_message *m)
{
    struct control_task *task = ctx;

    gossip_send_message(task->gossip, addr, port, m);
}

static void
on_message(void *ctx, const uint8_t *data, size_t size)
{
    struct control_task *task = ctx;
    uint64_t now = clock_monotonic_us();

    if (!gossip_decode(task->in, data, size)) {
        LOG_DBG(
            "ignoring a gossip message of %zu bytes that cannot be decoded",
            size);
        return;
    }
    membership_receive(task->members, task->in, now);
    config_sync_receive(task->config_sync, task->in, now);
    report_receive(task->report, task->in);
}

/* Kind of the event for a member that has entered a state. */
static const char *
state_kind(enum member_state state)
{
    static const char *const kinds[] = {
        [MEMBER_ALIVE] = "peer_alive",
        [MEMBER_SUSPECT] = "peer_suspect",
        [MEMBER_DEAD] = "peer_vanished",
        [MEMBER_LEFT] = "peer_left",
    };

    return kinds[state];
}

static void
on_member_changed(void *ctx, const struct member *m)
{
    struct control_task *task = ctx;

    control_event(task, state_kind(m->info.state), m->info.id,
                  "incarnation %llu in %s",
                  (unsigned long long)m->info.incarnation, m->info.domain);
}

static void
on_paused(void *ctx, uint64_t gap_us)
{
    struct control_task *task = ctx;

    control_event(task, "control_paused", task->settings->host.id,
                  "for %llu ms", (unsigned long long)(gap_us / USEC_PER_MSEC));
    config_sync_request_refresh(task->config_sync, clock_monotonic_us());
}

static void
on_reconnect(void *ctx, uint32_t addr, uint16_t port)
{
    struct control_task *task = ctx;

    gossip_endpoint_disconnect(task->gossip, addr, port);
}

static void
fill_summary(void *ctx, struct gossip_message *m)
{
    struct control_task *task = ctx;

    config_sync_fill_summary(task->config_sync, m);
}

static void
fill_self(const struct settings *settings, struct member_info *self)
{
    snprintf(self->id, sizeof(self->id), "%s", settings->host.id);
    snprintf(self->domain, sizeof(self->domain), "%s", settings->host.domain);
    address_parse(settings->host.address, &self->addr);
    self->port = settings->ports.gossip;
    /* The wall clock makes it higher than the incarnation of any earlier
     * process of this host. */
    self->incarnation = clock_wall_us();
}

static void
add_seeds(struct control_task *task)
{
    const struct settings *settings = task->settings;

    for (unsigned i = 0; i < settings->seeds_count; i++) {
        uint32_t addr;

        if (address_parse(settings->seeds[i].address, &addr)) {
            membership_add_seed(task->members, addr, settings->seeds[i].port);
        }
    }
}

static void
on_listed_host(void *ctx, uint32_t addr, uint16_t port)
{
    struct control_task *task = ctx;

    membership_add_seed(task->members, addr, port);
}

/* Opens the gossip endpoint and creates the list of members. */
bool
control_peers_open(struct control_task *task, struct status *st)
{
    const struct membership_callbacks cb = {
        .send = control_peers_send,
        .changed = on_member_changed,
        .paused = on_paused,
        .reconnect = on_reconnect,
        .summary = fill_summary,
        .ctx = task,
    };
    struct member_info self = {.state = MEMBER_ALIVE};

    fill_self(task->settings, &self);
    task->gossip = gossip_endpoint_new(task->zmq_ctx, task->base, self.addr,
                                       self.port, on_message, task, st);
    if (task->gossip == NULL) {
        return false;
    }
    task->in = calloc(1, sizeof(*task->in));
    task->members =
        membership_new(&self, &cb, &task->random, clock_monotonic_us());
    task->hosts = host_list_new(task->base, task->settings, &task->random,
                                on_listed_host, task);
    if (task->in == NULL || task->members == NULL || task->hosts == NULL) {
        status_set(st, ERR_NO_MEMORY, "control: out of memory");
        return false;
    }
    add_seeds(task);
    return true;
}

/* Sends the data task the number of live balancers of this failure domain,
 * itself included, when it has changed. */
static void
send_member_count(struct control_task *task)
{
    struct msg_members msg = {
        .live_balancers =
            1 + (uint32_t)member_table_count(membership_table(task->members),
                                             MEMBER_ALIVE, true),
    };

    if (msg.live_balancers != task->members_sent &&
        mailbox_send(task->data, MSG_MEMBERS, &msg, sizeof(msg))) {
        task->members_sent = msg.live_balancers;
    }
}

void
control_peers_tick(struct control_task *task, uint64_t now)
{
    membership_tick(task->members, now);
    send_member_count(task);
    gossip_endpoint_close_idle(task->gossip, now);
    host_list_tick(task->hosts, membership_needs_seeds(task->members, now),
                   config_sync_is_watcher(task->config_sync, now), now);
}

/* Adds random live peers whose hosts are not draining: peers of this failure
 * domain if "local", else peers of other domains. */
static void
select_peers(struct control_task *task, bool local, struct msg_peers *msg)
{
    const struct member *peers[MSG_PEERS_MAX];
    size_t count =
        membership_sample(task->members, local, peers, MSG_PEERS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (!config_store_host_is_draining(task->config, peers[i]->info.id)) {
            msg->addrs[msg->count] = peers[i]->info.addr;
            msg->count++;
        }
    }
}

void
control_peers_send_list(struct control_task *task)
{
    struct msg_peers msg = {0};

    select_peers(task, true, &msg);
    if (msg.count == 0) {
        /* A peer of another domain refuses requests for services that its
         * domain does not have. */
        select_peers(task, false, &msg);
    }
    mailbox_send(task->data, MSG_PEERS, &msg, sizeof(msg));
}

void
control_peers_close(struct control_task *task)
{
    host_list_destroy(task->hosts);
    membership_destroy(task->members);
    gossip_endpoint_destroy(task->gossip);
    free(task->in);
}
