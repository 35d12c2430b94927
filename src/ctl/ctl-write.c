#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "protocol/resource-json.h"

/* Maximum number of attempts to change a state when other writes to the
 * resource conflict. */
#define SET_STATE_ATTEMPTS_MAX 5
/* Delay between two queries for the outcome of a write. */
#define OUTCOME_POLL_INTERVAL_MS 500

static const struct {
    enum resource_kind kind;
    const char *collection;
} collections[] = {
    {RESOURCE_SERVICE, "services"},
    {RESOURCE_TARGET, "targets"},
    {RESOURCE_HOST, "hosts"},
    {RESOURCE_KEY_RING, "key-rings"},
};

bool
ctl_resource_path(const char *name, char out[CTL_PATH_SIZE])
{
    struct resource r;

    if (!resource_name_parse(&r, name)) {
        return false;
    }
    for (size_t i = 0; i < sizeof(collections) / sizeof(*collections); i++) {
        if (collections[i].kind == r.kind) {
            snprintf(out, CTL_PATH_SIZE, "/v1/%s%s", collections[i].collection,
                     strchr(name, '/'));
        }
    }
    return true;
}

static enum ctl_exit
report_unreachable(const struct status *st)
{
    fprintf(stderr, "pimentohaven ctl: %s\n", st->message);
    return CTL_UNREACHABLE;
}

enum ctl_exit
ctl_read(struct ctl *ctl, struct resource *r, bool *exists)
{
    char name[RESOURCE_NAME_SIZE];
    char path[CTL_PATH_SIZE];
    const struct ctl_request request = {.method = CTL_GET, .path = path};
    struct ctl_answer answer;
    struct status st;
    enum ctl_exit result = CTL_OK;

    resource_name(r, name);
    ctl_resource_path(name, path);
    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        return report_unreachable(&st);
    }
    *exists = answer.http_status == 200;
    if (*exists && !resource_json_parse(r, RESOURCE_JSON_OPERATOR, answer.text,
                                        strlen(answer.text), &st)) {
        fprintf(stderr, "pimentohaven ctl: %s: %s\n", name, st.message);
        result = CTL_REFUSED;
    }
    else if (!*exists && answer.http_status != 404) {
        result = ctl_report_error(name, &answer);
    }
    r->version = answer.version;
    ctl_answer_clear(&answer);
    return result;
}

/* Raises ctl->revision to the store revision of an accepted write. Returns the
 * written version. */
static uint64_t
record_accepted(struct ctl *ctl, const struct ctl_answer *answer)
{
    json_int_t revision =
        json_integer_value(json_object_get(answer->json, "revision"));

    if (revision > 0 && (uint64_t)revision > ctl->revision) {
        ctl->revision = (uint64_t)revision;
    }
    return answer->version;
}

static void
sleep_ms(long ms)
{
    const struct timespec ts = {
        .tv_sec = ms / 1000,
        .tv_nsec = ms % 1000 * 1000000,
    };

    nanosleep(&ts, NULL);
}

/* Queries the outcome of a write once. Returns false while the outcome is not
 * known; otherwise sets "result" and, for an accepted write, "version". */
static bool
query_outcome(struct ctl *ctl, const char *name, const char *url,
              enum ctl_exit *result, uint64_t *version)
{
    const struct ctl_request request = {.method = CTL_GET, .path = url};
    struct ctl_answer answer;
    struct status st;
    const char *outcome;
    bool known = true;

    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        return false;
    }
    outcome = json_string_value(json_object_get(answer.json, "outcome"));
    if (outcome != NULL && strcmp(outcome, "accepted") == 0) {
        *version = (uint64_t)json_integer_value(
            json_object_get(answer.json, "version"));
        *result = CTL_OK;
    }
    else if (outcome != NULL && strcmp(outcome, "not_written") == 0) {
        fprintf(stderr,
                "%s: not written: another write to it was accepted first\n",
                name);
        *result = CTL_CONFLICT;
    }
    else {
        known = false;
    }
    ctl_answer_clear(&answer);
    return known;
}

/* Handles the answer that the outcome of a write is unknown: polls the URL
 * that the answer gives until the outcome is known or the deadline passes. */
static enum ctl_exit
poll_outcome(struct ctl *ctl, const char *name,
             const struct ctl_answer *answer, uint64_t *version)
{
    const char *url = json_string_value(json_object_get(answer->json, "url"));
    enum ctl_exit result = CTL_OUTCOME_UNKNOWN;

    while (url != NULL && clock_monotonic_us() < ctl->api.deadline) {
        if (query_outcome(ctl, name, url, &result, version)) {
            return result;
        }
        sleep_ms(OUTCOME_POLL_INTERVAL_MS);
    }
    fprintf(stderr, "%s: %s; query the outcome with GET %s\n", name,
            ctl_answer_message(answer), url == NULL ? "?" : url);
    return CTL_OUTCOME_UNKNOWN;
}

static enum ctl_exit
report_outcome_unknown(const char *name, const char *message,
                       const char *write_id)
{
    fprintf(stderr, "%s: %s; it is unknown whether write %s was accepted\n",
            name, message, write_id);
    return CTL_OUTCOME_UNKNOWN;
}

/* Returns true for a refusal that also settles an earlier attempt whose answer
 * was lost: 409 and 412 say that the stored version is another one, so that
 * attempt can no longer be accepted. */
static bool
rules_out_lost_attempt(int http_status)
{
    return http_status == 409 || http_status == 412;
}

/* Sends a write and determines its outcome. "version" is the one to replace, 0
 * to create the resource. On success sets "new_version". */
static enum ctl_exit
send_write(struct ctl *ctl, const char *name, enum ctl_method method,
           const char *body, uint64_t version, uint64_t *new_version)
{
    char path[CTL_PATH_SIZE];
    char match[32];
    char write_id[WRITE_ID_SIZE];
    const struct ctl_request request = {
        .method = method,
        .path = path,
        .body = body,
        .match = version > 0 ? match : NULL,
        .create = version == 0,
        .write_id = write_id,
    };
    struct ctl_answer answer;
    struct status st;
    enum ctl_exit result = CTL_OK;

    ctl_resource_path(name, path);
    snprintf(match, sizeof(match), "\"%" PRIu64 "\"", version);
    ctl_new_write_id(write_id);
    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        if (st.kind != ERR_STORE_UNKNOWN) {
            return report_unreachable(&st);
        }
        return report_outcome_unknown(name, st.message, write_id);
    }
    if (answer.http_status == 202) {
        *new_version = record_accepted(ctl, &answer);
    }
    else if (answer.http_status == 504) {
        result = poll_outcome(ctl, name, &answer, new_version);
    }
    else if (answer.answer_lost &&
             !rules_out_lost_attempt(answer.http_status)) {
        result = report_outcome_unknown(name, ctl_answer_message(&answer),
                                        write_id);
    }
    else {
        result = ctl_report_error(name, &answer);
    }
    ctl_answer_clear(&answer);
    return result;
}

enum ctl_exit
ctl_write(struct ctl *ctl, const struct resource *r, uint64_t version,
          uint64_t *new_version)
{
    char name[RESOURCE_NAME_SIZE];
    char *body = resource_json_build(r, RESOURCE_JSON_OPERATOR);
    enum ctl_exit result;

    if (body == NULL) {
        fprintf(stderr, "pimentohaven ctl: out of memory\n");
        return CTL_REFUSED;
    }
    resource_name(r, name);
    result = send_write(ctl, name, CTL_PUT, body, version, new_version);
    free(body);
    return result;
}

/* Reads the resource that "r" identifies, as ctl_read() does, and reports an
 * error when it does not exist. */
static enum ctl_exit
read_existing(struct ctl *ctl, const char *name, struct resource *r)
{
    bool exists = false;
    enum ctl_exit result = ctl_read(ctl, r, &exists);

    if (result == CTL_OK && !exists) {
        fprintf(stderr, "%s: no such resource\n", name);
        return CTL_REFUSED;
    }
    return result;
}

enum ctl_exit
ctl_delete(struct ctl *ctl, const char *name)
{
    struct resource r;
    uint64_t version = 0;
    enum ctl_exit result;

    if (!resource_name_parse(&r, name)) {
        fprintf(stderr, "pimentohaven ctl: %s: not a resource name\n", name);
        return CTL_USAGE;
    }
    result = read_existing(ctl, name, &r);
    if (result != CTL_OK) {
        return result;
    }
    result = send_write(ctl, name, CTL_DELETE, NULL, r.version, &version);
    if (result == CTL_OK) {
        printf("%s deleted (version %" PRIu64 ")\n", name, version);
    }
    return result;
}

/* Sets the administrative state in "r", and sets "changed" to whether the old
 * state differed. Returns false for a kind of resource without a state. */
static bool
change_state(struct resource *r, enum admin_state state, bool *changed)
{
    enum admin_state *field;

    if (r->kind == RESOURCE_TARGET) {
        field = &r->target.state;
    }
    else if (r->kind == RESOURCE_HOST) {
        field = &r->host.state;
    }
    else {
        return false;
    }
    *changed = *field != state;
    *field = state;
    return true;
}

/* Reads the resource, sets its state and writes it back, once. */
static enum ctl_exit
try_set_state(struct ctl *ctl, const char *name, enum admin_state state)
{
    struct resource r;
    uint64_t version = 0;
    bool changed = false;
    enum ctl_exit result;

    if (!resource_name_parse(&r, name) || !change_state(&r, state, &changed)) {
        fprintf(stderr,
                "pimentohaven ctl: %s: not the name of a target or host\n",
                name);
        return CTL_USAGE;
    }
    result = read_existing(ctl, name, &r);
    if (result != CTL_OK) {
        return result;
    }
    change_state(&r, state, &changed);
    if (!changed) {
        printf("%s is %s already (version %" PRIu64 ")\n", name,
               admin_state_name(state), r.version);
        return CTL_OK;
    }
    result = ctl_write(ctl, &r, r.version, &version);
    if (result == CTL_OK) {
        printf("%s %s (version %" PRIu64 ")\n", name, admin_state_name(state),
               version);
    }
    return result;
}

/* A concurrent write by another operator does not make this change wrong, so
 * after a conflict the resource is read again and its state set in the new
 * version. */
enum ctl_exit
ctl_set_state(struct ctl *ctl, const char *name, enum admin_state state)
{
    enum ctl_exit result = CTL_CONFLICT;

    for (int i = 0; i < SET_STATE_ATTEMPTS_MAX && result == CTL_CONFLICT;
         i++) {
        result = try_set_state(ctl, name, state);
    }
    return result;
}
