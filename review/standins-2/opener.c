/* Clients that do not wait for one another: opens a flow for each request, at
 * random times of a fixed mean rate, and notes when each was sent and what
 * became of it. A flow keeps to one balancer, which its port draws. Prints
 * lines "MONOTONIC-MS EVENT PORT": sent (the first opening packet), answered,
 * refused (reset before it was open), reset, unanswered. */

#include <arpa/inet.h>
#include <math.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "../../tests/standins/flow-wire.h"

#define FLOWS_MAX 65536
#define VIA_MAX 8
#define FIRST_PORT 10000
#define ATTEMPT_MS 1400
#define DEADLINE_MS 3000
#define RESEND_MS 200
#define COPIES 3

enum state { UNUSED, OPENING, WAITING, ENDED };

struct flow {
    enum state state;
    int copies; /* opening packets sent */
    uint32_t first_seq;
    uint32_t ack;
    uint32_t echo;
    uint64_t began;  /* ms */
    uint64_t resent; /* when the request was last sent, ms */
};

static const uint64_t copy_at[COPIES] = {0, 200, 600};
static struct flow flows[FLOWS_MAX]; /* by port */
static int sock;
static uint32_t own_addr;
static uint32_t route_addr;
static uint16_t route_port;
static uint32_t via[VIA_MAX];
static int via_count;
static uint16_t via_port;

static uint64_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void
note(const char *event, unsigned port)
{
    printf("%llu %s %u\n", (unsigned long long)now_ms(), event, port);
    fflush(stdout);
}

static void
send_packet(unsigned port, struct wire_packet *p)
{
    uint8_t out[WIRE_PACKET_MAX];

    p->src = own_addr;
    p->sport = (uint16_t)port;
    p->dst = route_addr;
    p->dport = route_port;
    wire_send(sock, via[port * 2654435761U / 65536 % (unsigned)via_count],
              via_port, out, wire_packet_encode(p, out));
}

static void
send_request(unsigned port, struct flow *f)
{
    struct wire_packet p = {.flags = WIRE_ACK,
                            .seq = f->first_seq + 1,
                            .ack = f->ack,
                            .echo = f->echo};

    p.len =
        (uint16_t)snprintf((char *)p.data, sizeof(p.data), "q-%u \n", port);
    f->resent = now_ms();
    send_packet(port, &p);
}

static void
end_flow(unsigned port, struct flow *f, const char *event)
{
    f->state = ENDED;
    note(event, port);
}

static void
on_packet(const struct wire_packet *p)
{
    struct flow *f = &flows[p->dport];
    bool syn = (p->flags & WIRE_SYN) != 0;

    if (f->state != OPENING && f->state != WAITING) {
        return;
    }
    if ((p->flags & WIRE_RST) != 0) {
        end_flow(p->dport, f, f->state == OPENING ? "refused" : "reset");
        return;
    }
    f->echo = p->echo;
    if (f->state == OPENING && syn && p->ack == f->first_seq + 1) {
        f->state = WAITING;
        f->ack = p->seq + 1;
        send_request(p->dport, f);
    }
    else if (f->state == WAITING && !syn && p->len > 0) {
        char text[16];
        struct wire_packet out = {.flags = WIRE_ACK | WIRE_FIN,
                                  .ack = p->seq + p->len,
                                  .echo = f->echo};

        out.seq = f->first_seq + 1 +
                  (uint32_t)snprintf(text, sizeof(text), "q-%u \n", p->dport);
        send_packet(p->dport, &out);
        end_flow(p->dport, f, "answered");
    }
}

static void
tick_flow(unsigned port, struct flow *f, uint64_t now)
{
    uint64_t age = now - f->began;

    if (f->state == OPENING && f->copies < COPIES &&
        age >= copy_at[f->copies]) {
        struct wire_packet p = {.flags = WIRE_SYN,
                                .seq = f->first_seq,
                                .ack = (uint32_t)f->copies};

        if (f->copies == 0) {
            note("sent", port);
        }
        f->copies++;
        send_packet(port, &p);
    }
    else if ((f->state == OPENING && age > ATTEMPT_MS) ||
             (f->state == WAITING && age > DEADLINE_MS)) {
        end_flow(port, f, "unanswered");
    }
    else if (f->state == WAITING && now >= f->resent + RESEND_MS) {
        send_request(port, f);
    }
}

static uint32_t
address(const char *text)
{
    struct in_addr in;

    if (inet_pton(AF_INET, text, &in) != 1) {
        fprintf(stderr, "not an address: %s\n", text);
        exit(2);
    }
    return ntohl(in.s_addr);
}

/* Usage: opener OWN-ADDR CLIENT-PORT ROUTE-ADDR ROUTE-PORT PER-S SECONDS SEED
 * BALANCER-ADDR..., or: opener clock, which prints the time */
int
main(int argc, char **argv)
{
    unsigned next = FIRST_PORT;
    double due;
    double per_ms;
    uint64_t started = now_ms();
    uint64_t length;

    if (argc == 2 && strcmp(argv[1], "clock") == 0) {
        printf("%llu\n", (unsigned long long)started);
        return 0;
    }
    if (argc < 9 || argc - 8 > VIA_MAX) {
        fprintf(stderr, "usage: opener OWN-ADDR CLIENT-PORT ROUTE-ADDR "
                        "ROUTE-PORT PER-S SECONDS SEED BALANCER-ADDR...\n");
        return 2;
    }
    own_addr = address(argv[1]);
    via_port = (uint16_t)atoi(argv[2]);
    route_addr = address(argv[3]);
    route_port = (uint16_t)atoi(argv[4]);
    per_ms = atof(argv[5]) / 1000.0;
    length = (uint64_t)atoi(argv[6]) * 1000;
    srandom((unsigned)atoi(argv[7]));
    for (int i = 8; i < argc; i++) {
        via[via_count] = address(argv[i]);
        via_count++;
    }
    sock = wire_socket_open(argv[1], via_port);
    due = (double)started;
    for (;;) {
        uint64_t now = now_ms();
        struct pollfd fd = {.fd = sock, .events = POLLIN};
        uint8_t data[WIRE_PACKET_MAX];
        struct wire_packet p;
        ssize_t size;

        if (now > started + length + DEADLINE_MS) {
            return 0;
        }
        while (due <= (double)now && now < started + length &&
               next < FLOWS_MAX) {
            double u = ((double)random() + 1.0) / ((double)RAND_MAX + 2.0);

            flows[next] = (struct flow){.state = OPENING,
                                        .first_seq = (uint32_t)random(),
                                        .began = now};
            next++;
            due -= log(u) / per_ms;
        }
        for (unsigned i = FIRST_PORT; i < next; i++) {
            if (flows[i].state == OPENING || flows[i].state == WAITING) {
                tick_flow(i, &flows[i], now);
            }
        }
        (void)poll(&fd, 1, 2);
        while ((size = recv(sock, data, sizeof(data), MSG_DONTWAIT)) > 0) {
            if (wire_packet_decode(data, (size_t)size, &p)) {
                on_packet(&p);
            }
        }
    }
}
