/* FLOW: an entry of another writer, with the address of a living backend, ends
 * that backend's open flows. */

#include "lab.h"

#include <stdio.h>

#define ROUTE_PORT 8080
#define FLOWS 6
#define WORK_MS 60 /* of a request; up to 120 on the users' sites */

static const char routes[] =
    "{\"name\":\"r-live\",\"host\":\"@ROUTE@\",\"prefix\":\"/8080/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,"
    "\"priority\":1,\"service\":\"live\",\"maxAttempts\":2}";
static const char services[] =
    "{\"name\":\"live\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false}";

/* The entry of another writer: its service is not one of the configuration. */
static void
write_foreign_entry(void)
{
    char value[512];

    snprintf(value, sizeof(value),
             "{\"service\":\"host-agent\",\"address\":\"%s\","
             "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":2,"
             "\"state\":\"observed\",\"coldLeftMs\":0,\"sequence\":1}",
             lab_backend_address(0));
    lab_put("servers/i-00c0ffee", value);
}

int
main(int argc, char **argv)
{
    struct lab_flow *flows[FLOWS];
    struct lab_backend *b[2];
    unsigned broken = 0;
    unsigned answered = 0;

    lab_init(argc > 1 ? argv[1] : "record.txt");
    lab_write_config(routes, services, 15000);
    b[0] = lab_backend_start(0, 0, "i-7f3a91c2", "live", "zone-a");
    b[1] = lab_backend_start(1, 1, "i-11d04be7", "live", "zone-b");
    lab_register(b[0], "ready", 0, 0);
    lab_register(b[1], "ready", 0, 0);
    b[0]->work_ms = WORK_MS;
    b[1]->work_ms = WORK_MS;
    lab_daemon_start(0, "zone-a");
    lab_daemon_start(1, "zone-b");
    lab_daemon_wait_ready(0);
    lab_daemon_wait_ready(1);
    /* All machines are in touch from here on. */
    lab_run(5000);
    for (unsigned i = 0; i < FLOWS; i++) {
        flows[i] = lab_open(i, (int)(i % 2), ROUTE_PORT, "console");
        lab_request(flows[i], "POST", 900);
        lab_run(50);
    }
    lab_run(500);
    /* Edits that are being worked on when the entry is written. */
    for (unsigned i = 0; i < FLOWS; i++) {
        lab_request(flows[i], "POST", 900);
    }
    lab_run(20);
    if (lab_trouble()) {
        write_foreign_entry();
    }
    lab_run(3500);
    for (unsigned i = 0; i < FLOWS; i++) {
        answered += flows[i]->answers;
        broken += flows[i]->reset_while_open && flows[i]->reset_by_daemon;
    }
    lab_record_log(0, "target_changed");
    lab_record_log(0, "reset");
    lab_record("%u of %u open flows of living backends reset by daemons; %u "
               "requests run, %u answered",
               broken, FLOWS, b[0]->runs + b[1]->runs, answered);
    lab_close();
    return broken > 0 ? 1 : answered == 2 * FLOWS ? 0 : 2;
}
