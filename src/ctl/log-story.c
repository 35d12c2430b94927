#include "ctl/log-story.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/clock.h"

/* What befell a target or a balancer counts this long before and after the
 * lines that name the flow. */
#define AROUND_US (20 * USEC_PER_SEC)

/* Messages about a host as a whole, by their beginning. */
static const char *const host_messages[] = {
    "host ",      "ready with", "planned stop",   "stopped",
    "paused for", "settings",   "platform store",
};

struct story_line {
    uint64_t at_us;
    size_t number;      /* in order of reading */
    const char *source; /* interned, as is the target */
    const char *target;
    bool of_flow;     /* it is about a flow */
    char *text;       /* time, host, and what is said */
    const char *said; /* in "text", from the message on */
    unsigned others;  /* hosts that say the same, and are left out */
};

struct log_story {
    struct story_query query;
    GPtrArray *named;   /* struct story_line that the query names */
    GPtrArray *targets; /* others, about a target */
    GPtrArray *hosts;   /* others, about a host */
    size_t lines;
    size_t skipped;
    size_t placed; /* flows given to the target that is asked for */
};

static void
line_free(gpointer p)
{
    struct story_line *line = p;

    g_free(line->text);
    g_free(line);
}

struct log_story *
log_story_new(const struct story_query *query)
{
    struct log_story *story = g_new0(struct log_story, 1);

    story->query = *query;
    story->named = g_ptr_array_new_with_free_func(line_free);
    story->targets = g_ptr_array_new_with_free_func(line_free);
    story->hosts = g_ptr_array_new_with_free_func(line_free);
    return story;
}

void
log_story_destroy(struct log_story *story)
{
    g_ptr_array_free(story->named, TRUE);
    g_ptr_array_free(story->targets, TRUE);
    g_ptr_array_free(story->hosts, TRUE);
    g_free(story);
}

size_t
log_story_skipped(const struct log_story *story)
{
    return story->skipped;
}

/* The word before the object, as a collector of logs puts it there. */
static const char *
find_source(const char *line, const char *object, const char *source)
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

/* Time, host, message and the fields that a reader looks for. */
static char *
format_line(const json_t *json, const char *source)
{
    static const char *const left_out[] = {"time", "level", "module",
                                           "message"};
    GString *text = g_string_new(NULL);
    const char *name;
    json_t *value;

    g_string_append_printf(text, "%s %s %s", get_text(json, "time"), source,
                           get_text(json, "message"));
    json_object_foreach((json_t *)json, name, value)
    {
        bool shown = json_is_string(value);

        for (size_t i = 0; i < G_N_ELEMENTS(left_out); i++) {
            shown = shown && strcmp(name, left_out[i]) != 0;
        }
        if (shown) {
            g_string_append_printf(text, " %s=%s", name,
                                   json_string_value(value));
        }
    }
    return g_string_free(text, FALSE);
}

/* Whether "flow" is the one asked for: the same, or with that beginning. */
static bool
names_flow(const struct log_story *story, const char *flow)
{
    const char *wanted = story->query.flow;
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
    for (size_t i = 0; i < G_N_ELEMENTS(host_messages); i++) {
        if (g_str_has_prefix(message, host_messages[i])) {
            return true;
        }
    }
    return false;
}

/* Where a line belongs; NULL when it does not matter. "flow" is NULL for one
 * that is about no flow. */
static GPtrArray *
choose_list(struct log_story *story, const struct story_line *line,
            const char *flow, const char *message)
{
    bool asked = story->query.target != NULL &&
                 g_strcmp0(line->target, story->query.target) == 0;

    if (flow != NULL) {
        story->placed += asked;
        return names_flow(story, flow) ? story->named : NULL;
    }
    if (line->target != NULL) {
        return asked ? story->named : story->targets;
    }
    return is_about_host(message) ? story->hosts : NULL;
}

static void
add_object(struct log_story *story, const json_t *json, const char *source)
{
    const char *message = get_text(json, "message");
    const char *flow = get_text(json, "flow");
    struct story_line *line = g_new0(struct story_line, 1);
    GPtrArray *list;

    if (message == NULL || !read_time(json, &line->at_us)) {
        story->skipped++;
        g_free(line);
        return;
    }
    line->number = story->lines;
    story->lines++;
    line->source = source;
    line->of_flow = flow != NULL;
    line->target = g_intern_string(get_text(json, "target"));
    list = choose_list(story, line, flow, message);
    if (list == NULL) {
        g_free(line);
        return;
    }
    line->text = format_line(json, source);
    line->said = strchr(strchr(line->text, ' ') + 1, ' ') + 1;
    g_ptr_array_add(list, line);
}

void
log_story_add(struct log_story *story, const char *source, const char *line)
{
    const char *object = strchr(line, '{');
    json_t *json = object == NULL
                       ? NULL
                       : json_loads(object, JSON_DISABLE_EOF_CHECK, NULL);

    if (!json_is_object(json)) {
        story->skipped += *line != '\0';
    }
    else {
        add_object(story, json, find_source(line, object, source));
    }
    json_decref(json);
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const struct story_line *x = *(const struct story_line *const *)a;
    const struct story_line *y = *(const struct story_line *const *)b;

    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->number < y->number ? -1 : 1;
}

static bool
is_around(const struct story_line *line, uint64_t first, uint64_t last)
{
    return line->at_us + AROUND_US >= first && line->at_us <= last + AROUND_US;
}

/* Adds the lines of "from" that are near in time and whose target or source
 * is in "set". What several hosts say of a target is told once, by the first
 * of them in the log. */
static void
add_related(GPtrArray *chosen, const GPtrArray *from, GHashTable *set,
            uint64_t first, uint64_t last)
{
    GHashTable *told = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < from->len; i++) {
        struct story_line *line = g_ptr_array_index(from, i);
        const char *key = line->target != NULL ? line->target : line->source;
        struct story_line *same = line->target == NULL
                                      ? NULL
                                      : g_hash_table_lookup(told, line->said);

        if (!is_around(line, first, last) ||
            !g_hash_table_contains(set, key)) {
            continue;
        }
        if (same != NULL) {
            same->others += same->source != line->source;
            continue;
        }
        g_hash_table_insert(told, (gpointer)line->said, line);
        g_ptr_array_add(chosen, line);
    }
    g_hash_table_destroy(told);
}

/* Chooses what is printed: what the query names, and for a flow what befell
 * its targets and balancers. */
static void
choose(const struct log_story *story, GPtrArray *chosen)
{
    GHashTable *set = g_hash_table_new(g_direct_hash, g_direct_equal);
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;

    for (guint i = 0; i < story->named->len; i++) {
        struct story_line *line = g_ptr_array_index(story->named, i);

        g_ptr_array_add(chosen, line);
        first = line->at_us < first ? line->at_us : first;
        last = line->at_us > last ? line->at_us : last;
        if (line->of_flow) {
            g_hash_table_add(set, (gpointer)line->source);
            g_hash_table_add(set, (gpointer)line->target);
        }
    }
    add_related(chosen, story->targets, set, first, last);
    add_related(chosen, story->hosts, set, first, last);
    g_hash_table_destroy(set);
}

bool
log_story_print(struct log_story *story, FILE *out)
{
    GPtrArray *chosen = g_ptr_array_new();
    bool found = story->named->len > 0;

    choose(story, chosen);
    g_ptr_array_sort(chosen, compare_lines);
    for (guint i = 0; i < chosen->len; i++) {
        const struct story_line *line = g_ptr_array_index(chosen, i);

        fprintf(out, "%s", line->text);
        if (line->others > 0) {
            fprintf(out, " (and %u more lines of others)", line->others);
        }
        fputc('\n', out);
    }
    if (story->placed > 0) {
        fprintf(out, "%zu lines give a flow to %s\n", story->placed,
                story->query.target);
    }
    g_ptr_array_free(chosen, TRUE);
    return found || story->placed > 0;
}
