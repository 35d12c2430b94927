#include "router.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow-wire.h"
#include "platform-text.h"
#include "transport/http-call.h"

/* Below the half second between two questions. */
#define READY_TIMEOUT_US 400000
#define READY_ANSWER_MAX 4096 /* bytes; nothing is read of it */
/* Misses in a row that take a balancer out of the routers' choice, as on the
 * users' platform. */
#define MISSES_MAX 2
/* An overtaken datagram is this late at most: less than a caller's first
 * repeat, 200 ms. */
#define LATE_MS 60.0
/* Datagrams taken at a time, so that nothing else has to wait long. */
#define DATAGRAMS_MAX 64

static int
open_socket(const struct soak *soak, enum soak_net net, unsigned index,
            uint16_t port)
{
    char address[INET_ADDRSTRLEN];

    soak_address(soak, net, index, address);
    return wire_socket(address, port);
}

static struct event *
open_event(struct soak *soak, int fd, event_callback_fn cb, void *ctx)
{
    struct event *event =
        event_new(soak->base, fd, EV_READ | EV_PERSIST, cb, ctx);

    event_add(event, NULL);
    return event;
}

static void
pass(struct soak *soak, const struct harm *harm, int fd,
     const struct sockaddr_in *to, const uint8_t *data, size_t size)
{
    double delay = 0;
    int copies = random_unit(&soak->harm) < harm->twice ? 2 : 1;

    if (harm->cut || random_unit(&soak->harm) < harm->lost) {
        return;
    }
    if (random_unit(&soak->harm) < harm->late) {
        delay = random_unit(&soak->harm) * LATE_MS;
    }
    for (int i = 0; i < copies; i++) {
        delay_line_send(soak->delays, fd, to, data, size, delay);
    }
}

/* Of each flow the balancer with the highest score: one that leaves the
 * rotation moves only its own flows. */
static struct balancer *
choose(struct soak *soak, const struct wire_packet *p)
{
    uint64_t flow =
        (uint64_t)p->src << 32 | (uint64_t)p->sport << 16 | p->dport;
    struct balancer *best = NULL;
    uint64_t best_score = 0;
    size_t ready = 0;

    for (size_t i = 0; i < soak->balancer_count; i++) {
        ready += soak->balancers[i].rotation;
    }
    for (size_t i = 0; i < soak->balancer_count; i++) {
        struct balancer *b = &soak->balancers[i];
        uint64_t score = random_mix(flow, i);

        if ((b->rotation || ready * 2 < soak->balancer_count) &&
            (best == NULL || score > best_score)) {
            best = b;
            best_score = score;
        }
    }
    return best;
}

static void
on_caller_packet(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;
    uint8_t data[WIRE_PACKET_MAX];
    ssize_t size;

    for (int i = 0; i < DATAGRAMS_MAX; i++) {
        struct wire_packet p;
        struct balancer *b;

        size = recv(fd, data, sizeof(data), 0);
        if (size < 0) {
            return;
        }
        if (!wire_read(data, (size_t)size, &p)) {
            continue;
        }
        b = choose(soak, &p);
        if ((p.flags & WIRE_SYN) != 0) {
            const struct checker_flow_key key = {
                p.src, p.sport, (uint16_t)(p.dport - ROUTE_FIRST_PORT)};

            soak_note(soak, "flow=%08x:%u:%u opening %u to balancer=%u ",
                      key.caller, key.port, key.route, p.ack, b->index);
            checker_opening(soak->checker, &key, b->index, soak_now_ms());
        }
        pass(soak, &b->harm, fd, &b->packets, data, (size_t)size);
    }
}

static void
on_target_packet(evutil_socket_t fd, short what, void *ctx)
{
    struct place *place = ctx;
    uint8_t data[WIRE_TAG + WIRE_PACKET_MAX];

    for (int i = 0; i < DATAGRAMS_MAX; i++) {
        ssize_t size = recv(fd, data, sizeof(data), 0);

        if (size < 0) {
            return;
        }
        pass(place->soak, &place->harm, fd, &place->real, data, (size_t)size);
    }
}

static void
on_answer(evutil_socket_t fd, short what, void *ctx)
{
    static const struct harm unharmed;
    struct caller *caller = ctx;
    uint8_t data[WIRE_PACKET_MAX];

    for (int i = 0; i < DATAGRAMS_MAX; i++) {
        ssize_t size = recv(fd, data, sizeof(data), 0);

        if (size < 0) {
            return;
        }
        pass(caller->child.soak, &unharmed, fd, &caller->real, data,
             (size_t)size);
    }
}

void
router_open(struct soak *soak)
{
    soak->router = open_socket(soak, NET_ROUTER, 0, PORT_PACKETS);
    soak->router_readable =
        open_event(soak, soak->router, on_caller_packet, soak);
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        soak_sockaddr(soak, NET_BALANCER, i, PORT_PACKETS,
                      &soak->balancers[i].packets);
    }
    for (unsigned i = 0; i < soak->place_count; i++) {
        struct place *place = &soak->places[i];

        place->soak = soak;
        place->index = i;
        place->fd = open_socket(soak, NET_TARGET_LINK, i, PORT_TARGET);
        place->readable = open_event(soak, place->fd, on_target_packet, place);
        soak_sockaddr(soak, NET_TARGET, i, PORT_TARGET, &place->real);
    }
    for (unsigned i = 0; i < soak->caller_count; i++) {
        struct caller *caller = &soak->callers[i];

        caller->index = i;
        caller->child.soak = soak;
        caller->answers = open_socket(soak, NET_CALLER, i, PORT_ANSWERS);
        caller->readable =
            open_event(soak, caller->answers, on_answer, caller);
        soak_sockaddr(soak, NET_CALLER, i, PORT_PACKETS, &caller->real);
        caller->addr = ntohl(caller->real.sin_addr.s_addr);
    }
}

static void
close_socket(struct soak *soak, struct event *event, int fd)
{
    event_free(event);
    delay_line_forget(soak->delays, fd);
    close(fd);
}

void
router_close(struct soak *soak)
{
    close_socket(soak, soak->router_readable, soak->router);
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        if (soak->balancers[i].asking != NULL) {
            http_call_cancel(soak->balancers[i].asking);
        }
    }
    for (unsigned i = 0; i < soak->place_count; i++) {
        close_socket(soak, soak->places[i].readable, soak->places[i].fd);
    }
    for (unsigned i = 0; i < soak->caller_count; i++) {
        close_socket(soak, soak->callers[i].readable,
                     soak->callers[i].answers);
    }
}

int
router_balancer_of(const struct soak *soak, uint32_t addr)
{
    for (size_t i = 0; i < soak->balancer_count; i++) {
        if (ntohl(soak->balancers[i].packets.sin_addr.s_addr) == addr) {
            return (int)i;
        }
    }
    return CHECKER_NO_BALANCER;
}

static void
on_ready(void *ctx, const struct http_call_answer *answer)
{
    struct balancer *b = ctx;
    bool was = b->rotation;

    b->asking = NULL;
    if (answer->outcome == HTTP_CALL_ANSWERED && answer->status == 200) {
        b->misses = 0;
        b->rotation = true;
    }
    else {
        b->misses++;
        b->rotation = b->rotation && b->misses < MISSES_MAX;
    }
    if (was != b->rotation) {
        soak_note(b->child.soak, "balancer=%u is %s rotation", b->index,
                  b->rotation ? "in" : "out of");
    }
}

void
router_poll(struct soak *soak)
{
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        char address[INET_ADDRSTRLEN];
        const struct http_call_request request = {
            .address = address,
            .port = PORT_READY,
            .method = EVHTTP_REQ_GET,
            .path = PLATFORM_TEXT_READY_PATH,
            .timeout_us = READY_TIMEOUT_US,
            .answer_max = READY_ANSWER_MAX,
        };

        if (soak->balancers[i].asking != NULL) {
            continue;
        }
        soak_address(soak, NET_BALANCER, i, address);
        soak->balancers[i].asking = http_call_start(
            soak->base, &request, NULL, on_ready, &soak->balancers[i]);
    }
}
