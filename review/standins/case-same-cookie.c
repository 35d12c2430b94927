/* FLOW: the ids of two backends have the same cookie. While the older one is
 * cut from the store the newer one takes the cookie over, and keeps it: the
 * packets of the older one's open flows then go to the newer one. */

#include "lab.h"

#include <stdio.h>

#define ROUTE_PORT 8080
/* Two ids whose hashes have the same low 32 bits. */
#define OLDER_ID "i-109ad1c2"
#define NEWER_ID "i-2ba6c3a4"
#define HEARTBEAT_MS 1200
#define OTHERS 4 /* backends; one of five is a share of 0.2 */

static const char routes[] =
    "{\"name\":\"r-live\",\"host\":\"@ROUTE@\",\"prefix\":\"/8080/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,"
    "\"priority\":1,\"service\":\"live\",\"maxAttempts\":2}";
static const char services[] =
    "{\"name\":\"live\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false}";

/* Opens flows until one is at the backend; closes the others. */
static struct lab_flow *
open_at(const struct lab_backend *b)
{
    for (int i = 0; i < 60; i++) {
        struct lab_flow *f = lab_open(0, 0, ROUTE_PORT, "console");

        lab_request(f, "POST", 900);
        lab_run(50);
        if (b->openings > 0) {
            return f;
        }
        lab_finish(f);
    }
    lab_cannot_run("no flow opens at the backend");
}

int
main(int argc, char **argv)
{
    static const char *const others[OTHERS] = {"i-11d04be7", "i-5a60c3f8",
                                               "i-3390b1d4", "i-7f3a91c2"};
    struct lab_backend *older;
    struct lab_backend *newer;
    struct lab_flow *flow;
    bool broken;

    lab_init(argc > 1 ? argv[1] : "record.txt");
    lab_write_config(routes, services, 15000);
    older = lab_backend_start(0, 0, OLDER_ID, "live", "zone-a");
    lab_register(older, "ready", 0, 0);
    for (int i = 0; i < OTHERS; i++) {
        lab_register(
            lab_backend_start(2 + i, 2 + i, others[i], "live", "zone-a"),
            "ready", 0, 0);
    }
    lab_daemon_start(0, "zone-a");
    lab_daemon_start(1, "zone-a");
    lab_daemon_wait_ready(0);
    lab_daemon_wait_ready(1);
    lab_run(5000);
    flow = open_at(older);
    lab_run(500);
    if (lab_trouble()) {
        lab_record("backend %s is cut from the store", older->id);
    }
    lab_run(2 * HEARTBEAT_MS);
    /* Planned: a backend is added. It is cold for two seconds, so its entry
     * changes with each heartbeat. */
    newer = lab_backend_start(1, 1, NEWER_ID, "live", "zone-a");
    lab_register(newer, "ready", 2000, 0);
    lab_run(HEARTBEAT_MS - 100);
    if (lab_trouble()) {
        /* Three heartbeat intervals of silence. */
        lab_delete("servers/" OLDER_ID);
    }
    lab_run(100);
    lab_register(newer, "ready", 2000 - HEARTBEAT_MS, 0);
    lab_run(400);
    if (lab_trouble()) {
        lab_record("backend %s reaches the store again", older->id);
        lab_register(older, "ready", 0, 0);
    }
    lab_run(HEARTBEAT_MS - 400);
    lab_register(newer, "ready", 0, 0);
    /* Longer than stableWindowMs, 4,000 and 5,000 on the users' sites. */
    lab_run(5500);
    lab_request(flow, "POST", 900);
    lab_run(2500);
    broken = flow->reset_while_open && flow->reset_from != older->addr;
    lab_record_log(0, "cookie");
    lab_record("the flow of backend %s was %s; it ran %u of 2 requests",
               older->id, broken ? "reset by another" : "not reset",
               older->runs);
    lab_close();
    return broken ? 1 : flow->answers == 2 ? 0 : 2;
}
