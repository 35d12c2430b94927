/* ROUTE: an entry of another writer, with fields missing, is used as a
 * backend, and its address is that of a backend of another service. */

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define LIVE_PORT 8080
#define EXPORT_PORT 8443
#define FLOWS 12

static const char routes[] =
    "{\"name\":\"r-live\",\"host\":\"@ROUTE@\",\"prefix\":\"/8080/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,"
    "\"priority\":1,\"service\":\"live\",\"maxAttempts\":2},"
    "{\"name\":\"r-export\",\"host\":\"@ROUTE@\",\"prefix\":\"/8443/\","
    "\"kind\":\"download\",\"timeoutMs\":3000,\"targetLatencyMs\":500,"
    "\"priority\":2,\"service\":\"export\",\"maxAttempts\":2}";
static const char services[] =
    "{\"name\":\"live\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false},"
    "{\"name\":\"export\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false}";

/* The entry of another writer, which still takes the address for that of a
 * backend of live. It lacks version, slots, coldLeftMs and sequence. */
static void
write_foreign_entry(void)
{
    char value[256];

    snprintf(value, sizeof(value),
             "{\"service\":\"live\",\"address\":\"%s\",\"zone\":\"zone-a\","
             "\"state\":\"ready\"}",
             lab_backend_address(2));
    lab_put("servers/monitor", value);
}

int
main(int argc, char **argv)
{
    struct lab_flow *flows[FLOWS];
    unsigned wrong = 0;
    unsigned answered = 0;
    struct lab_backend *b;

    lab_init(argc > 1 ? argv[1] : "record.txt");
    lab_write_config(routes, services, 15000);
    b = lab_backend_start(0, 0, "i-7f3a91c2", "live", "zone-a");
    lab_register(b, "ready", 0, 0);
    b = lab_backend_start(1, 1, "i-11d04be7", "live", "zone-b");
    lab_register(b, "ready", 0, 0);
    b = lab_backend_start(2, 2, "i-3390b1d4", "live", "zone-a");
    lab_register(b, "ready", 0, 0);
    lab_daemon_start(0, "zone-a");
    lab_daemon_start(1, "zone-b");
    lab_daemon_wait_ready(0);
    lab_daemon_wait_ready(1);
    lab_run(1000);
    /* The third backend of live leaves; its address is used again. */
    lab_register(b, "draining", 0, 0);
    lab_run(3500);
    lab_delete("servers/i-3390b1d4");
    lab_backend_end(b);
    lab_run(2500);
    b = lab_backend_start(2, 2, "i-5a60c3f8", "export", "zone-a");
    lab_register(b, "ready", 0, 0);
    lab_run(5000);
    if (lab_trouble()) {
        write_foreign_entry();
        lab_run(500);
    }
    for (unsigned i = 0; i < FLOWS; i++) {
        flows[i] = lab_open(i, (int)(i % 2), LIVE_PORT, "edit");
        lab_request(flows[i], "POST", 900);
        lab_run(100);
    }
    lab_run(2000);
    for (unsigned i = 0; i < FLOWS; i++) {
        answered += flows[i]->answers;
        wrong += strncmp(flows[i]->served_by, "export ", 7) == 0;
    }
    lab_record_log(0, "target_changed");
    lab_record("%u of %u requests on the route of service live were run by "
               "service export; %u answers",
               wrong, FLOWS, answered);
    lab_close();
    return wrong > 0 ? 1 : answered == FLOWS ? 0 : 2;
}
