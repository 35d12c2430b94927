#include "ctl/log-timeline.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/clock.h"

/* Lines about a related target or balancer are selected from this long before
 * the first line about the flow to this long after the last one. */
#define RELATED_WINDOW_US (20 * USEC_PER_SEC)

/* Later than any line. */
#define TIME_MAX_US (UINT64_MAX / 2)

/* Message of a change of a failure domain, its state while the operator's
 * order to empty it is in effect, and the cause of a refusal for it. */
#define DOMAIN_CHANGED_MESSAGE "domain_changed"
#define DOMAIN_EMPTIED_STATE "emptied"
#define DOMAIN_EMPTIED_CAUSE "domain_emptied"

/* Prefixes of log messages that concern a host as a whole. */
static const char *const host_message_prefixes[] = {
    "host ",      "ready with", "planned stop",   "stopped",
    "paused for", "settings",   "platform store",
};

struct timeline_entry {
    uint64_t at_us;     /* time of the line, since the Unix epoch */
    size_t number;      /* position in the input; breaks ties of at_us */
    const char *source; /* host or file name; interned */
    const char *target; /* target id, NULL: names no target; interned */
    const char *domain; /* failure domain, NULL: names none; interned */
    bool emptied;    /* of a change of a failure domain: the order was given */
    bool names_flow; /* the line has a flow field */
    char *text;      /* the line as printed: time, source, message, fields */
    const char *message; /* points into "text": message and fields */
    /* Lines of other hosts with the same message and fields, not printed. */
    unsigned duplicates;
};

struct log_timeline {
    struct timeline_query query;
    /* All four arrays hold struct timeline_entry: */
    GPtrArray *named;      /* lines with the flow or the target of the query */
    GPtrArray *targets;    /* lines about another target */
    GPtrArray *hosts;      /* lines about a host */
    GPtrArray *domains;    /* changes of failure domains */
    GHashTable *domain_of; /* target -> its failure domain, both interned */
    bool refused_emptied;  /* a line of the flow was refused for an order */
    size_t lines;          /* lines read, without the skipped ones */
    size_t skipped;        /* non-empty lines that are not log lines */
    size_t placements;     /* lines that name a flow and the query's target */
};

static void
line_free(gpointer p)
{
    struct timeline_entry *line = p;

    g_free(line->text);
    g_free(line);
}

struct log_timeline *
log_timeline_new(const struct timeline_query *query)
{
    struct log_timeline *timeline = g_new0(struct log_timeline, 1);

    timeline->query = *query;
    timeline->named = g_ptr_array_new_with_free_func(line_free);
    timeline->targets = g_ptr_array_new_with_free_func(line_free);
    timeline->hosts = g_ptr_array_new_with_free_func(line_free);
    timeline->domains = g_ptr_array_new_with_free_func(line_free);
    timeline->domain_of = g_hash_table_new(g_direct_hash, g_direct_equal);
    return timeline;
}

void
log_timeline_destroy(struct log_timeline *timeline)
{
    g_ptr_array_free(timeline->named, TRUE);
    g_ptr_array_free(timeline->targets, TRUE);
    g_ptr_array_free(timeline->hosts, TRUE);
    g_ptr_array_free(timeline->domains, TRUE);
    g_hash_table_destroy(timeline->domain_of);
    g_free(timeline);
}

size_t
log_timeline_skipped(const struct log_timeline *timeline)
{
    return timeline->skipped;
}

/* Returns the last word before the JSON object, where log collectors put the
 * host name, or "source" when there is none. The string is interned. */
static const char *
parse_source(const char *line, const char *object, const char *source)
{
    char *before = g_strstrip(g_strndup(line, (gsize)(object - line)));
    const char *space = strrchr(before, ' ');
    const char *word = space == NULL ? before : space + 1;
    const char *found = g_intern_string(*word == '\0' ? source : word);

    g_free(before);
    return found;
}

static const char *
get_text(const json_t *json, const char *name)
{
    return json_string_value(json_object_get(json, name));
}

static bool
read_time(const json_t *json, uint64_t *at_us)
{
    const char *text = get_text(json, "time");
    GDateTime *time =
        text == NULL ? NULL : g_date_time_new_from_iso8601(text, NULL);

    if (time == NULL) {
        return false;
    }
    *at_us = (uint64_t)g_date_time_to_unix(time) * USEC_PER_SEC +
             (uint64_t)g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return true;
}

/* Formats a line for printing: time, source, message, and all other string
 * fields except level and module. */
static char *
format_line(const json_t *json, const char *source)
{
    static const char *const omitted[] = {"time", "level", "module",
                                          "message"};
    GString *text = g_string_new(NULL);
    const char *name;
    json_t *value;

    g_string_append_printf(text, "%s %s %s", get_text(json, "time"), source,
                           get_text(json, "message"));
    json_object_foreach((json_t *)json, name, value)
    {
        bool shown = json_is_string(value);

        for (size_t i = 0; i < G_N_ELEMENTS(omitted); i++) {
            shown = shown && strcmp(name, omitted[i]) != 0;
        }
        if (shown) {
            g_string_append_printf(text, " %s=%s", name,
                                   json_string_value(value));
        }
    }
    return g_string_free(text, FALSE);
}

/* Whether "flow" matches the flow of the query: it is equal to it, or begins
 * with it up to a ':' or '>'. */
static bool
matches_flow(const struct log_timeline *timeline, const char *flow)
{
    const char *wanted = timeline->query.flow;
    size_t len;

    if (wanted == NULL || flow == NULL) {
        return false;
    }
    len = strlen(wanted);
    return strncmp(flow, wanted, len) == 0 &&
           (flow[len] == '\0' || flow[len] == ':' || flow[len] == '>');
}

static bool
is_about_host(const char *message)
{
    for (size_t i = 0; i < G_N_ELEMENTS(host_message_prefixes); i++) {
        if (g_str_has_prefix(message, host_message_prefixes[i])) {
            return true;
        }
    }
    return false;
}

/* Returns the list that a line is added to, or NULL for a line that is not
 * needed. "flow" is the line's flow field, NULL when it has none. */
static GPtrArray *
choose_list(struct log_timeline *timeline, const struct timeline_entry *line,
            const char *flow, const char *message)
{
    bool is_queried_target =
        timeline->query.target != NULL &&
        g_strcmp0(line->target, timeline->query.target) == 0;

    if (flow != NULL) {
        timeline->placements += is_queried_target;
        return matches_flow(timeline, flow) ? timeline->named : NULL;
    }
    if (line->target != NULL) {
        return is_queried_target ? timeline->named : timeline->targets;
    }
    if (line->domain != NULL) {
        return strcmp(message, DOMAIN_CHANGED_MESSAGE) == 0 ? timeline->domains
                                                            : NULL;
    }
    return is_about_host(message) ? timeline->hosts : NULL;
}

static void
add_object(struct log_timeline *timeline, const json_t *json,
           const char *source)
{
    const char *message = get_text(json, "message");
    const char *flow = get_text(json, "flow");
    struct timeline_entry *line = g_new0(struct timeline_entry, 1);
    GPtrArray *list;

    if (message == NULL || !read_time(json, &line->at_us)) {
        timeline->skipped++;
        g_free(line);
        return;
    }
    line->number = timeline->lines;
    timeline->lines++;
    line->source = source;
    line->names_flow = flow != NULL;
    line->target = g_intern_string(get_text(json, "target"));
    line->domain = g_intern_string(get_text(json, "domain"));
    line->emptied =
        g_strcmp0(get_text(json, "state"), DOMAIN_EMPTIED_STATE) == 0;
    if (line->target != NULL && line->domain != NULL) {
        g_hash_table_insert(timeline->domain_of, (gpointer)line->target,
                            (gpointer)line->domain);
    }
    list = choose_list(timeline, line, flow, message);
    if (list == timeline->named &&
        g_strcmp0(get_text(json, "cause"), DOMAIN_EMPTIED_CAUSE) == 0) {
        timeline->refused_emptied = true;
    }
    if (list == NULL) {
        g_free(line);
        return;
    }
    line->text = format_line(json, source);
    line->message = strchr(strchr(line->text, ' ') + 1, ' ') + 1;
    g_ptr_array_add(list, line);
}

void
log_timeline_add(struct log_timeline *timeline, const char *source,
                 const char *line)
{
    const char *object = strchr(line, '{');
    json_t *json = object == NULL
                       ? NULL
                       : json_loads(object, JSON_DISABLE_EOF_CHECK, NULL);

    if (!json_is_object(json)) {
        timeline->skipped += *line != '\0';
    }
    else {
        add_object(timeline, json, parse_source(line, object, source));
    }
    json_decref(json);
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const struct timeline_entry *x = *(const struct timeline_entry *const *)a;
    const struct timeline_entry *y = *(const struct timeline_entry *const *)b;

    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->number < y->number ? -1 : 1;
}

static bool
is_in_window(const struct timeline_entry *line, uint64_t first, uint64_t last)
{
    return line->at_us + RELATED_WINDOW_US >= first &&
           line->at_us <= last + RELATED_WINDOW_US;
}

/* What a line that does not name the flow or target of the query is about. */
static const char *
line_key(const struct timeline_entry *line)
{
    if (line->target != NULL) {
        return line->target;
    }
    return line->domain != NULL ? line->domain : line->source;
}

/* Adds those lines of "from" to "selected" that are within RELATED_WINDOW_US
 * of the time from "first" to "last" and whose target, failure domain, or
 * source when they name neither, is in "set". Of lines with the same message
 * and fields about a target or failure domain only the one read first is
 * added; those of other hosts are counted in it. */
static void
add_related(GPtrArray *selected, const GPtrArray *from, GHashTable *set,
            uint64_t first, uint64_t last)
{
    GHashTable *first_by_message = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < from->len; i++) {
        struct timeline_entry *line = g_ptr_array_index(from, i);
        const char *key = line_key(line);
        struct timeline_entry *same =
            key == line->source
                ? NULL
                : g_hash_table_lookup(first_by_message, line->message);

        if (!is_in_window(line, first, last) ||
            !g_hash_table_contains(set, key)) {
            continue;
        }
        if (same != NULL) {
            same->duplicates += same->source != line->source;
            continue;
        }
        g_hash_table_insert(first_by_message, (gpointer)line->message, line);
        g_ptr_array_add(selected, line);
    }
    g_hash_table_destroy(first_by_message);
}

/* Adds the changes of the failure domains of the targets in "set", whenever
 * they were: an order is in effect for any time. For a flow that was refused
 * because of an order, which names no target, adds those of all. */
static void
add_domain_changes(const struct log_timeline *timeline, GPtrArray *selected,
                   GHashTable *set)
{
    GHashTable *domains = g_hash_table_new(g_direct_hash, g_direct_equal);
    GHashTableIter iter;
    gpointer target;
    gpointer domain;

    g_hash_table_iter_init(&iter, timeline->domain_of);
    while (g_hash_table_iter_next(&iter, &target, &domain)) {
        if (g_hash_table_contains(set, target)) {
            g_hash_table_add(domains, domain);
        }
    }
    for (guint i = 0; i < timeline->domains->len && timeline->refused_emptied;
         i++) {
        const struct timeline_entry *line =
            g_ptr_array_index(timeline->domains, i);

        g_hash_table_add(domains, (gpointer)line->domain);
    }
    add_related(selected, timeline->domains, domains, 0, TIME_MAX_US);
    g_hash_table_destroy(domains);
}

/* Selects the lines to print: those with the flow or the target of the query,
 * for a flow also the related lines about its targets and balancers, and the
 * changes of the targets' failure domains. */
static void
select_lines(const struct log_timeline *timeline, GPtrArray *selected)
{
    GHashTable *set = g_hash_table_new(g_direct_hash, g_direct_equal);
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;

    for (guint i = 0; i < timeline->named->len; i++) {
        struct timeline_entry *line = g_ptr_array_index(timeline->named, i);

        g_ptr_array_add(selected, line);
        first = line->at_us < first ? line->at_us : first;
        last = line->at_us > last ? line->at_us : last;
        if (line->names_flow) {
            g_hash_table_add(set, (gpointer)line->source);
            g_hash_table_add(set, (gpointer)line->target);
        }
    }
    add_related(selected, timeline->targets, set, first, last);
    add_related(selected, timeline->hosts, set, first, last);
    if (timeline->query.target != NULL) {
        g_hash_table_add(set,
                         (gpointer)g_intern_string(timeline->query.target));
    }
    add_domain_changes(timeline, selected, set);
    g_hash_table_destroy(set);
}

/* Prints for how long a failure domain was emptied, by the selected lines from
 * the one at "start" on. */
static void
print_order(const GPtrArray *selected, guint start, FILE *out)
{
    const struct timeline_entry *first = g_ptr_array_index(selected, start);
    uint64_t until = 0;

    for (guint i = start + 1; i < selected->len; i++) {
        const struct timeline_entry *line = g_ptr_array_index(selected, i);

        if (line->target != NULL || line->domain != first->domain) {
            continue;
        }
        if (line->emptied && until != 0) {
            break;
        }
        until = line->emptied ? until : line->at_us;
    }
    if (until == 0) {
        fprintf(out, "%s is emptied\n", first->domain);
        return;
    }
    fprintf(out, "%s was emptied for %.1f s\n", first->domain,
            (double)(until - first->at_us) / (double)USEC_PER_SEC);
}

static void
print_orders(const GPtrArray *selected, FILE *out)
{
    GHashTable *emptied = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (guint i = 0; i < selected->len; i++) {
        const struct timeline_entry *line = g_ptr_array_index(selected, i);

        if (line->target != NULL || line->domain == NULL) {
            continue;
        }
        if (!line->emptied) {
            g_hash_table_remove(emptied, line->domain);
        }
        else if (g_hash_table_add(emptied, (gpointer)line->domain)) {
            print_order(selected, i, out);
        }
    }
    g_hash_table_destroy(emptied);
}

bool
log_timeline_print(struct log_timeline *timeline, FILE *out)
{
    GPtrArray *selected = g_ptr_array_new();
    bool found = timeline->named->len > 0;

    select_lines(timeline, selected);
    g_ptr_array_sort(selected, compare_lines);
    for (guint i = 0; i < selected->len; i++) {
        const struct timeline_entry *line = g_ptr_array_index(selected, i);

        fprintf(out, "%s", line->text);
        if (line->duplicates > 0) {
            fprintf(out, " (and %u more lines of others)", line->duplicates);
        }
        fputc('\n', out);
    }
    print_orders(selected, out);
    if (timeline->placements > 0) {
        fprintf(out, "%zu lines give a flow to %s\n", timeline->placements,
                timeline->query.target);
    }
    g_ptr_array_free(selected, TRUE);
    return found || timeline->placements > 0;
}
