#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"

#define POLL_INTERVAL_MS 200 /* delay between two status requests */

static uint64_t
get_number(const json_t *json, const char *member)
{
    return (uint64_t)json_integer_value(json_object_get(json, member));
}

static const char *
get_text(const json_t *json, const char *member)
{
    const char *text = json_string_value(json_object_get(json, member));

    return text == NULL ? "?" : text;
}

/* Requests the status. On success the caller frees "answer" with
 * ctl_answer_clear(). */
static enum ctl_exit
read_status(struct ctl *ctl, struct ctl_answer *answer)
{
    const struct ctl_request request = {.method = CTL_GET,
                                        .path = "/v1/status"};
    struct status st;
    enum ctl_exit result;

    if (!ctl_api_call(&ctl->api, &request, answer, &st)) {
        fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
        return CTL_UNREACHABLE;
    }
    if (answer->http_status == 200 && answer->json != NULL) {
        return CTL_OK;
    }
    result = ctl_report_error("status", answer);
    ctl_answer_clear(answer);
    return result;
}

/* Prints the hosts that have not applied "revision", and the number of further
 * hosts that the failure domain's report does not name. Returns the number of
 * named hosts printed. */
static size_t
print_hosts_behind(const json_t *domain, uint64_t revision)
{
    const json_t *waiting = json_object_get(domain, "waiting");
    uint64_t now = clock_wall_us();
    size_t count = 0;

    for (size_t i = 0; i < json_array_size(waiting); i++) {
        const json_t *host = json_array_get(waiting, i);
        uint64_t applied = get_number(host, "applied");
        uint64_t since = get_number(host, "since_us");
        uint64_t waited = now > since ? (now - since) / USEC_PER_SEC : 0;

        if (applied < revision) {
            count++;
            printf("  waits for %s (%s, has revision %" PRIu64 ") for %" PRIu64
                   " s\n",
                   get_text(host, "host"), get_text(host, "state"), applied,
                   waited);
        }
    }
    if (get_number(domain, "waiting_more") > 0) {
        printf("  and for %" PRIu64 " more\n",
               get_number(domain, "waiting_more"));
    }
    return count;
}

/* Prints the age of a failure domain's report, for a domain whose report names
 * no host that is behind. */
static void
print_report_age(const json_t *domain)
{
    uint64_t written = get_number(domain, "time_us");
    uint64_t now = clock_wall_us();

    if (written > 0 && written < now) {
        printf("  last report by %s, %" PRIu64 " s ago\n",
               get_text(domain, "writer"),
               (uint64_t)((now - written) / USEC_PER_SEC));
    }
    else {
        printf("  no report yet\n");
    }
}

static void
print_status(const json_t *status, uint64_t revision)
{
    const json_t *domains = json_object_get(status, "domains");

    printf("revision %" PRIu64 ", store %s, as host %s sees it\n", revision,
           get_text(status, "store"), get_text(status, "host"));
    printf("%-20s%-12s%-10s%s\n", "DOMAIN", "REVISION", "HOSTS", "IN FORCE");
    for (size_t i = 0; i < json_array_size(domains); i++) {
        const json_t *domain = json_array_get(domains, i);
        uint64_t min_revision = get_number(domain, "floor");
        char hosts[24] = "?";

        if (json_object_get(domain, "members") != NULL) {
            snprintf(hosts, sizeof(hosts), "%" PRIu64,
                     get_number(domain, "members"));
        }
        printf("%-20s%-12" PRIu64 "%-10s%s\n", get_text(domain, "domain"),
               min_revision, hosts, min_revision >= revision ? "yes" : "no");
        if (min_revision < revision &&
            print_hosts_behind(domain, revision) == 0) {
            print_report_age(domain);
        }
    }
}

static bool
is_in_effect(const json_t *status, uint64_t revision)
{
    const json_t *domains = json_object_get(status, "domains");

    for (size_t i = 0; i < json_array_size(domains); i++) {
        if (get_number(json_array_get(domains, i), "floor") < revision) {
            return false;
        }
    }
    return json_array_size(domains) > 0;
}

static void
print_answer(const struct ctl *ctl, const struct ctl_answer *answer,
             uint64_t revision)
{
    if (ctl->output == CTL_JSON) {
        json_dumpf(answer->json, stdout, JSON_INDENT(2));
        printf("\n");
        return;
    }
    print_status(answer->json, revision);
}

/* Polls the status until "revision" is in effect in every failure domain or
 * the deadline passes. Prints the last status unless "quiet" is set, and
 * always after a timeout. Revision 0 stands for the newest revision in the
 * first answer. */
static enum ctl_exit
poll_until_in_effect(struct ctl *ctl, uint64_t revision, bool quiet)
{
    const struct timespec pause = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};
    struct ctl_answer answer;
    enum ctl_exit result;

    for (;;) {
        result = read_status(ctl, &answer);
        if (result != CTL_OK) {
            return result;
        }
        if (revision == 0) {
            revision = get_number(answer.json, "revision");
        }
        if (is_in_effect(answer.json, revision)) {
            break;
        }
        if (clock_monotonic_us() >= ctl->api.deadline) {
            result = CTL_WAIT_TIMED_OUT;
            break;
        }
        ctl_answer_clear(&answer);
        nanosleep(&pause, NULL);
    }
    if (!quiet || result != CTL_OK) {
        print_answer(ctl, &answer, revision);
    }
    ctl_answer_clear(&answer);
    return result;
}

enum ctl_exit
ctl_wait_in_effect(struct ctl *ctl, uint64_t revision)
{
    enum ctl_exit result = poll_until_in_effect(ctl, revision, true);

    if (result == CTL_OK) {
        printf("in force in every failure domain\n");
    }
    else if (result == CTL_WAIT_TIMED_OUT) {
        fprintf(stderr, "accepted, but not yet in force everywhere\n");
    }
    return result;
}

enum ctl_exit
ctl_status(struct ctl *ctl)
{
    struct ctl_answer answer;
    enum ctl_exit result;

    if (ctl->wait) {
        return poll_until_in_effect(ctl, 0, false);
    }
    result = read_status(ctl, &answer);
    if (result == CTL_OK) {
        print_answer(ctl, &answer, get_number(answer.json, "revision"));
        ctl_answer_clear(&answer);
    }
    return result;
}
