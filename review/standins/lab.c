#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define PACKET_PORT 8172
#define READY_PORT 8167
#define CONTROL_PORT 8166
#define STORE_PORT 8169
#define BACKEND_PORT 8080
#define GOSSIP_PORT 7720
#define ROUTE_MARK "@ROUTE@" /* stands for the address of the routes */

#define HEAD_SIZE 31
#define DATA_MAX 1200
#define TAG_SIZE 8
#define FLAG_SYN 2
#define FLAG_FIN 4
#define FLAG_RST 16
#define FLAG_ACK 32
#define SUM 0x5eed5eedU /* the key of the sum is not disclosed */

#define IN_FLIGHT_MAX 16   /* packets */
#define RESEND_MIN_MS 200  /* doubles */
#define RESEND_MAX_MS 1600 /* with each resend */
#define RESENDS_MAX 8
#define RESET_WINDOW 76800
#define OPEN_TIMEOUT_MS 1400
#define CALLS_MAX 128
#define CALL_SIZE_MAX 65536
#define CHANGES_MAX 20000

struct packet {
    uint32_t src;
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint32_t echo;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint16_t len;
    uint8_t data[DATA_MAX];
};

/* A change of the store; its revision is its index + 1. */
struct change {
    char *key;
    char *value; /* base64 text, NULL: removed */
    uint64_t created;
    uint64_t at; /* ms */
};

/* A call to the store. */
struct call {
    int fd;
    char buf[CALL_SIZE_MAX];
    size_t len;
    bool waits; /* a watch */
    uint64_t after;
    uint64_t until; /* ms */
};

struct lab_backend lab_backends[LAB_BACKENDS_MAX];
struct lab_daemon lab_daemons[LAB_DAEMONS_MAX];
uint64_t lab_stale_ms;
const char *lab_extra_bounds = "";
const char *lab_extra_contracts = "";
unsigned lab_change_ms = 3000;
unsigned lab_stable_ms = 4000;
uint64_t lab_watch_answered_at;

static FILE *record;
static char folder[64];
static uint32_t net; /* 127.x.y.0 */
static uint64_t started;
static int store_fds[2] = {-1, -1};
static unsigned store_index; /* of the address in the settings files */
static int client_fds[LAB_CLIENTS_MAX];
static struct change changes[CHANGES_MAX];
static size_t change_count;
static struct call *calls[CALLS_MAX];
static struct lab_flow *flows;
static unsigned next_attempt = 1;
static unsigned config_version;

uint64_t
lab_now(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

bool
lab_trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

void
lab_record(const char *fmt, ...)
{
    va_list args;

    fprintf(record, "%7.3f ", (double)(lab_now() - started) / 1000.0);
    va_start(args, fmt);
    vfprintf(record, fmt, args);
    va_end(args);
    fprintf(record, "\n");
    fflush(record);
}

static const char *
addr_text(uint32_t addr)
{
    static char texts[4][INET_ADDRSTRLEN];
    static unsigned next;
    struct in_addr in = {.s_addr = htonl(addr)};

    next = (next + 1) % 4;
    inet_ntop(AF_INET, &in, texts[next], sizeof(texts[next]));
    return texts[next];
}

static uint32_t
daemon_addr(int index)
{
    return net + 10 + (uint32_t)index;
}

static uint32_t
client_addr(unsigned index)
{
    return net + 100 + index;
}

static uint32_t
backend_addr(int address)
{
    return net + 150 + (uint32_t)address;
}

/* The address of all routes. Nothing listens there; it is only named in
 * configurations and packets. */
static uint32_t
route_addr(void)
{
    return net + 240;
}

static uint32_t
store_addr(void)
{
    return net + 200 + store_index;
}

const char *
lab_backend_address(int address)
{
    static char texts[4][32];
    static unsigned next;

    next = (next + 1) % 4;
    snprintf(texts[next], sizeof(texts[next]), "%s:%d",
             addr_text(backend_addr(address)), BACKEND_PORT);
    return texts[next];
}

static int
open_socket(int type, uint32_t addr, uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_port = htons(port),
                              .sin_addr.s_addr = htonl(addr)};
    int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    if (type == SOCK_STREAM) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
        (type == SOCK_STREAM && listen(fd, 64) < 0)) {
        close(fd);
        return -1;
    }
    return fd;
}

void
lab_cannot_run(const char *why)
{
    if (record != NULL) {
        lab_record("cannot run: %s", why);
    }
    fprintf(stderr, "cannot run: %s\n", why);
    lab_close();
    exit(2);
}

void
lab_init(const char *record_path)
{
    unsigned seed = (unsigned)getpid() * 7919U + (unsigned)time(NULL);

    started = lab_now();
    signal(SIGPIPE, SIG_IGN);
    record = fopen(record_path, "w");
    if (record == NULL) {
        lab_cannot_run("the record cannot be written");
    }
    snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
    if (mkdtemp(folder) == NULL) {
        lab_cannot_run("no temporary folder");
    }
    for (int i = 0; i < 50 && store_fds[0] < 0; i++) {
        seed = seed * 1103515245U + 12345U;
        net = 0x7F000000U | (16U + (seed >> 8) % 200U) << 16 |
              ((seed >> 16) % 250U) << 8;
        store_fds[0] = open_socket(SOCK_STREAM, store_addr(), STORE_PORT);
    }
    if (store_fds[0] < 0) {
        lab_cannot_run("no free loopback address");
    }
    for (int i = 0; i < LAB_BACKENDS_MAX; i++) {
        lab_backends[i].fd = -1;
    }
    for (unsigned i = 0; i < LAB_CLIENTS_MAX; i++) {
        client_fds[i] = open_socket(SOCK_DGRAM, client_addr(i), PACKET_PORT);
        if (client_fds[i] < 0) {
            lab_cannot_run("an address of a client is in use");
        }
    }
    lab_record("trouble %s; store %s:%d", lab_trouble() ? "yes" : "no",
               addr_text(store_addr()), STORE_PORT);
}

void
lab_close(void)
{
    for (int i = 0; i < LAB_DAEMONS_MAX; i++) {
        if (lab_daemons[i].pid > 0) {
            kill(lab_daemons[i].pid, SIGKILL);
            waitpid(lab_daemons[i].pid, NULL, 0);
            lab_daemons[i].pid = 0;
        }
        if (lab_daemons[i].boot[0] != '\0') {
            unlink(lab_daemons[i].boot);
            unlink(lab_daemons[i].log);
        }
    }
    if (folder[0] != '\0') {
        rmdir(folder);
    }
}

/* ---- packets ---- */

static uint8_t *
put_be(uint8_t *at, uint32_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        *at++ = (uint8_t)(value >> (8 * i));
    }
    return at;
}

static uint32_t
get_be(const uint8_t *at, int bytes)
{
    uint32_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value = value << 8 | at[i];
    }
    return value;
}

static size_t
encode(const struct packet *p, uint8_t *out)
{
    uint8_t *at = out;

    at = put_be(at, p->dport, 2);
    at = put_be(at, p->dst, 4);
    at = put_be(at, p->sport, 2);
    at = put_be(at, p->src, 4);
    at = put_be(at, p->echo, 4);
    at = put_be(at, p->len, 2);
    at = put_be(at, p->flags, 1);
    at = put_be(at, p->seq, 4);
    at = put_be(at, p->ack, 4);
    at = put_be(at, SUM, 4);
    memcpy(at, p->data, p->len);
    return HEAD_SIZE + (size_t)p->len;
}

static bool
decode(const uint8_t *in, size_t size, struct packet *p)
{
    if (size < HEAD_SIZE || size > HEAD_SIZE + DATA_MAX) {
        return false;
    }
    p->dport = (uint16_t)get_be(in, 2);
    p->dst = get_be(in + 2, 4);
    p->sport = (uint16_t)get_be(in + 6, 2);
    p->src = get_be(in + 8, 4);
    p->echo = get_be(in + 12, 4);
    p->len = (uint16_t)get_be(in + 16, 2);
    p->flags = in[18];
    p->seq = get_be(in + 19, 4);
    p->ack = get_be(in + 23, 4);
    if (p->len != size - HEAD_SIZE) {
        return false;
    }
    memcpy(p->data, in + HEAD_SIZE, p->len);
    return true;
}

static void
send_to(int fd, uint32_t addr, uint16_t port, const struct packet *p)
{
    uint8_t out[HEAD_SIZE + DATA_MAX];
    size_t size = encode(p, out);
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_port = htons(port),
                              .sin_addr.s_addr = htonl(addr)};

    (void)sendto(fd, out, size, MSG_DONTWAIT, (struct sockaddr *)&sin,
                 sizeof(sin));
}

/* ---- the part that both ends of a flow have in common ---- */

static void
end_queue(struct lab_end *e, const void *data, size_t len)
{
    e->out = realloc(e->out, e->out_len + len);
    memcpy(e->out + e->out_len, data, len);
    e->out_len += len;
}

static void
end_clear(struct lab_end *e)
{
    free(e->out);
    free(e->in);
    memset(e, 0, sizeof(*e));
}

static void
fill(const struct lab_end *e, struct packet *p, size_t offset)
{
    p->seq = e->iss + 1 + (uint32_t)offset;
    p->ack = e->irs + 1 + (uint32_t)e->in_len;
    p->echo = e->echo;
    p->flags = FLAG_ACK;
    p->len = 0;
    if (offset < e->out_len) {
        size_t left = e->out_len - offset;

        p->len = (uint16_t)(left < DATA_MAX ? left : DATA_MAX);
        memcpy(p->data, e->out + offset, p->len);
    }
}

/* Takes what a packet brings. Returns whether it brought new data. */
static bool
end_take(struct lab_end *e, const struct packet *p, uint64_t now)
{
    size_t acked = (uint32_t)(p->ack - e->iss - 1);
    size_t offset = (uint32_t)(p->seq - e->irs - 1);

    e->echo = p->echo;
    if (acked <= e->sent && acked > e->acked) {
        e->acked = acked;
        e->resends = 0;
        e->resend_at = e->acked < e->sent ? now + RESEND_MIN_MS : 0;
    }
    if (p->len == 0) {
        return false;
    }
    e->to_ack++;
    if (offset != e->in_len) {
        e->to_ack = 2; /* a repeat or a gap: acknowledge at once */
        return false;
    }
    e->in = realloc(e->in, e->in_len + p->len + 1);
    memcpy(e->in + e->in_len, p->data, p->len);
    e->in_len += p->len;
    e->in[e->in_len] = '\0';
    return true;
}

/* Handles the end's resends. Returns false when it gives up. */
static bool
end_resend(struct lab_end *e, uint64_t now)
{
    uint64_t wait = RESEND_MIN_MS;

    if (e->resend_at == 0 || now < e->resend_at) {
        return true;
    }
    e->resends++;
    for (unsigned i = 0; i < e->resends; i++) {
        wait = wait * 2 > RESEND_MAX_MS ? RESEND_MAX_MS : wait * 2;
    }
    e->sent = e->acked;
    e->resend_at = now + wait;
    return e->resends <= RESENDS_MAX;
}

/* Finds a whole HTTP message at the end's input. Returns its size, 0 when it
 * is not complete. */
static size_t
end_message(const struct lab_end *e)
{
    const char *text;
    const char *head_end;
    const char *length;
    size_t size;

    if (e->in_len <= e->parsed) {
        return 0;
    }
    text = (const char *)e->in + e->parsed;
    head_end = strstr(text, "\r\n\r\n");
    if (head_end == NULL) {
        return 0;
    }
    length = strstr(text, "Content-Length: ");
    size = (size_t)(head_end - text) + 4;
    if (length != NULL && length < head_end) {
        size += strtoul(length + strlen("Content-Length: "), NULL, 10);
    }
    return e->in_len - e->parsed >= size ? size : 0;
}

/* ---- backends ---- */

struct lab_backend *
lab_backend_start(int index, int address, const char *id, const char *service,
                  const char *zone)
{
    struct lab_backend *b = &lab_backends[index];
    const char *digits = strrchr(id, '-');

    if (b->fd >= 0) {
        lab_cannot_run("a backend with this index runs");
    }
    free(b->opened_at);
    memset(b, 0, sizeof(*b));
    snprintf(b->id, sizeof(b->id), "%s", id);
    snprintf(b->service, sizeof(b->service), "%s", service);
    snprintf(b->zone, sizeof(b->zone), "%s", zone);
    b->addr = backend_addr(address);
    b->tag = strtoull(digits == NULL ? id : digits + 1, NULL, 16);
    b->work_ms = 15;
    b->fd = open_socket(SOCK_DGRAM, b->addr, BACKEND_PORT);
    if (b->fd < 0) {
        lab_cannot_run("an address of a backend is in use");
    }
    lab_record("backend %s of %s starts at %s:%d", id, service,
               addr_text(b->addr), BACKEND_PORT);
    return b;
}

void
lab_backend_end(struct lab_backend *b)
{
    while (b->flows != NULL) {
        struct lab_server_flow *f = b->flows;

        b->flows = f->next;
        end_clear(&f->end);
        free(f);
    }
    close(b->fd);
    b->fd = -1;
    lab_record("backend %s of %s ends", b->id, b->service);
}

void
lab_register(struct lab_backend *b, const char *state, unsigned cold_ms,
             uint64_t born)
{
    char key[64];
    char value[512];
    char born_text[64] = "";

    b->sequence++;
    if (born != 0) {
        snprintf(born_text, sizeof(born_text), ",\"born\":%llu",
                 (unsigned long long)born);
    }
    snprintf(key, sizeof(key), "servers/%s", b->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\","
             "\"coldLeftMs\":%u,\"sequence\":%u%s}",
             b->service, addr_text(b->addr), BACKEND_PORT, b->zone, state,
             cold_ms, b->sequence, born_text);
    lab_put(key, value);
}

static struct lab_server_flow *
find_server_flow(const struct lab_backend *b, const struct packet *p)
{
    for (struct lab_server_flow *f = b->flows; f != NULL; f = f->next) {
        if (f->client == p->src && f->sport == p->sport && f->dst == p->dst &&
            f->dport == p->dport) {
            return f;
        }
    }
    return NULL;
}

static void
server_send(const struct lab_backend *b, struct lab_server_flow *f,
            struct packet *p)
{
    p->src = f->dst;
    p->sport = f->dport;
    p->dst = f->client;
    p->dport = f->sport;
    send_to(b->fd, f->client, PACKET_PORT, p);
}

static void
server_flush(const struct lab_backend *b, struct lab_server_flow *f,
             uint64_t now)
{
    struct lab_end *e = &f->end;
    struct packet p;
    bool sent = false;

    while (e->sent < e->out_len &&
           e->sent - e->acked < (size_t)IN_FLIGHT_MAX * DATA_MAX) {
        fill(e, &p, e->sent);
        server_send(b, f, &p);
        e->sent += p.len;
        sent = true;
        if (e->resend_at == 0) {
            e->resend_at = now + RESEND_MIN_MS;
        }
    }
    if (sent) {
        e->to_ack = 0;
    }
    if (e->to_ack >= 2) {
        fill(e, &p, e->out_len);
        server_send(b, f, &p);
        e->to_ack = 0;
    }
}

static void
server_syn(struct lab_backend *b, const struct packet *p)
{
    struct lab_server_flow *f = find_server_flow(b, p);
    struct packet out = {0};

    if (f == NULL) {
        f = calloc(1, sizeof(*f));
        f->client = p->src;
        f->sport = p->sport;
        f->dst = p->dst;
        f->dport = p->dport;
        f->opened_at = lab_now();
        f->end.irs = p->seq;
        f->end.iss = (uint32_t)rand();
        f->next = b->flows;
        b->flows = f;
    }
    f->end.echo = p->echo;
    out.seq = f->end.iss;
    out.ack = f->end.irs + 1;
    out.echo = p->echo;
    out.flags = FLAG_SYN | FLAG_ACK;
    server_send(b, f, &out);
}

/* A packet of a flow that the backend does not hold, or that has ended. */
static void
server_unknown(struct lab_backend *b, const struct packet *p)
{
    struct packet out = {.src = p->dst,
                         .sport = p->dport,
                         .dst = p->src,
                         .dport = p->sport,
                         .echo = p->echo,
                         .flags = FLAG_RST,
                         .seq = p->ack};

    if ((p->flags & FLAG_RST) == 0) {
        send_to(b->fd, p->src, PACKET_PORT, &out);
    }
}

static void
server_opened(struct lab_backend *b, struct lab_server_flow *f)
{
    f->open = true;
    b->openings++;
    b->opened_at =
        realloc(b->opened_at, (b->opened_count + 1) * sizeof(*b->opened_at));
    b->opened_at[b->opened_count] = f->opened_at;
    b->opened_count++;
    lab_record("backend %s of %s: flow %s:%u is open", b->id, b->service,
               addr_text(f->client), f->sport);
}

/* Begins the next request of a flow when it is complete. */
static void
server_begin(struct lab_backend *b, struct lab_server_flow *f, uint64_t now)
{
    size_t size = end_message(&f->end);
    unsigned slot = b->free_at[0] <= b->free_at[1] ? 0 : 1;
    const char *attempt;

    if (size == 0 || f->answer_at != 0) {
        return;
    }
    attempt = strstr((const char *)f->end.in + f->end.parsed, "Attempt-Id: ");
    sscanf(attempt == NULL ? "" : attempt, "Attempt-Id: %39s", f->attempt);
    f->end.parsed += size;
    b->runs++;
    f->answer_at =
        (b->free_at[slot] > now ? b->free_at[slot] : now) + b->work_ms;
    b->free_at[slot] = f->answer_at;
    lab_record("backend %s of %s: runs %s of flow %s:%u", b->id, b->service,
               f->attempt, addr_text(f->client), f->sport);
}

static void
server_answer(struct lab_backend *b, struct lab_server_flow *f)
{
    char text[512];
    char body[128];

    snprintf(body, sizeof(body), "%s %s %s", b->service, b->id, f->attempt);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nPimentohaven-Response-Signature: s\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             strlen(body), body);
    end_queue(&f->end, text, strlen(text));
    f->answer_at = 0;
}

static void
server_packet(struct lab_backend *b, const struct packet *p, uint64_t now)
{
    struct lab_server_flow *f;
    struct packet out = {0};

    if ((p->flags & FLAG_SYN) != 0) {
        server_syn(b, p);
        return;
    }
    f = find_server_flow(b, p);
    if (f == NULL || (f->ended && p->len > 0)) {
        server_unknown(b, p);
        return;
    }
    if ((p->flags & FLAG_RST) != 0) {
        f->ended = true;
        return;
    }
    if (!f->open && p->ack == f->end.iss + 1) {
        server_opened(b, f);
    }
    if (!f->open) {
        return;
    }
    (void)end_take(&f->end, p, now);
    server_begin(b, f, now);
    server_flush(b, f, now);
    if ((p->flags & FLAG_FIN) != 0) {
        fill(&f->end, &out, f->end.out_len);
        out.flags = FLAG_FIN | FLAG_ACK;
        out.ack++;
        server_send(b, f, &out);
        f->ended = true;
    }
}

static void
backend_read(struct lab_backend *b, uint64_t now)
{
    uint8_t data[TAG_SIZE + HEAD_SIZE + DATA_MAX];
    ssize_t size;
    struct packet p;

    while ((size = recv(b->fd, data, sizeof(data), MSG_DONTWAIT)) > 0) {
        uint64_t tag;

        if (size < TAG_SIZE ||
            !decode(data + TAG_SIZE, (size_t)size - TAG_SIZE, &p)) {
            lab_record("backend %s: malformed datagram", b->id);
            continue;
        }
        tag = (uint64_t)get_be(data, 4) << 32 | get_be(data + 4, 4);
        if (tag == 0 || tag == b->tag) {
            server_packet(b, &p, now);
        }
    }
}

static void
backend_tick(struct lab_backend *b, uint64_t now)
{
    for (struct lab_server_flow *f = b->flows; f != NULL; f = f->next) {
        if (f->answer_at != 0 && now >= f->answer_at) {
            server_answer(b, f);
            server_begin(b, f, now);
        }
        if (f->open && !f->ended) {
            if (!end_resend(&f->end, now)) {
                f->ended = true;
                continue;
            }
            server_flush(b, f, now);
        }
    }
}

/* ---- clients ---- */

static void
client_send(const struct lab_flow *f, struct packet *p)
{
    p->src = client_addr(f->client);
    p->sport = f->sport;
    p->dst = route_addr();
    p->dport = f->dport;
    send_to(client_fds[f->client], daemon_addr(f->via), PACKET_PORT, p);
}

static void
client_syn(struct lab_flow *f)
{
    struct packet p = {.flags = FLAG_SYN, .seq = f->end.iss, .ack = f->copies};

    client_send(f, &p);
    f->copies++;
}

struct lab_flow *
lab_open(unsigned client, int via, uint16_t route, const char *name)
{
    static uint16_t next_port = 40000;
    struct lab_flow *f = calloc(1, sizeof(*f));

    f->client = client;
    f->sport = next_port;
    next_port = next_port == UINT16_MAX ? 40000 : next_port + 1;
    f->dport = route;
    f->via = via;
    f->name = name;
    f->opening = true;
    f->began_at = lab_now();
    f->end.iss = (uint32_t)rand();
    f->next = flows;
    flows = f;
    client_syn(f);
    return f;
}

static void
client_flush(struct lab_flow *f, bool at_once, uint64_t now)
{
    struct lab_end *e = &f->end;
    struct packet p;
    bool sent = false;

    while (e->sent < e->out_len &&
           e->sent - e->acked < (size_t)IN_FLIGHT_MAX * DATA_MAX) {
        fill(e, &p, e->sent);
        client_send(f, &p);
        e->sent += p.len;
        sent = true;
        if (e->resend_at == 0) {
            e->resend_at = now + RESEND_MIN_MS;
        }
    }
    if (sent) {
        e->to_ack = 0;
    }
    if (e->to_ack >= 2 || (at_once && !sent)) {
        fill(e, &p, e->out_len);
        client_send(f, &p);
        e->to_ack = 0;
    }
}

void
lab_request(struct lab_flow *f, const char *method, size_t body)
{
    char head[256];
    char *bytes = malloc(body);
    char attempt[LAB_ID_SIZE];

    snprintf(attempt, sizeof(attempt), "%s-%u", f->name, next_attempt);
    next_attempt++;
    snprintf(head, sizeof(head),
             "%s /x HTTP/1.1\r\nHost: h\r\nPimentohaven-Attempt-Id: %s\r\n"
             "Content-Length: %zu\r\n\r\n",
             method, attempt, body);
    memset(bytes, 'x', body);
    end_queue(&f->end, head, strlen(head));
    end_queue(&f->end, bytes, body);
    free(bytes);
    f->answers_wanted++;
    f->requested_at = lab_now();
    lab_record("client: sends %s on flow %s (%s:%u) via daemon %d", attempt,
               f->name, addr_text(client_addr(f->client)), f->sport, f->via);
    if (f->open) {
        client_flush(f, false, lab_now());
    }
}

void
lab_finish(struct lab_flow *f)
{
    struct packet p = {0};

    if (f->open && !f->closed) {
        fill(&f->end, &p, f->end.out_len);
        p.flags = FLAG_FIN | FLAG_ACK;
        client_send(f, &p);
    }
    f->closed = true;
}

static bool
is_daemon(uint32_t addr)
{
    return addr >= daemon_addr(0) && addr < daemon_addr(LAB_DAEMONS_MAX);
}

static void
client_reset(struct lab_flow *f, const struct packet *p, uint32_t from)
{
    uint32_t expected = f->end.irs + 1 + (uint32_t)f->end.in_len;
    uint32_t distance =
        p->seq > expected ? p->seq - expected : expected - p->seq;

    f->reset_by_daemon = is_daemon(from);
    f->reset_from = from;
    f->reset_while_open = f->open;
    f->reset_at = lab_now();
    lab_record("client: flow %s (%s:%u) is reset by %s %s, %s, seq %u off",
               f->name, addr_text(client_addr(f->client)), f->sport,
               f->reset_by_daemon ? "daemon" : "backend", addr_text(from),
               f->open ? "while open" : "before it is open", distance);
    if (f->open && distance > RESET_WINDOW) {
        f->reset_out_of_window = true;
        return;
    }
    f->reset = true;
    f->closed = true;
}

static void
client_answers(struct lab_flow *f)
{
    size_t size;

    while ((size = end_message(&f->end)) > 0) {
        const char *text = (const char *)f->end.in + f->end.parsed;
        const char *body = strstr(text, "\r\n\r\n") + 4;

        snprintf(f->served_by, sizeof(f->served_by), "%.*s",
                 (int)(size - (size_t)(body - text)), body);
        f->end.parsed += size;
        f->answers++;
        lab_record("client: flow %s (%s:%u) is answered: %s", f->name,
                   addr_text(client_addr(f->client)), f->sport, f->served_by);
    }
}

static void
client_packet(struct lab_flow *f, const struct packet *p, uint32_t from,
              uint64_t now)
{
    if ((p->flags & FLAG_RST) != 0) {
        client_reset(f, p, from);
        return;
    }
    if (f->opening && (p->flags & FLAG_SYN) != 0) {
        f->opening = false;
        f->open = true;
        f->end.irs = p->seq;
        f->end.echo = p->echo;
        client_flush(f, true, now);
        return;
    }
    if (!f->open || (p->flags & FLAG_SYN) != 0) {
        return;
    }
    (void)end_take(&f->end, p, now);
    client_answers(f);
    client_flush(f, false, now);
}

static void
client_read(unsigned client, uint64_t now)
{
    uint8_t data[HEAD_SIZE + DATA_MAX];
    struct sockaddr_in from = {0};
    socklen_t from_len = sizeof(from);
    ssize_t size;
    struct packet p = {0};

    while (
        (size = recvfrom(client_fds[client], data, sizeof(data), MSG_DONTWAIT,
                         (struct sockaddr *)&from, &from_len)) > 0) {
        if (!decode(data, (size_t)size, &p)) {
            continue;
        }
        for (struct lab_flow *f = flows; f != NULL; f = f->next) {
            if (f->client == client && f->sport == p.dport && !f->closed &&
                f->dport == p.sport) {
                client_packet(f, &p, ntohl(from.sin_addr.s_addr), now);
                break;
            }
        }
    }
}

static void
client_tick(struct lab_flow *f, uint64_t now)
{
    static const uint64_t copies_at[] = {0, 200, 600};
    uint64_t age = now - f->began_at;

    if (f->closed) {
        return;
    }
    if (f->opening) {
        if (f->copies < 3 && age >= copies_at[f->copies]) {
            client_syn(f);
        }
        if (age >= OPEN_TIMEOUT_MS) {
            lab_record("client: flow %s does not open", f->name);
            f->closed = true;
        }
        return;
    }
    if (!end_resend(&f->end, now)) {
        f->closed = true;
        return;
    }
    client_flush(f, false, now);
}

/* ---- the store ---- */

static char *
to_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = malloc(len / 3 * 4 + 8);
    char *at = out;

    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = (uint32_t)(uint8_t)text[i] << 16;

        v |= i + 1 < len ? (uint32_t)(uint8_t)text[i + 1] << 8 : 0;
        v |= i + 2 < len ? (uint32_t)(uint8_t)text[i + 2] : 0;
        *at++ = digits[v >> 18];
        *at++ = digits[v >> 12 & 63];
        *at++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
        *at++ = i + 2 < len ? digits[v & 63] : '=';
    }
    *at = '\0';
    return out;
}

/* Returns the last change of a key up to a revision, NULL if there is none. */
static const struct change *
find_change(const char *key, size_t revision)
{
    for (size_t i = revision; i > 0; i--) {
        if (strcmp(changes[i - 1].key, key) == 0) {
            return &changes[i - 1];
        }
    }
    return NULL;
}

/* Appends a change; "value" is base64 text and is taken over. */
static uint64_t
append_change(const char *key, char *value)
{
    const struct change *last = find_change(key, change_count);
    struct change *c = &changes[change_count];

    if (change_count == CHANGES_MAX) {
        lab_cannot_run("too many changes of the store");
    }
    c->key = strdup(key);
    c->value = value;
    c->at = lab_now();
    c->created =
        last != NULL && last->value != NULL ? last->created : change_count + 1;
    change_count++;
    return change_count;
}

/* Writes all of a text; the daemon reads at the same time. */
static void
write_all(int fd, const char *text)
{
    size_t len = strlen(text);
    ssize_t size;

    while (len > 0 && (size = write(fd, text, len)) > 0) {
        text += size;
        len -= (size_t)size;
    }
}

static void
reply(struct call *call, int status, const char *body)
{
    char head[128];

    fcntl(call->fd, F_SETFL, 0);

    snprintf(head, sizeof(head),
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Connection: close\r\nContent-Length: %zu\r\n\r\n",
             status, strlen(body));
    write_all(call->fd, head);
    write_all(call->fd, body);
    close(call->fd);
    call->fd = -1;
}

static void
reply_json(struct call *call, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    reply(call, status, text);
    free(text);
    json_decref(json);
}

static json_t *
item_json(const struct change *c)
{
    json_int_t revision = (json_int_t)(c - changes) + 1;

    if (c->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", c->key, "revision", revision,
                         "tombstone", 1);
    }
    return json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", c->key, "value", c->value,
                     "revision", revision, "created", (json_int_t)c->created,
                     "lease", 0);
}

/* Copies a query parameter, with percent signs decoded. */
static void
query_get(const char *target, const char *name, char *out, size_t size)
{
    const char *at = strchr(target, '?');
    size_t len = strlen(name);
    size_t used = 0;

    out[0] = '\0';
    while (at != NULL &&
           (strncmp(at + 1, name, len) != 0 || at[1 + len] != '=')) {
        at = strchr(at + 1, '&');
    }
    if (at == NULL) {
        return;
    }
    at += len + 2;
    while (*at != '\0' && *at != '&' && *at != ' ' && used + 1 < size) {
        unsigned code = 0;

        if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
            at += 3;
            out[used++] = (char)code;
        }
        else {
            out[used++] = *at++;
        }
    }
    out[used] = '\0';
}

/* Revision that a read shows. */
static size_t
read_revision(const char *target)
{
    char stale[8];
    size_t revision = change_count;

    query_get(target, "serializable", stale, sizeof(stale));
    while (strcmp(stale, "1") == 0 && revision > 1 &&
           changes[revision - 1].at + lab_stale_ms > lab_now()) {
        revision--;
    }
    return revision;
}

static void
answer_range(struct call *call, const char *target)
{
    char prefix[256];
    size_t revision = read_revision(target);
    json_t *items = json_array();

    query_get(target, "prefix", prefix, sizeof(prefix));
    for (size_t i = 0; i < revision; i++) {
        const struct change *c = &changes[i];

        if (c->value != NULL && find_change(c->key, revision) == c &&
            strncmp(c->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(items, item_json(c));
        }
    }
    reply_json(call, 200,
               json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", 0, "asOf",
                         (json_int_t)revision));
}

static void
answer_key(struct call *call, const char *target)
{
    char key[256];
    size_t revision = read_revision(target);
    const struct change *c;
    json_t *json;

    query_get(target, "key", key, sizeof(key));
    c = find_change(key, revision);
    if (c == NULL || c->value == NULL) {
        reply(call, 404, "{}");
        return;
    }
    json = item_json(c);
    json_object_set_new(json, "asOf", json_integer((json_int_t)revision));
    reply_json(call, 200, json);
}

static void
answer_txn(struct call *call, const char *body)
{
    json_t *json = json_loads(body, 0, NULL);
    const json_t *row;
    size_t i;

    json_array_foreach(json_object_get(json, "expected"), i, row)
    {
        const struct change *c = find_change(
            json_string_value(json_object_get(row, "key")), change_count);
        json_int_t revision =
            c == NULL || c->value == NULL ? 0 : (json_int_t)(c - changes) + 1;

        if (revision != json_integer_value(json_object_get(row, "revision"))) {
            json_decref(json);
            reply(call, 412, "{\"items\":[]}");
            return;
        }
    }
    json_array_foreach(json_object_get(json, "puts"), i, row)
    {
        append_change(
            json_string_value(json_object_get(row, "key")),
            strdup(json_string_value(json_object_get(row, "value"))));
    }
    json_array_foreach(json_object_get(json, "delete"), i, row)
    {
        append_change(json_string_value(row), NULL);
    }
    json_decref(json);
    reply_json(call, 200,
               json_pack("{s:I}", "revision", (json_int_t)change_count));
}

/* Answers a watch if there is something to tell, or its time has passed. */
static void
answer_watch(struct call *call, uint64_t now)
{
    json_t *events;

    if (call->after >= change_count && now < call->until) {
        return;
    }
    events = json_array();
    for (size_t i = call->after; i < change_count; i++) {
        json_array_append_new(events, item_json(&changes[i]));
    }
    call->waits = false;
    lab_watch_answered_at = now;
    reply_json(call, 200,
               json_pack("{s:o,s:I}", "events", events, "asOf",
                         (json_int_t)change_count));
}

static void
handle_call(struct call *call, uint64_t now)
{
    char target[512];
    char number[32];
    const char *head_end = strstr(call->buf, "\r\n\r\n");
    const char *length;

    if (head_end == NULL || sscanf(call->buf, "%*s %511s", target) != 1) {
        return;
    }
    length = strstr(call->buf, "Content-Length: ");
    if (length != NULL &&
        strlen(head_end + 4) < strtoul(length + 16, NULL, 10)) {
        return;
    }
    if (strncmp(target, "/api/kv-range", 13) == 0) {
        answer_range(call, target);
    }
    else if (strncmp(target, "/api/kv-key", 11) == 0) {
        answer_key(call, target);
    }
    else if (strncmp(target, "/api/kv-txn", 11) == 0) {
        answer_txn(call, head_end + 4);
    }
    else if (strncmp(target, "/api/kv-watch", 13) == 0) {
        query_get(target, "after", number, sizeof(number));
        call->after = strtoull(number, NULL, 10);
        query_get(target, "waitMs", number, sizeof(number));
        call->until = now + strtoull(number, NULL, 10);
        call->waits = true;
        answer_watch(call, now);
    }
    else {
        reply(call, 404, "{}");
    }
}

static void
call_read(struct call *call, uint64_t now)
{
    ssize_t size = read(call->fd, call->buf + call->len,
                        sizeof(call->buf) - call->len - 1);

    if (size <= 0) {
        if (size == 0 || errno != EAGAIN) {
            close(call->fd);
            call->fd = -1;
        }
        return;
    }
    call->len += (size_t)size;
    call->buf[call->len] = '\0';
    if (!call->waits) {
        handle_call(call, now);
    }
}

static void
store_accept(int listener)
{
    int fd;

    while ((fd = accept4(listener, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        int i = 0;

        while (i < CALLS_MAX && calls[i] != NULL && calls[i]->fd >= 0) {
            i++;
        }
        if (i == CALLS_MAX) {
            close(fd);
            continue;
        }
        if (calls[i] == NULL) {
            calls[i] = malloc(sizeof(*calls[i]));
        }
        calls[i]->fd = fd;
        calls[i]->len = 0;
        calls[i]->waits = false;
    }
}

static void
store_tick(uint64_t now)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        if (calls[i] != NULL && calls[i]->fd >= 0 && calls[i]->waits) {
            answer_watch(calls[i], now);
        }
    }
}

uint64_t
lab_put(const char *key, const char *value)
{
    uint64_t revision = append_change(key, to_base64(value));

    lab_record("store: %s = %.400s", key, value);
    store_tick(lab_now());
    return revision;
}

void
lab_delete(const char *key)
{
    append_change(key, NULL);
    lab_record("store: %s is removed", key);
    store_tick(lab_now());
}

/* Returns a copy of "routes" with the address of the routes in place of each
 * mark. */
static char *
put_route_addr(const char *routes)
{
    char *text = calloc(1, 3 * strlen(routes) + 1);
    char *at = text;
    const char *mark;

    while ((mark = strstr(routes, ROUTE_MARK)) != NULL) {
        at += sprintf(at, "%.*s%s", (int)(mark - routes), routes,
                      addr_text(route_addr()));
        routes = mark + strlen(ROUTE_MARK);
    }
    memcpy(at, routes, strlen(routes) + 1);
    return text;
}

void
lab_write_config(const char *routes, const char *services, unsigned idle_ms)
{
    size_t size = 3 * strlen(routes) + strlen(services) + 512;
    char *value = malloc(size);

    char *text = put_route_addr(routes);

    config_version += 3;
    snprintf(value, size,
             "{\"version\":%u,\"routes\":[%s],\"services\":[%s],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":%u}}",
             config_version, text, services, idle_ms);
    free(text);
    lab_put("op/config", value);
    free(value);
}

/* ---- daemons ---- */

static void
write_boot(int index)
{
    struct lab_daemon *d = &lab_daemons[index];
    FILE *file = fopen(d->boot, "w");
    const char *addr = addr_text(d->addr);

    if (file == NULL) {
        lab_cannot_run("a settings file cannot be written");
    }
    fprintf(file,
            "{\"nodeName\":\"front-%d\",\"role\":\"balancer\","
            "\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],"
            "\"ip\":\"%s\",\"zone\":\"%s\",\"region\":\"region\","
            "\"zones\":{\"zone-a\":\"region\",\"zone-b\":\"region\","
            "\"zone-c\":\"region\",\"zone-d\":\"region\"},"
            "\"listen\":{\"datagramAddr\":\"%s:%d\",\"ready\":\"%s:%d\","
            "\"control\":\"%s:%d\"},\"internalPorts\":[%d,%d],",
            index, addr, d->zone, addr, PACKET_PORT, addr, READY_PORT, addr,
            CONTROL_PORT, GOSSIP_PORT, GOSSIP_PORT + 15);
    fprintf(file, "\"seeds\":[\"%s:%d\",\"%s:%d\"],",
            addr_text(daemon_addr(0)), CONTROL_PORT, addr_text(daemon_addr(1)),
            CONTROL_PORT);
    fprintf(file,
            "\"bootstrap\":false,\"countsAsLoss\":false,"
            "\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,"
            "\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
            "\"dataDir\":null,\"discovery\":\"platform\","
            "\"entryMode\":\"announce\",\"heartbeatMs\":1200,"
            "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
            "\"recover\",\"flows\",\"platform\"%s],"
            "\"faultTolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},",
            lab_extra_contracts);
    fprintf(file,
            "\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,"
            "\"stableWindowMs\":%u,\"ackMs\":5000,\"catchUpS\":4,"
            "\"drainMs\":%u,\"graceS\":6,\"lossSlackMs\":200,"
            "\"configApplyMs\":%u,\"downgradeSlackMs\":250,"
            "\"maxStretchMs\":12000,\"recoveryS\":12,\"reorderMs\":2000,"
            "\"maxFlowS\":60%s},\"hash\":\"steady\","
            "\"forwardingMode\":\"echo\",\"platform\":{\"address\":\"%s:%d\","
            "\"forwardingMode\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,"
            "\"historyS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}}\n",
            lab_stable_ms, lab_change_ms, lab_change_ms, lab_extra_bounds,
            addr_text(store_addr()), STORE_PORT);
    fclose(file);
}

void
lab_store_move(void)
{
    store_index = 1;
    store_fds[1] = open_socket(SOCK_STREAM, store_addr(), STORE_PORT);
    if (store_fds[1] < 0) {
        lab_cannot_run("the store's second address is in use");
    }
    lab_record("the store listens at %s:%d as well; settings files changed",
               addr_text(store_addr()), STORE_PORT);
    for (int i = 0; i < LAB_DAEMONS_MAX; i++) {
        if (lab_daemons[i].pid > 0) {
            write_boot(i);
        }
    }
    lab_daemon_signal(0, SIGHUP);
}

void
lab_store_leave(void)
{
    close(store_fds[0]);
    store_fds[0] = -1;
    lab_record("the store no longer listens at its first address");
}

void
lab_daemon_start(int index, const char *zone)
{
    struct lab_daemon *d = &lab_daemons[index];
    char variable[300];
    char *const argv[] = {"target/src/pimentohaven", "forward", NULL};
    char *const envp[] = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp",
                          "LANG=C", NULL};

    if (access(argv[0], X_OK) != 0) {
        lab_cannot_run("target/src/pimentohaven is not built");
    }
    d->addr = daemon_addr(index);
    snprintf(d->zone, sizeof(d->zone), "%s", zone);
    snprintf(d->boot, sizeof(d->boot), "%s/boot-%d.json", folder, index);
    snprintf(d->log, sizeof(d->log), "%s/log-%d", folder, index);
    write_boot(index);
    snprintf(variable, sizeof(variable), "PIMENTOHAVEN_BOOT=%s", d->boot);
    d->pid = fork();
    if (d->pid == 0) {
        int log =
            open(d->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDERR_FILENO);
        dup2(log, STDOUT_FILENO);
        execve(argv[0], argv, envp);
        _exit(127);
    }
    lab_record("daemon %d starts at %s in %s", index, addr_text(d->addr),
               zone);
}

void
lab_daemon_signal(int index, int signal)
{
    lab_record("daemon %d gets signal %d", index, signal);
    kill(lab_daemons[index].pid, signal);
}

void
lab_daemon_wait(int index)
{
    uint64_t until = lab_now() + 10000;

    while (waitpid(lab_daemons[index].pid, NULL, WNOHANG) == 0) {
        if (lab_now() > until) {
            lab_cannot_run("a daemon does not end");
        }
        lab_run(5);
    }
    lab_daemons[index].pid = 0;
    lab_record("daemon %d has ended", index);
}

static bool
is_ready(int index)
{
    static const char request[] =
        "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_port = htons(READY_PORT),
                              .sin_addr.s_addr = htonl(daemon_addr(index))};
    struct timeval limit = {.tv_usec = 300000};
    char answer[64] = "";
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool ready = false;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
        write(fd, request, strlen(request)) > 0 &&
        read(fd, answer, sizeof(answer) - 1) > 0) {
        ready = strncmp(answer, "HTTP/1.1 200", 12) == 0;
    }
    close(fd);
    return ready;
}

void
lab_daemon_wait_ready(int index)
{
    uint64_t until = lab_now() + 10000;

    while (!is_ready(index)) {
        if (lab_now() > until) {
            lab_cannot_run("a daemon is not ready");
        }
        lab_run(20);
    }
    lab_record("daemon %d is ready", index);
}

void
lab_record_log(int index, const char *text)
{
    char line[2048];
    FILE *file = fopen(lab_daemons[index].log, "r");

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strstr(line, text) != NULL) {
            fprintf(record, "log of daemon %d: %s", index, line);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* ---- the loop ---- */

#define FDS_MAX (2 + LAB_CLIENTS_MAX + LAB_BACKENDS_MAX + CALLS_MAX)

static void
poll_once(void)
{
    struct pollfd fds[FDS_MAX];
    nfds_t count = 0;

    for (int i = 0; i < 2; i++) {
        if (store_fds[i] >= 0) {
            fds[count++] = (struct pollfd){store_fds[i], POLLIN, 0};
        }
    }
    for (int i = 0; i < LAB_CLIENTS_MAX; i++) {
        fds[count++] = (struct pollfd){client_fds[i], POLLIN, 0};
    }
    for (int i = 0; i < LAB_BACKENDS_MAX; i++) {
        if (lab_backends[i].fd >= 0 && !lab_backends[i].frozen) {
            fds[count++] = (struct pollfd){lab_backends[i].fd, POLLIN, 0};
        }
    }
    for (int i = 0; i < CALLS_MAX; i++) {
        if (calls[i] != NULL && calls[i]->fd >= 0) {
            fds[count++] = (struct pollfd){calls[i]->fd, POLLIN, 0};
        }
    }
    poll(fds, count, 2);
}

void
lab_run(uint64_t ms)
{
    uint64_t until = lab_now() + ms;
    uint64_t now;

    do {
        poll_once();
        now = lab_now();
        for (int i = 0; i < 2; i++) {
            if (store_fds[i] >= 0) {
                store_accept(store_fds[i]);
            }
        }
        for (int i = 0; i < CALLS_MAX; i++) {
            if (calls[i] != NULL && calls[i]->fd >= 0) {
                call_read(calls[i], now);
            }
        }
        store_tick(now);
        for (int i = 0; i < LAB_BACKENDS_MAX; i++) {
            if (lab_backends[i].fd >= 0 && !lab_backends[i].frozen) {
                backend_read(&lab_backends[i], now);
                backend_tick(&lab_backends[i], now);
            }
        }
        for (unsigned i = 0; i < LAB_CLIENTS_MAX; i++) {
            client_read(i, now);
        }
        for (struct lab_flow *f = flows; f != NULL; f = f->next) {
            client_tick(f, now);
        }
    } while (now < until);
}
