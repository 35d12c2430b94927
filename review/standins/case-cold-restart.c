/* FAILBACK: a backend has started again under its id and is cold. Daemons that
 * restart read the store as it was seconds before, take the backend for warm,
 * and send it its full share without a claim. */

#include "lab.h"

#include <signal.h>
#include <stdio.h>

#define ROUTE_PORT 8080
#define BORN_MS 1764867600000ULL /* Unix time, ms */
#define COLD_MS 8000
/* coldPerS x coldOverage + coldSlack */
#define COLD_MAX 11
/* Shorter than the second of the rule: what arrives inside it was also sent
 * inside one second. */
#define WINDOW_MS 990
#define GAP_MS 20 /* between two openings: 50 a second */

static const char routes[] =
    "{\"name\":\"r-stock\",\"host\":\"@ROUTE@\",\"prefix\":\"/8080/\","
    "\"kind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":400,"
    "\"priority\":2,\"service\":\"stock\",\"maxAttempts\":2}";
static const char services[] =
    "{\"name\":\"stock\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":8,\"coldPerS\":4}";

/* Lets clients in the zone send requests, a flow each, by one daemon. */
static void
send_load(uint64_t ms, int via)
{
    static struct lab_flow *last[64];
    static unsigned next;
    uint64_t until = lab_now() + ms;

    while (lab_now() < until) {
        unsigned slot = next % 64;

        if (last[slot] != NULL && !last[slot]->closed) {
            lab_finish(last[slot]);
        }
        last[slot] = lab_open(next % LAB_CLIENTS_MAX, via, ROUTE_PORT, "read");
        lab_request(last[slot], "GET", 0);
        next++;
        lab_run(GAP_MS);
    }
}

/* Returns the largest number of openings in a second from "from" on. */
static unsigned
max_per_second(const struct lab_backend *b, uint64_t from, uint64_t until)
{
    unsigned max = 0;

    for (size_t i = 0; i < b->opened_count; i++) {
        unsigned count = 0;

        for (size_t j = i; j < b->opened_count &&
                           b->opened_at[j] < b->opened_at[i] + WINDOW_MS;
             j++) {
            count += b->opened_at[j] >= from && b->opened_at[j] < until;
        }
        max = count > max ? count : max;
    }
    return max;
}

int
main(int argc, char **argv)
{
    struct lab_backend *b;
    uint64_t cold_from;
    unsigned max;
    unsigned served;

    lab_extra_contracts = ",\"health\",\"places\",\"pressure\"";
    lab_extra_bounds = ",\"coldOverage\":1.5,\"coldSlack\":5,"
                       "\"evacuateMs\":5000";
    lab_stale_ms = 3000;
    lab_init(argc > 1 ? argv[1] : "record.txt");
    lab_write_config(routes, services, 15000);
    for (int i = 1; i < 3; i++) {
        b = lab_backend_start(i, i, i == 1 ? "i-11d04be7" : "i-5a60c3f8",
                              "stock", "zone-a");
        lab_register(b, "ready", 0, BORN_MS);
    }
    b = lab_backend_start(0, 0, "i-7f3a91c2", "stock", "zone-a");
    lab_register(b, "ready", 0, BORN_MS);
    lab_run(3500); /* stale reads show it all */
    for (int i = 0; i < 3; i++) {
        lab_daemon_start(i, "zone-a");
    }
    for (int i = 0; i < 3; i++) {
        lab_daemon_wait_ready(i);
    }
    lab_run(4000);
    send_load(2000, 2);
    /* The backend starts again under its id. */
    lab_backend_end(b);
    send_load(500, 2);
    b = lab_backend_start(0, 0, "i-7f3a91c2", "stock", "zone-a");
    cold_from = lab_now();
    lab_register(b, "ready", COLD_MS, BORN_MS + 60000);
    send_load(1500, 2);
    if (lab_trouble()) {
        for (int i = 0; i < 3; i++) {
            lab_daemon_signal(i, SIGKILL);
        }
        for (int i = 0; i < 3; i++) {
            lab_daemon_wait(i);
        }
        /* One is back at once, the others are dark for longer. */
        lab_run(300);
        lab_daemon_start(2, "zone-a");
        lab_daemon_wait_ready(2);
    }
    served = lab_backends[1].runs + lab_backends[2].runs;
    send_load(3100, 2);
    served = lab_backends[1].runs + lab_backends[2].runs - served;
    if (lab_trouble()) {
        lab_daemon_start(0, "zone-a");
        lab_daemon_start(1, "zone-a");
    }
    send_load(1000, 2);
    lab_run(1000);
    max = max_per_second(b, cold_from, cold_from + COLD_MS);
    lab_record_log(2, "cold_claim");
    lab_record_log(2, "possibly outdated");
    lab_record("the cold backend got at most %u requests in a second; %d are "
               "allowed; the others ran %u meanwhile",
               max, COLD_MAX, served);
    lab_close();
    return max > COLD_MAX ? 1 : served > 0 ? 0 : 2;
}
