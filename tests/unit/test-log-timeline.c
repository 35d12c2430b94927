#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ctl/log-timeline.h"

/* Beginning of a JSON log line. "time" is "MM:SS.mmm", past 10 o'clock. */
#define AT(time) "{\"time\":\"2026-12-04T10:" time "Z\",\"level\":\"info\","
#define FLOW "100.64.0.7:1040>198.18.0.1:443"
/* A different flow, although its id begins with that of FLOW up to the port */
#define OTHER_FLOW "100.64.0.7:10401>198.18.0.1:443"

#define DOMAIN_CHANGED(time, domain, state, revision)                         \
    AT(time)                                                                  \
    "\"message\":\"domain_changed\",\"domain\":\"" domain                     \
    "\",\"state\":\"" state "\",\"revision\":\"" revision "\"}"

/* The logs of two hosts as a log collector merges them: each line after the
 * name of its host, and not in the order of time. The last line has no host
 * name, so that the name of the source is printed instead. Two lines are not
 * log lines and must be counted as skipped. */
static const char *const log_lines[] = {
    "host-1 " AT("00:05.000") "\"message\":\"flow_placed\",\"flow\":\"" FLOW
                              "\",\"target\":\"i-1\",\"copy\":\"0\"}",
    "host-2 " AT(
        "00:05.200") "\"message\":\"flow_placed\",\"flow\":\"" OTHER_FLOW
                     "\",\"target\":\"i-2\"}",
    "host-1 " AT("00:09.000") "\"message\":\"flow_reset\",\"flow\":\"" FLOW
                              "\",\"cause\":\"target_silent\"}",
    "host-1 " AT("00:08.900") "\"message\":\"target_silent\",\"target\":"
                              "\"i-1\"}",
    "host-2 " AT("00:08.800") "\"message\":\"target_silent\",\"target\":"
                              "\"i-2\"}",
    "host-1 " AT("00:01.000") "\"message\":\"paused for 700 ms\"}",
    "host-2 " AT("00:02.000") "\"message\":\"paused for 900 ms\"}",
    "host-1 " AT("30:00.000") "\"message\":\"paused for 800 ms\"}",
    "not a log line",
    "{\"time\":\"yesterday\",\"message\":\"x\"}",
    "host-2 " AT("00:08.700") "\"message\":\"target_silent\",\"target\":"
                              "\"i-1\"}",
    AT("00:12.000") "\"message\":\"target_changed\",\"target\":\"i-1\","
                    "\"state\":\"gone\"}",
    /* Two emptied domains. That of i-4 is known from the placement of another
     * flow, the refused flow names no target. */
    "host-1 " DOMAIN_CHANGED("05:00.000", "east", "emptied", "7"),
    "host-2 " DOMAIN_CHANGED("05:00.200", "east", "emptied", "7"),
    "host-1 " DOMAIN_CHANGED("05:37.500", "east", "in use", "9"),
    "host-1 " DOMAIN_CHANGED("06:00.000", "west", "emptied", "11"),
    "host-1 " AT("04:00.000") "\"message\":\"flow_placed\",\"flow\":\"x\","
                              "\"target\":\"i-4\",\"domain\":\"east\"}",
    "host-1 " AT("06:01.000") "\"message\":\"flow_reset\",\"flow\":\"y\","
                              "\"cause\":\"domain_emptied\"}",
};

struct timeline_case {
    const char *flow;
    const char *target;
    const char *expected; /* NULL: no line names the flow or target */
};

static const struct timeline_case cases[] = {
    {FLOW, NULL,
     "2026-12-04T10:00:01.000Z host-1 paused for 700 ms\n"
     "2026-12-04T10:00:05.000Z host-1 flow_placed flow=" FLOW
     " target=i-1 copy=0\n"
     "2026-12-04T10:00:08.900Z host-1 target_silent target=i-1 (and 1 more "
     "lines of others)\n"
     "2026-12-04T10:00:09.000Z host-1 flow_reset flow=" FLOW
     " cause=target_silent\n"
     "2026-12-04T10:00:12.000Z some-file target_changed target=i-1 "
     "state=gone\n"},
    {"100.64.0.7:10401", NULL,
     "2026-12-04T10:00:02.000Z host-2 paused for 900 ms\n"
     "2026-12-04T10:00:05.200Z host-2 flow_placed flow=" OTHER_FLOW
     " target=i-2\n"
     "2026-12-04T10:00:08.800Z host-2 target_silent target=i-2\n"},
    {NULL, "i-2",
     "2026-12-04T10:00:08.800Z host-2 target_silent target=i-2\n"
     "1 lines give a flow to i-2\n"},
    {NULL, "i-4",
     "2026-12-04T10:05:00.000Z host-1 domain_changed domain=east "
     "state=emptied revision=7 (and 1 more lines of others)\n"
     "2026-12-04T10:05:37.500Z host-1 domain_changed domain=east "
     "state=in use revision=9\n"
     "east was emptied for 37.5 s\n"
     "1 lines give a flow to i-4\n"},
    {"y", NULL,
     "2026-12-04T10:05:00.000Z host-1 domain_changed domain=east "
     "state=emptied revision=7 (and 1 more lines of others)\n"
     "2026-12-04T10:05:37.500Z host-1 domain_changed domain=east "
     "state=in use revision=9\n"
     "2026-12-04T10:06:00.000Z host-1 domain_changed domain=west "
     "state=emptied revision=11\n"
     "2026-12-04T10:06:01.000Z host-1 flow_reset flow=y "
     "cause=domain_emptied\n"
     "east was emptied for 37.5 s\n"
     "west is emptied\n"},
    {"100.64.0.7:104", NULL, NULL},
    {NULL, "i-3", NULL},
};

static void
test_timelines(void **state)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const struct timeline_query query = {cases[i].flow, cases[i].target};
        struct log_timeline *timeline = log_timeline_new(&query);
        char *text = NULL;
        size_t len;
        FILE *out = open_memstream(&text, &len);
        bool found;

        for (size_t k = 0; k < sizeof(log_lines) / sizeof(*log_lines); k++) {
            log_timeline_add(timeline, "some-file", log_lines[k]);
        }
        found = log_timeline_print(timeline, out);
        fclose(out);
        assert_int_equal(found, cases[i].expected != NULL);
        assert_string_equal(text, found ? cases[i].expected : "");
        assert_int_equal(log_timeline_skipped(timeline), 2);
        free(text);
        log_timeline_destroy(timeline);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_timelines),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
