#include "fake-server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/list.h"
#include "base/status.h"

#define FIRST_PORT 20000
#define PORTS 20000
#define BIND_TRIES 100
#define LOOPBACK 0x7f000001U

struct fake_server {
    struct event_base *base;
    struct random *random;
    struct udp_socket *sock;
    struct endpoint local;
    struct fake_faults faults;
    bool silent;
    struct list delayed;
    fake_server_cb cb;
    void *ctx;
};

/* A datagram that is held back, in either direction. */
struct delayed {
    struct list link;
    struct fake_server *server;
    struct event *timer;
    struct endpoint peer;
    bool outward;
    size_t size;
    uint8_t data[PACKET_SIZE_MAX];
};

static void
delayed_free(struct delayed *d)
{
    list_remove(&d->link);
    event_free(d->timer);
    free(d);
}

static void
pass(struct fake_server *server, const struct endpoint *peer, bool outward,
     const uint8_t *data, size_t size)
{
    struct packet p;

    if (server->silent) {
        return;
    }
    if (outward) {
        udp_socket_send(server->sock, peer, data, size);
        return;
    }
    if (packet_parse(&p, data, size) == ERR_NONE) {
        server->cb(server->ctx, server, peer, &p);
    }
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
    struct delayed *d = arg;

    pass(d->server, &d->peer, d->outward, d->data, d->size);
    delayed_free(d);
}

static void
hold_back(struct fake_server *server, const struct endpoint *peer,
          bool outward, const uint8_t *data, size_t size)
{
    struct delayed *d = calloc(1, sizeof(*d));
    uint32_t ms = random_below(server->random, server->faults.delay_ms + 1);
    struct timeval tv = {.tv_usec = (suseconds_t)ms * 1000};

    d->server = server;
    d->peer = *peer;
    d->outward = outward;
    d->size = size;
    memcpy(d->data, data, size);
    list_push_back(&server->delayed, &d->link);
    d->timer = evtimer_new(server->base, on_delay_over, d);
    evtimer_add(d->timer, &tv);
}

static bool
chance(struct fake_server *server, unsigned percent)
{
    return random_below(server->random, 100) < percent;
}

static void
pass_or_hold(struct fake_server *server, const struct endpoint *peer,
             bool outward, const uint8_t *data, size_t size)
{
    if (chance(server, server->faults.delay_percent)) {
        hold_back(server, peer, outward, data, size);
        return;
    }
    pass(server, peer, outward, data, size);
}

static void
handle(struct fake_server *server, const struct endpoint *peer, bool outward,
       const uint8_t *data, size_t size)
{
    if (chance(server, server->faults.drop_percent)) {
        return;
    }
    if (chance(server, server->faults.duplicate_percent)) {
        pass_or_hold(server, peer, outward, data, size);
    }
    pass_or_hold(server, peer, outward, data, size);
}

static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    handle(ctx, from, false, data, size);
}

struct fake_server *
fake_server_new(struct event_base *base, struct random *random,
                fake_server_cb cb, void *ctx)
{
    struct fake_server *server = calloc(1, sizeof(*server));
    struct status st;

    server->base = base;
    server->random = random;
    server->cb = cb;
    server->ctx = ctx;
    server->local.addr = LOOPBACK;
    list_init(&server->delayed);
    for (int i = 0; i < BIND_TRIES && server->sock == NULL; i++) {
        server->local.port =
            (uint16_t)(FIRST_PORT + (getpid() * 7 + i) % PORTS);
        server->sock = udp_socket_new(base, NULL, &server->local, on_datagram,
                                      server, &st);
    }
    if (server->sock == NULL) {
        abort();
    }
    return server;
}

void
fake_server_destroy(struct fake_server *server)
{
    list_for_each_safe (it, &server->delayed) {
        delayed_free(container_of(it, struct delayed, link));
    }
    udp_socket_destroy(server->sock);
    free(server);
}

struct endpoint
fake_server_endpoint(const struct fake_server *server)
{
    return server->local;
}

void
fake_server_set_faults(struct fake_server *server,
                       const struct fake_faults *faults)
{
    server->faults = *faults;
}

void
fake_server_set_silent(struct fake_server *server, bool silent)
{
    server->silent = silent;
}

void
fake_server_send(struct fake_server *server, const struct endpoint *to,
                 const struct packet *packet)
{
    uint8_t data[PACKET_SIZE_MAX];
    size_t size = packet_build(packet, data, sizeof(data));

    if (size == 0) {
        abort();
    }
    handle(server, to, true, data, size);
}

void
fake_server_ack(struct fake_server *server, const struct endpoint *to,
                const struct packet *request)
{
    const struct packet ack = {.type = PACKET_ACK,
                               .code = CODE_EMPTY,
                               .message_id = request->message_id};

    fake_server_send(server, to, &ack);
}
