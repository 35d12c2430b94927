#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "ctl/ctl.h"

#define PAGE_ITEMS_MAX "500" /* "limit" parameter: items of one API page */
#define EVENTS_POLL_INTERVAL_MS 500 /* --follow: delay after an empty page */
#define CELL_SIZE 256               /* bytes of one table cell with the NUL */
#define COLUMNS_MAX 8               /* including the final NULL column */

/* One column of a printed table. */
struct column {
    const char *heading; /* NULL ends the list of columns */
    const char *member;  /* JSON member whose value is printed */
    int width;           /* characters, 0: the last column, not padded */
};

struct table {
    const char *collection; /* first part of a list's path in the API */
    const char *kind;       /* first part of a resource's name */
    struct column columns[COLUMNS_MAX];
};

static const struct table tables[] = {
    {"services",
     "service",
     {{"ID", "id", 20},
      {"VERSION", "version", 8},
      {"TENANT", "tenant", 14},
      {"PORT", "port", 6},
      {"DOMAINS", "domains", 0},
      {NULL, NULL, 0}}},
    {"targets",
     "target",
     {{"SERVICE", "service", 20},
      {"ID", "id", 20},
      {"VERSION", "version", 8},
      {"DOMAIN", "domain", 16},
      {"ADDRESS", "address", 16},
      {"PORT", "port", 6},
      {"STATE", "state", 0},
      {NULL, NULL, 0}}},
    {"hosts",
     "host",
     {{"ID", "id", 20},
      {"VERSION", "version", 8},
      {"DOMAIN", "domain", 16},
      {"ADDRESS", "address", 16},
      {"STATE", "state", 0},
      {NULL, NULL, 0}}},
    {"key-rings",
     "key_ring",
     {{"ID", "id", 20},
      {"VERSION", "version", 8},
      {"KEYS", "keys", 0},
      {NULL, NULL, 0}}},
};

enum ctl_exit
ctl_report_error(const char *subject, const struct ctl_answer *answer)
{
    fprintf(stderr, "%s: %s\n", subject, ctl_answer_message(answer));
    switch (answer->http_status) {
    case 409:
    case 412:
        return CTL_CONFLICT;
    case 503:
        return CTL_UNREACHABLE;
    case 504:
        return CTL_OUTCOME_UNKNOWN;
    default:
        return CTL_REFUSED;
    }
}

/* Appends a string or an integer to a cell, and for an object its "id"
 * member. Other values are left out. */
static void
append_value(char cell[CELL_SIZE], const json_t *value)
{
    size_t len = strlen(cell);
    const json_t *printed =
        json_is_object(value) ? json_object_get(value, "id") : value;

    if (json_is_string(printed)) {
        snprintf(cell + len, CELL_SIZE - len, "%s",
                 json_string_value(printed));
    }
    else if (json_is_integer(printed)) {
        snprintf(cell + len, CELL_SIZE - len, "%" JSON_INTEGER_FORMAT,
                 json_integer_value(printed));
    }
}

static void
format_cell(char cell[CELL_SIZE], const json_t *value)
{
    cell[0] = '\0';
    if (!json_is_array(value)) {
        append_value(cell, value);
        return;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        size_t len = strlen(cell);

        snprintf(cell + len, CELL_SIZE - len, "%s", i == 0 ? "" : ",");
        append_value(cell, json_array_get(value, i));
    }
}

static void
print_heading(const struct table *table)
{
    for (const struct column *c = table->columns; c->heading != NULL; c++) {
        printf("%-*s", c->width, c->heading);
    }
    printf("\n");
}

static void
print_row(const struct table *table, const json_t *item)
{
    char cell[CELL_SIZE];

    for (const struct column *c = table->columns; c->heading != NULL; c++) {
        format_cell(cell, json_object_get(item, c->member));
        printf("%-*s%s", c->width, cell,
               strlen(cell) >= (size_t)c->width && c->width > 0 ? " " : "");
    }
    printf("\n");
}

static void
print_json(const json_t *json)
{
    json_dumpf(json, stdout, JSON_INDENT(2));
    printf("\n");
}

/* Appends the items of all pages of a list to "items". */
static enum ctl_exit
read_list(struct ctl *ctl, const char *what, json_t *items)
{
    char path[CTL_PATH_SIZE];
    char after[RESOURCE_NAME_SIZE] = "";
    const struct ctl_request request = {.method = CTL_GET, .path = path};
    struct ctl_answer answer;
    struct status st;
    enum ctl_exit result;

    do {
        const char *next;

        snprintf(path, sizeof(path),
                 "/v1/%s?limit=" PAGE_ITEMS_MAX "&after=%s", what, after);
        if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
            fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
            return CTL_UNREACHABLE;
        }
        if (answer.http_status != 200) {
            result = ctl_report_error(what, &answer);
            ctl_answer_clear(&answer);
            return result;
        }
        json_array_extend(items, json_object_get(answer.json, "items"));
        next = json_string_value(json_object_get(answer.json, "next"));
        snprintf(after, sizeof(after), "%s", next == NULL ? "" : next);
        ctl_answer_clear(&answer);
    } while (after[0] != '\0');
    return CTL_OK;
}

static enum ctl_exit
print_list(struct ctl *ctl, const struct table *table, const char *what)
{
    json_t *items = json_array();
    enum ctl_exit result = read_list(ctl, what, items);

    if (result == CTL_OK && ctl->output == CTL_JSON) {
        print_json(items);
    }
    else if (result == CTL_OK) {
        print_heading(table);
        for (size_t i = 0; i < json_array_size(items); i++) {
            print_row(table, json_array_get(items, i));
        }
    }
    json_decref(items);
    return result;
}

static enum ctl_exit
print_resource(struct ctl *ctl, const struct table *table, const char *name)
{
    char path[CTL_PATH_SIZE];
    const struct ctl_request request = {.method = CTL_GET, .path = path};
    struct ctl_answer answer;
    struct status st;
    enum ctl_exit result = CTL_OK;

    if (!ctl_resource_path(name, path)) {
        fprintf(stderr, "pimentohaven ctl: %s: not a resource name\n", name);
        return CTL_USAGE;
    }
    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
        return CTL_UNREACHABLE;
    }
    if (answer.http_status != 200) {
        result = ctl_report_error(name, &answer);
    }
    else if (ctl->output == CTL_JSON) {
        print_json(answer.json);
    }
    else {
        print_heading(table);
        print_row(table, answer.json);
    }
    ctl_answer_clear(&answer);
    return result;
}

enum ctl_exit
ctl_get(struct ctl *ctl, const char *what)
{
    size_t len = strcspn(what, "/");

    for (size_t i = 0; i < sizeof(tables) / sizeof(*tables); i++) {
        const struct table *table = &tables[i];

        if (strlen(table->collection) == len &&
            strncmp(what, table->collection, len) == 0) {
            return print_list(ctl, table, what);
        }
        if (strlen(table->kind) == len &&
            strncmp(what, table->kind, len) == 0) {
            return print_resource(ctl, table, what);
        }
    }
    fprintf(stderr,
            "pimentohaven ctl: get: expected services, targets, hosts, "
            "key-rings or a resource name\n");
    return CTL_USAGE;
}

static void
print_event(const struct ctl *ctl, const json_t *event)
{
    json_int_t time_us = json_integer_value(json_object_get(event, "time_us"));
    time_t seconds = (time_t)(time_us / (json_int_t)USEC_PER_SEC);
    struct tm tm;
    char stamp[32];
    const char *cause = json_string_value(json_object_get(event, "cause"));

    if (ctl->output == CTL_JSON) {
        json_dumpf(event, stdout, JSON_COMPACT);
        printf("\n");
        return;
    }
    gmtime_r(&seconds, &tm);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ", &tm);
    printf("%-8" JSON_INTEGER_FORMAT "%-22s%-18s %-30s %s\n",
           json_integer_value(json_object_get(event, "number")), stamp,
           json_string_value(json_object_get(event, "kind")),
           json_string_value(json_object_get(event, "subject")),
           cause == NULL ? "" : cause);
}

/* Prints one page of events and sets "after" to the position of the next page.
 * Returns the number of events printed, or -1 with "result" set. */
static int
print_events_page(struct ctl *ctl, uint64_t *after, enum ctl_exit *result)
{
    char path[CTL_PATH_SIZE];
    const struct ctl_request request = {.method = CTL_GET, .path = path};
    struct ctl_answer answer;
    struct status st;
    const json_t *events;
    int count;

    snprintf(path, sizeof(path),
             "/v1/events?limit=" PAGE_ITEMS_MAX "&after=%" PRIu64, *after);
    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
        *result = CTL_UNREACHABLE;
        return -1;
    }
    if (answer.http_status != 200) {
        *result = ctl_report_error("events", &answer);
        ctl_answer_clear(&answer);
        return -1;
    }
    events = json_object_get(answer.json, "events");
    count = (int)json_array_size(events);
    for (int i = 0; i < count; i++) {
        print_event(ctl, json_array_get(events, (size_t)i));
    }
    *after =
        (uint64_t)json_integer_value(json_object_get(answer.json, "next"));
    ctl_answer_clear(&answer);
    return count;
}

/* Each balancer numbers its events independently, so all pages are requested
 * from the balancer that answered the first request. */
enum ctl_exit
ctl_events(struct ctl *ctl, uint64_t after, bool follow)
{
    const struct timespec pause = {.tv_nsec =
                                       EVENTS_POLL_INTERVAL_MS * 1000000L};
    enum ctl_exit result = CTL_OK;
    int count;

    do {
        count = print_events_page(ctl, &after, &result);
        ctl_api_pin(&ctl->api);
        if (count == 0 && follow) {
            fflush(stdout);
            /* The requests up to the next empty page have a limit of 10 s. */
            ctl->api.deadline = clock_monotonic_us() + USEC_PER_SEC * 10;
            nanosleep(&pause, NULL);
        }
    } while (count > 0 || (count == 0 && follow));
    return result;
}

enum ctl_exit
ctl_metrics(struct ctl *ctl)
{
    const struct ctl_request request = {.method = CTL_GET, .path = "/metrics"};
    struct ctl_answer answer;
    struct status st;
    enum ctl_exit result = CTL_OK;

    if (!ctl_api_call(&ctl->api, &request, &answer, &st)) {
        fprintf(stderr, "pimentohaven ctl: %s\n", st.message);
        return CTL_UNREACHABLE;
    }
    if (answer.http_status == 200) {
        fputs(answer.text, stdout);
    }
    else {
        result = ctl_report_error("metrics", &answer);
    }
    ctl_answer_clear(&answer);
    return result;
}
