#include "fake-server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/list.h"
#include "base/status.h"

/* Range of ports for servers. The first port that a server tries depends on
 * the process id. */
#define FIRST_PORT 20000
#define PORT_COUNT 20000
#define BIND_TRIES 100 /* ports that a server tries */
#define LOOPBACK 0x7f000001U

struct fake_server {
    struct event_base *base;
    struct random *random;
    struct udp_socket *sock;
    struct endpoint local;
    struct fake_faults faults;
    bool silent;
    struct list delayed; /* struct delayed_datagram, by link */
    fake_server_cb cb;
    void *ctx;
};

/* A datagram that is being delayed, in either direction. */
struct delayed_datagram {
    struct list link;
    struct fake_server *server;
    struct event *timer;
    struct endpoint peer; /* receiver or sender of the datagram */
    bool outgoing;        /* true: sent by the server, false: received */
    size_t size;
    uint8_t data[PACKET_SIZE_MAX];
};

static void
delayed_datagram_free(struct delayed_datagram *d)
{
    list_remove(&d->link);
    event_free(d->timer);
    free(d);
}

/* Sends the datagram, or passes it to the callback if it was received. */
static void
transfer(struct fake_server *server, const struct endpoint *peer,
         bool outgoing, const uint8_t *data, size_t size)
{
    struct packet p;

    if (server->silent) {
        return;
    }
    if (outgoing) {
        udp_socket_send(server->sock, peer, data, size);
        return;
    }
    if (packet_parse(&p, data, size) == ERR_NONE) {
        server->cb(server->ctx, server, peer, &p);
    }
}

static void
on_delay_end(evutil_socket_t fd, short what, void *arg)
{
    struct delayed_datagram *d = arg;

    transfer(d->server, &d->peer, d->outgoing, d->data, d->size);
    delayed_datagram_free(d);
}

static void
delay_datagram(struct fake_server *server, const struct endpoint *peer,
               bool outgoing, const uint8_t *data, size_t size)
{
    struct delayed_datagram *d = calloc(1, sizeof(*d));
    uint32_t ms = random_below(server->random, server->faults.delay_ms + 1);
    struct timeval tv = {.tv_usec = (suseconds_t)ms * 1000};

    d->server = server;
    d->peer = *peer;
    d->outgoing = outgoing;
    d->size = size;
    memcpy(d->data, data, size);
    list_push_back(&server->delayed, &d->link);
    d->timer = evtimer_new(server->base, on_delay_end, d);
    evtimer_add(d->timer, &tv);
}

/* Returns true with a probability of "percent" percent. */
static bool
random_chance(struct fake_server *server, unsigned percent)
{
    return random_below(server->random, 100) < percent;
}

static void
transfer_or_delay(struct fake_server *server, const struct endpoint *peer,
                  bool outgoing, const uint8_t *data, size_t size)
{
    if (random_chance(server, server->faults.delay_percent)) {
        delay_datagram(server, peer, outgoing, data, size);
        return;
    }
    transfer(server, peer, outgoing, data, size);
}

/* Applies the faults of the server to a datagram: drops, duplicates or delays
 * it with their probabilities. */
static void
apply_faults(struct fake_server *server, const struct endpoint *peer,
             bool outgoing, const uint8_t *data, size_t size)
{
    if (random_chance(server, server->faults.drop_percent)) {
        return;
    }
    if (random_chance(server, server->faults.duplicate_percent)) {
        transfer_or_delay(server, peer, outgoing, data, size);
    }
    transfer_or_delay(server, peer, outgoing, data, size);
}

static void
on_datagram(void *ctx, const struct endpoint *from, uint8_t *data, size_t size,
            uint64_t queued_us)
{
    apply_faults(ctx, from, false, data, size);
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
            (uint16_t)(FIRST_PORT + (getpid() * 7 + i) % PORT_COUNT);
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
        delayed_datagram_free(container_of(it, struct delayed_datagram, link));
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
    apply_faults(server, to, true, data, size);
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
