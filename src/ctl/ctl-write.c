#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"
#include "protocol/resource-json.h"

#define STATE_ATTEMPTS 5 /* of a drain that another write interferes with */
#define FATE_POLL_MS 500

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

/* Takes version and revision from the answer to an accepted write. */
static uint64_t
take_accepted(struct ctl *ctl, const struct ctl_answer *answer)
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

/* Asks what became of a write, once. Returns false while that is not
 * settled. */
static bool
ask_fate(struct ctl *ctl, const char *name, const char *url,
         enum ctl_exit *result, uint64_t *version)
{
    const struct ctl_request request = {.method = CTL_GET, .path = url};
    struct ctl_answer answer;
    struct status st;
    const char *outcome;
    bool settled = true;

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
        fprintf(stderr, "%s: another write came first\n", name);
        *result = CTL_CONFLICT;
    }
    else {
        settled = false;
    }
    ctl_answer_clear(&answer);
    return settled;
}

/* The API cannot tell the outcome: asks again until the time is up. */
static enum ctl_exit
resolve_unknown(struct ctl *ctl, const char *name,
                const struct ctl_answer *answer, uint64_t *version)
{
    const char *url = json_string_value(json_object_get(answer->json, "url"));
    enum ctl_exit result = CTL_UNKNOWN;

    while (url != NULL && clock_monotonic_us() < ctl->api.deadline) {
        if (ask_fate(ctl, name, url, &result, version)) {
            return result;
        }
        sleep_ms(FATE_POLL_MS);
    }
    fprintf(stderr, "%s: %s; ask GET %s\n", name, ctl_answer_message(answer),
            url == NULL ? "?" : url);
    return CTL_UNKNOWN;
}

static enum ctl_exit
report_unknown(const char *name, const char *message, const char *write_id)
{
    fprintf(stderr, "%s: %s; whether write %s was accepted is not known\n",
            name, message, write_id);
    return CTL_UNKNOWN;
}

/* Whether a refusal also speaks for an attempt whose answer was lost: with the
 * version moved, that one cannot succeed any more. */
static bool
is_final(int http_status)
{
    return http_status == 409 || http_status == 412;
}

/* Sends a write and sees to its outcome. */
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
        return report_unknown(name, st.message, write_id);
    }
    if (answer.http_status == 202) {
        *new_version = take_accepted(ctl, &answer);
    }
    else if (answer.http_status == 504) {
        result = resolve_unknown(ctl, name, &answer, new_version);
    }
    else if (answer.maybe_done && !is_final(answer.http_status)) {
        result = report_unknown(name, ctl_answer_message(&answer), write_id);
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

/* Reads what must be there; "r" names it. */
static enum ctl_exit
read_existing(struct ctl *ctl, const char *name, struct resource *r)
{
    bool exists = false;
    enum ctl_exit result = ctl_read(ctl, r, &exists);

    if (result == CTL_OK && !exists) {
        fprintf(stderr, "%s: there is no such resource\n", name);
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
        fprintf(stderr, "pimentohaven ctl: %s: no name of a resource\n", name);
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

/* Changes the state of what was read. Returns false for a kind without a
 * state. */
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

/* One attempt to read, change and write. */
static enum ctl_exit
try_set_state(struct ctl *ctl, const char *name, enum admin_state state)
{
    struct resource r;
    uint64_t version = 0;
    bool changed = false;
    enum ctl_exit result;

    if (!resource_name_parse(&r, name) || !change_state(&r, state, &changed)) {
        fprintf(stderr, "pimentohaven ctl: %s: no name of a target or host\n",
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

/* Another operator's write to the same resource does not speak against this
 * one, so after a conflict the state is changed in what is there now. */
enum ctl_exit
ctl_set_state(struct ctl *ctl, const char *name, enum admin_state state)
{
    enum ctl_exit result = CTL_CONFLICT;

    for (int i = 0; i < STATE_ATTEMPTS && result == CTL_CONFLICT; i++) {
        result = try_set_state(ctl, name, state);
    }
    return result;
}
