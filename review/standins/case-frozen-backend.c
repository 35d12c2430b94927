/* FLOW: a backend stands still for two seconds. Seconds after it goes on, a
 * daemon still takes it for dead, and resets an open flow whose client sends
 * a request of several packets. */

#include "lab.h"

#include <signal.h>
#include <stdio.h>

#define ROUTE_PORT 8080
#define CONSOLES 4
#define BODY_SIZE                                                             \
    3600 /* three packets and a part, as the largest requests                 \
          */

static const char routes[] =
    "{\"name\":\"r-rig\",\"host\":\"@ROUTE@\",\"prefix\":\"/8080/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":600,\"targetLatencyMs\":120,"
    "\"priority\":1,\"service\":\"rig\",\"maxAttempts\":2}";
static const char services[] =
    "{\"name\":\"rig\",\"healthPath\":\"/health\",\"maxConns\":2000,"
    "\"protocol\":\"h1\",\"tls\":false}";

/* Opens flows until one is at the backend; closes the others. */
static struct lab_flow *
open_at(struct lab_backend *b, unsigned client, int via, const char *name)
{
    for (int i = 0; i < 20; i++) {
        unsigned before = b->openings;
        struct lab_flow *f = lab_open(client, via, ROUTE_PORT, name);

        lab_request(f, "POST", 900);
        lab_run(100);
        if (b->openings > before) {
            return f;
        }
        lab_finish(f);
        lab_run(50);
    }
    lab_cannot_run("no flow opens at the backend");
}

int
main(int argc, char **argv)
{
    struct lab_flow *consoles[CONSOLES];
    struct lab_flow *idle;
    struct lab_backend *b;
    bool broken;

    lab_init(argc > 1 ? argv[1] : "record.txt");
    lab_write_config(routes, services, 15000);
    b = lab_backend_start(1, 1, "i-11d04be7", "rig", "zone-b");
    lab_register(b, "ready", 0, 0);
    b = lab_backend_start(0, 0, "i-7f3a91c2", "rig", "zone-a");
    lab_register(b, "ready", 0, 0);
    lab_daemon_start(0, "zone-a");
    lab_daemon_start(1, "zone-a");
    lab_daemon_wait_ready(0);
    lab_daemon_wait_ready(1);
    lab_run(3000);
    /* A console that will send nothing for some seconds. */
    idle = open_at(b, 0, 1, "idle-console");
    for (unsigned i = 0; i < CONSOLES; i++) {
        consoles[i] = open_at(b, 1 + i, 0, "console");
    }
    /* Planned: daemon 1 is stopped and started. */
    lab_daemon_signal(1, SIGTERM);
    lab_daemon_wait(1);
    lab_daemon_start(1, "zone-a");
    lab_daemon_wait_ready(1);
    lab_run(1000);
    b->frozen = lab_trouble();
    if (b->frozen) {
        lab_record("backend %s stands still", b->id);
    }
    for (unsigned i = 0; i < CONSOLES; i++) {
        lab_request(consoles[i], "POST", 900);
    }
    lab_run(2000);
    if (b->frozen) {
        b->frozen = false;
        lab_record("backend %s goes on", b->id);
    }
    /* Longer than stableWindowMs, 4,000 and 5,000 on the users' sites. */
    lab_run(5500);
    lab_request(idle, "POST", BODY_SIZE);
    lab_run(2500);
    broken = idle->reset_while_open && idle->reset_by_daemon;
    lab_record_log(0, "target_");
    lab_record_log(1, "target_");
    lab_record_log(1, "flow_reset");
    lab_record("the flow of the idle console was %s; %u of 2 answers",
               broken ? "reset by a daemon" : "not reset", idle->answers);
    lab_close();
    return broken ? 1 : idle->answers == 2 ? 0 : 2;
}
