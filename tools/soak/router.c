#include "router.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flow-wire.h"
#include "platform-text.h"
#include "transport/http-call.h"

/* Timeout of a readiness check: less than the half second between two checks.
 */
#define READY_TIMEOUT_US 400000
#define READY_ANSWER_MAX_SIZE 4096 /* bytes; the body is ignored */
/* Number of consecutive failed readiness checks after which the router removes
 * a balancer from the rotation, as on the users' platform. */
#define READY_FAILURES_MAX 2
/* Maximum delay of a reordered datagram: less than the 200 ms after which a
 * caller first repeats a request. */
#define REORDER_DELAY_MAX_MS 60.0
/* Maximum number of datagrams that are read per event, so that other events
 * are not delayed for long. */
#define DATAGRAMS_PER_EVENT_MAX 64

static int
open_socket(const struct soak *soak, enum soak_net net, unsigned index,
            uint16_t port)
{
    char address[INET_ADDRSTRLEN];

    soak_address(soak, net, index, address);
    return wire_socket_open(address, port);
}

static struct event *
open_event(struct soak *soak, int fd, event_callback_fn cb, void *ctx)
{
    struct event *event =
        event_new(soak->base, fd, EV_READ | EV_PERSIST, cb, ctx);

    event_add(event, NULL);
    return event;
}

/* Sends a datagram; an impairment may drop, duplicate or delay it. */
static void
send_impaired(struct soak *soak, const struct impairment *impairment, int fd,
              const struct sockaddr_in *to, const uint8_t *data, size_t size)
{
    double delay = 0;
    int copies =
        random_unit(&soak->impairment_random) < impairment->duplicate_share
            ? 2
            : 1;

    if (impairment->cut ||
        random_unit(&soak->impairment_random) < impairment->loss_share) {
        return;
    }
    if (random_unit(&soak->impairment_random) < impairment->delay_share) {
        delay = random_unit(&soak->impairment_random) * REORDER_DELAY_MAX_MS;
    }
    for (int i = 0; i < copies; i++) {
        delay_line_send(soak->delays, fd, to, data, size, delay);
    }
}

/* Chooses the balancer with the highest score for a flow (rendezvous hashing):
 * when a balancer leaves the rotation, only its own flows move. If fewer than
 * half of the balancers are in rotation, all are used. */
static struct balancer *
choose_balancer(struct soak *soak, const struct wire_packet *p)
{
    uint64_t flow =
        (uint64_t)p->src << 32 | (uint64_t)p->sport << 16 | p->dport;
    struct balancer *best = NULL;
    uint64_t best_score = 0;
    size_t ready = 0;

    for (size_t i = 0; i < soak->balancer_count; i++) {
        ready += soak->balancers[i].in_rotation;
    }
    for (size_t i = 0; i < soak->balancer_count; i++) {
        struct balancer *b = &soak->balancers[i];
        uint64_t score = random_mix(flow, i);

        if ((b->in_rotation || ready * 2 < soak->balancer_count) &&
            (best == NULL || score > best_score)) {
            best = b;
            best_score = score;
        }
    }
    return best;
}

/* Relays packets of callers to balancers. */
static void
on_caller_packet(evutil_socket_t fd, short what, void *ctx)
{
    struct soak *soak = ctx;
    uint8_t data[WIRE_PACKET_MAX];
    ssize_t size;

    for (int i = 0; i < DATAGRAMS_PER_EVENT_MAX; i++) {
        struct wire_packet p;
        struct balancer *b;

        size = recv(fd, data, sizeof(data), 0);
        if (size < 0) {
            return;
        }
        if (!wire_packet_decode(data, (size_t)size, &p)) {
            continue;
        }
        b = choose_balancer(soak, &p);
        if ((p.flags & WIRE_SYN) != 0) {
            const struct checker_flow_key key = {
                p.src, p.sport, (uint16_t)(p.dport - ROUTE_FIRST_PORT)};

            soak_log(soak, "flow=%08x:%u:%u opening packet %u to balancer=%u ",
                     key.caller, key.port, key.route, p.ack, b->index);
            checker_opening_forwarded(soak->checker, &key, b->index,
                                      soak_now_ms());
        }
        send_impaired(soak, &b->impairment, fd, &b->packet_addr, data,
                      (size_t)size);
    }
}

/* Relays packets of balancers to a target. */
static void
on_target_packet(evutil_socket_t fd, short what, void *ctx)
{
    struct target_addr *target_addr = ctx;
    uint8_t data[WIRE_TAG_SIZE + WIRE_PACKET_MAX];

    for (int i = 0; i < DATAGRAMS_PER_EVENT_MAX; i++) {
        ssize_t size = recv(fd, data, sizeof(data), 0);

        if (size < 0) {
            return;
        }
        send_impaired(target_addr->soak, &target_addr->impairment, fd,
                      &target_addr->bound_addr, data, (size_t)size);
    }
}

/* Relays packets of targets to a caller. */
static void
on_answer_packet(evutil_socket_t fd, short what, void *ctx)
{
    static const struct impairment unimpaired;
    struct caller *caller = ctx;
    uint8_t data[WIRE_PACKET_MAX];

    for (int i = 0; i < DATAGRAMS_PER_EVENT_MAX; i++) {
        ssize_t size = recv(fd, data, sizeof(data), 0);

        if (size < 0) {
            return;
        }
        send_impaired(caller->child.soak, &unimpaired, fd, &caller->bound_addr,
                      data, (size_t)size);
    }
}

void
router_open(struct soak *soak)
{
    soak->router_fd = open_socket(soak, NET_ROUTER, 0, PORT_PACKETS);
    soak->router_readable =
        open_event(soak, soak->router_fd, on_caller_packet, soak);
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        soak_sockaddr(soak, NET_BALANCER, i, PORT_PACKETS,
                      &soak->balancers[i].packet_addr);
    }
    for (unsigned i = 0; i < soak->target_addr_count; i++) {
        struct target_addr *target_addr = &soak->target_addrs[i];

        target_addr->soak = soak;
        target_addr->index = i;
        target_addr->fd = open_socket(soak, NET_TARGET_LINK, i, PORT_TARGET);
        target_addr->readable =
            open_event(soak, target_addr->fd, on_target_packet, target_addr);
        soak_sockaddr(soak, NET_TARGET, i, PORT_TARGET,
                      &target_addr->bound_addr);
    }
    for (unsigned i = 0; i < soak->caller_count; i++) {
        struct caller *caller = &soak->callers[i];

        caller->index = i;
        caller->child.soak = soak;
        caller->answer_fd = open_socket(soak, NET_CALLER, i, PORT_ANSWERS);
        caller->readable =
            open_event(soak, caller->answer_fd, on_answer_packet, caller);
        soak_sockaddr(soak, NET_CALLER, i, PORT_PACKETS, &caller->bound_addr);
        caller->addr = ntohl(caller->bound_addr.sin_addr.s_addr);
    }
}

static void
close_socket(struct soak *soak, struct event *event, int fd)
{
    event_free(event);
    delay_line_cancel_fd(soak->delays, fd);
    close(fd);
}

void
router_close(struct soak *soak)
{
    close_socket(soak, soak->router_readable, soak->router_fd);
    for (unsigned i = 0; i < soak->balancer_count; i++) {
        if (soak->balancers[i].ready_call != NULL) {
            http_call_cancel(soak->balancers[i].ready_call);
        }
    }
    for (unsigned i = 0; i < soak->target_addr_count; i++) {
        close_socket(soak, soak->target_addrs[i].readable,
                     soak->target_addrs[i].fd);
    }
    for (unsigned i = 0; i < soak->caller_count; i++) {
        close_socket(soak, soak->callers[i].readable,
                     soak->callers[i].answer_fd);
    }
}

int
router_balancer_of(const struct soak *soak, uint32_t addr)
{
    for (size_t i = 0; i < soak->balancer_count; i++) {
        if (ntohl(soak->balancers[i].packet_addr.sin_addr.s_addr) == addr) {
            return (int)i;
        }
    }
    return CHECKER_NO_BALANCER;
}

static void
on_readiness(void *ctx, const struct http_call_answer *answer)
{
    struct balancer *b = ctx;
    bool was_in_rotation = b->in_rotation;

    b->ready_call = NULL;
    if (answer->outcome == HTTP_CALL_ANSWERED && answer->status == 200 &&
        b->unrouted == 0) {
        b->ready_failures = 0;
        b->in_rotation = true;
    }
    else {
        b->ready_failures++;
        b->in_rotation =
            b->in_rotation && b->ready_failures < READY_FAILURES_MAX;
    }
    if (was_in_rotation != b->in_rotation) {
        soak_log(b->child.soak, "balancer=%u is %s rotation", b->index,
                 b->in_rotation ? "in" : "out of");
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
            .answer_max = READY_ANSWER_MAX_SIZE,
        };

        if (soak->balancers[i].ready_call != NULL) {
            continue;
        }
        soak_address(soak, NET_BALANCER, i, address);
        soak->balancers[i].ready_call = http_call_start(
            soak->base, &request, NULL, on_readiness, &soak->balancers[i]);
    }
}
