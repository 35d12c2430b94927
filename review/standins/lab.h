#pragma once

/* A small deployment for the cases of the review, in one process: the
 * platform's store, backends and clients, as the users' pages describe them,
 * and the daemons as child processes. All addresses are loopback addresses.
 *
 * A case calls lab_init(), adds what it needs, and calls lab_run() to let time
 * pass. What was sent, answered and run goes to the record. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LAB_BACKENDS_MAX 16
#define LAB_DAEMONS_MAX 8
#define LAB_CLIENTS_MAX 16
#define LAB_ID_SIZE 40

/* One end of a flow. Offsets count the bytes after the SYN. */
struct lab_end {
    uint32_t iss;       /* own first sequence number */
    uint32_t irs;       /* that of the other end */
    uint8_t *out;       /* all bytes sent or to be sent */
    size_t out_len;     /* bytes in "out" */
    size_t acked;       /* bytes that the other end has acknowledged */
    size_t sent;        /* bytes sent at least once */
    uint8_t *in;        /* all bytes received in order */
    size_t in_len;      /* bytes in "in" */
    size_t parsed;      /* bytes of "in" that were handled as messages */
    unsigned to_ack;    /* packets with data since the last own packet */
    unsigned resends;   /* since the last progress */
    uint64_t resend_at; /* ms, 0: nothing is outstanding */
    uint32_t echo;      /* last one received */
};

/* A flow as a backend holds it. */
struct lab_server_flow {
    struct lab_server_flow *next;
    uint32_t client;
    uint16_t sport;
    uint32_t dst;
    uint16_t dport;
    bool open; /* the end of the handshake has arrived */
    bool ended;
    uint64_t opened_at; /* ms */
    uint64_t answer_at; /* ms, 0: no request is running */
    char attempt[LAB_ID_SIZE];
    struct lab_end end;
};

struct lab_backend {
    char id[LAB_ID_SIZE];
    char service[LAB_ID_SIZE];
    char zone[LAB_ID_SIZE];
    uint32_t addr;
    uint64_t tag;
    int fd;      /* -1: it has ended */
    bool frozen; /* it stands still; what arrives waits in its socket */
    unsigned work_ms;
    unsigned sequence;
    uint64_t free_at[2]; /* when each slot is free, ms */
    struct lab_server_flow *flows;
    unsigned runs;     /* requests begun */
    unsigned openings; /* flows opened by the first packet after the SYN */
    /* Arrivals of the opening packets of the flows that it took, ms. */
    uint64_t *opened_at;
    size_t opened_count;
};

/* A flow as a client holds it. */
struct lab_flow {
    struct lab_flow *next;
    unsigned client; /* index */
    uint16_t sport;
    uint16_t dport; /* port of the route */
    int via;        /* daemon that the router selects */
    const char *name;
    bool opening;
    bool open;
    bool closed;
    unsigned copies; /* of the SYN, sent so far */
    uint64_t began_at;
    unsigned answers;        /* complete ones */
    unsigned answers_wanted; /* requests sent */
    uint64_t requested_at;
    bool reset;            /* by a daemon or a backend */
    bool reset_by_daemon;  /* the reset came from a daemon's address */
    bool reset_while_open; /* the flow was open at its backend */
    bool reset_out_of_window;
    uint64_t reset_at;
    uint32_t reset_from;         /* its sender's address */
    char served_by[LAB_ID_SIZE]; /* service and backend of the last answer */
    struct lab_end end;
};

struct lab_daemon {
    int pid; /* 0: not running */
    uint32_t addr;
    char zone[LAB_ID_SIZE];
    char boot[256]; /* path of its settings file */
    char log[256];  /* path of its log */
};

extern struct lab_backend lab_backends[LAB_BACKENDS_MAX];
extern struct lab_daemon lab_daemons[LAB_DAEMONS_MAX];
/* Age of what the store answers to reads with "serializable", ms. */
extern uint64_t lab_stale_ms;
/* Fields that every settings file has in addition, JSON with a leading comma,
 * within "bounds". */
extern const char *lab_extra_bounds;
/* The same for the list of "contracts". */
extern const char *lab_extra_contracts;
/* Bounds of the settings files: configApplyMs and drainMs; stableWindowMs. */
extern unsigned lab_change_ms;
extern unsigned lab_stable_ms;
/* When the store last answered a watch, ms. */
extern uint64_t lab_watch_answered_at;

/* Reads the environment and opens the record, and the stand-ins' addresses. */
void lab_init(const char *record_path);
/* Whether the disruption is to be brought about. */
bool lab_trouble(void);
/* Ends all child processes and removes the temporary folder. */
void lab_close(void);
uint64_t lab_now(void);
__attribute__((format(printf, 1, 2))) void lab_record(const char *fmt, ...);
/* Ends the case as one that could not run. */
__attribute__((noreturn)) void lab_cannot_run(const char *why);
/* Lets "ms" milliseconds pass. */
void lab_run(uint64_t ms);

uint64_t lab_put(const char *key, const char *value);
void lab_delete(const char *key);

/* Has the store listen at a second address as well, writes that to all
 * settings files and sends the first daemon SIGHUP. */
void lab_store_move(void);
/* The store no longer listens at its first address. */
void lab_store_leave(void);

/* Starts a backend at the address with this index; does not register it. */
struct lab_backend *lab_backend_start(int index, int address, const char *id,
                                      const char *service, const char *zone);
void lab_backend_end(struct lab_backend *b);
/* Writes a backend's entry. "born" 0: without that field. */
void lab_register(struct lab_backend *b, const char *state, unsigned cold_ms,
                  uint64_t born);
/* Returns the text "a.b.c.d:port" of a backend address. */
const char *lab_backend_address(int address);

void lab_daemon_start(int index, const char *zone);
void lab_daemon_signal(int index, int signal);
/* Waits until a daemon has ended. */
void lab_daemon_wait(int index);
/* Waits until a daemon is ready. */
void lab_daemon_wait_ready(int index);

/* Opens a flow of a client over a daemon. */
struct lab_flow *lab_open(unsigned client, int via, uint16_t route,
                          const char *name);
/* Sends a request with a body of "body" bytes on a flow. */
void lab_request(struct lab_flow *f, const char *method, size_t body);
/* Closes a flow in the ordinary way. */
void lab_finish(struct lab_flow *f);

/* Writes the next version of the configuration. "@ROUTE@" in "routes" stands
 * for the address of the routes, a loopback address. */
void lab_write_config(const char *routes, const char *services,
                      unsigned idle_ms);
/* Appends the lines of a daemon's log that contain a text to the record. */
void lab_record_log(int index, const char *text);
