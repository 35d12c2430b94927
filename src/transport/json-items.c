#include "transport/json-items.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#define UNICODE_ESCAPE_DIGITS 4
#define SURROGATE_HIGH_MIN 0xd800
#define SURROGATE_LOW_MIN 0xdc00
#define SURROGATE_LOW_MAX 0xdfff
#define SURROGATE_BITS 10
#define SURROGATE_PLANE 0x10000

/* A part of a text. */
struct span {
    const char *text;
    size_t len;
};

/* The text that is read, and the position in it. */
struct cursor {
    const char *text;
    size_t len;
    size_t at;
};

/* A member of an object. The name is without its quotes, and not unescaped. */
struct member {
    struct span name;
    struct span value;
};

static void
skip_space(struct cursor *c)
{
    while (c->at < c->len && strchr(" \t\r\n", c->text[c->at]) != NULL &&
           c->text[c->at] != '\0') {
        c->at++;
    }
}

/* Skips a character, after space. Returns false for any other one. */
static bool
take_char(struct cursor *c, char expected)
{
    skip_space(c);
    if (c->at >= c->len || c->text[c->at] != expected) {
        return false;
    }
    c->at++;
    return true;
}

/* Skips the rest of a string, with its last quote. */
static bool
skip_string(struct cursor *c)
{
    while (c->at < c->len) {
        char ch = c->text[c->at];

        c->at++;
        if (ch == '"') {
            return true;
        }
        if (ch == '\\') {
            c->at++;
        }
    }
    return false;
}

/* Takes everything up to the comma or bracket that ends a value. Returns false
 * when there is none. Does not recurse, as values may be nested deeply. */
static bool
take_value(struct cursor *c, struct span *value)
{
    size_t depth = 0;

    skip_space(c);
    value->text = c->text + c->at;
    while (c->at < c->len) {
        char ch = c->text[c->at];
        bool closes = ch == ']' || ch == '}';

        if (depth == 0 && (closes || ch == ',')) {
            value->len = (size_t)(c->text + c->at - value->text);
            return true;
        }
        c->at++;
        depth += ch == '[' || ch == '{';
        depth -= closes;
        if (ch == '"' && !skip_string(c)) {
            return false;
        }
    }
    return false;
}

/* Takes the next member of an object, of which the first brace, or the member
 * before with its comma, was taken. */
static bool
take_member(struct cursor *c, struct member *m)
{
    size_t start;

    if (!take_char(c, '"')) {
        return false;
    }
    start = c->at;
    if (!skip_string(c)) {
        return false;
    }
    m->name.text = c->text + start;
    m->name.len = c->at - start - 1;
    return take_char(c, ':') && take_value(c, &m->value);
}

static bool
span_equals(const struct span *span, const char *text)
{
    return span->len == strlen(text) &&
           memcmp(span->text, text, span->len) == 0;
}

/* Finds a member of the object that a text begins with. */
static bool
find_member(const char *text, size_t len, const char *name, struct member *m)
{
    struct cursor c = {.text = text, .len = len};

    if (!take_char(&c, '{')) {
        return false;
    }
    while (take_member(&c, m)) {
        if (span_equals(&m->name, name)) {
            return true;
        }
        if (!take_char(&c, ',')) {
            return false;
        }
    }
    return false;
}

/* Reads the digits of a Unicode escape. Returns false when they are none. */
static bool
read_hex(const struct span *s, size_t at, uint32_t *unit)
{
    *unit = 0;
    if (at + UNICODE_ESCAPE_DIGITS > s->len) {
        return false;
    }
    for (size_t i = 0; i < UNICODE_ESCAPE_DIGITS; i++) {
        int digit = g_ascii_xdigit_value(s->text[at + i]);

        if (digit < 0) {
            return false;
        }
        *unit = *unit * 16 + (uint32_t)digit;
    }
    return true;
}

/* Appends the character of a Unicode escape whose digits begin at "at", and
 * returns the position after it. Half of a surrogate pair is encoded like
 * other characters. */
static size_t
append_unicode(GString *out, const struct span *s, size_t at)
{
    uint32_t unit;
    uint32_t low;

    if (!read_hex(s, at, &unit)) {
        return at;
    }
    at += UNICODE_ESCAPE_DIGITS;
    if (unit >= SURROGATE_HIGH_MIN && unit < SURROGATE_LOW_MIN &&
        at + 2 <= s->len && memcmp(s->text + at, "\\u", 2) == 0 &&
        read_hex(s, at + 2, &low) && low >= SURROGATE_LOW_MIN &&
        low <= SURROGATE_LOW_MAX) {
        unit = SURROGATE_PLANE +
               ((unit - SURROGATE_HIGH_MIN) << SURROGATE_BITS) +
               (low - SURROGATE_LOW_MIN);
        at += 2 + UNICODE_ESCAPE_DIGITS;
    }
    if (unit == 0) {
        g_string_append_c(out, '\0');
    }
    else {
        g_string_append_unichar(out, unit);
    }
    return at;
}

/* Undoes the escapes of a string that need not be valid text. */
static GString *
unescape(const struct span *s)
{
    static const char escapes[] = "bfnrt";
    static const char characters[] = "\b\f\n\r\t";
    GString *out = g_string_new(NULL);
    size_t at = 0;

    while (at < s->len) {
        char ch = s->text[at];
        const char *escape;

        at++;
        if (ch != '\\' || at == s->len) {
            g_string_append_c(out, ch);
            continue;
        }
        ch = s->text[at];
        at++;
        escape = ch == '\0' ? NULL : strchr(escapes, ch);
        if (ch == 'u') {
            at = append_unicode(out, s, at);
        }
        else {
            g_string_append_c(
                out, escape == NULL ? ch : characters[escape - escapes]);
        }
    }
    return out;
}

/* Reports an item that cannot be parsed. */
static void
report_bad(const struct span *item, const struct json_items_callbacks *cb)
{
    struct member m;
    struct span key;
    GString *bytes;

    if (!find_member(item->text, item->len, "key", &m) || m.value.len < 2 ||
        m.value.text[0] != '"') {
        cb->bad(cb->ctx, NULL, 0);
        return;
    }
    /* Without the quotes; space may follow the second. */
    key = (struct span){m.value.text + 1, m.value.len - 1};
    while (key.text[key.len - 1] != '"') {
        key.len--;
    }
    key.len--;
    bytes = unescape(&key);
    cb->bad(cb->ctx, bytes->str, bytes->len);
    g_string_free(bytes, TRUE);
}

/* Calls back for each element of the list. Returns false when it has no end.
 */
static bool
each_element(const struct span *list, const struct json_items_callbacks *cb)
{
    struct cursor c = {.text = list->text, .len = list->len};
    struct span item;

    if (!take_char(&c, '[')) {
        return false;
    }
    if (take_char(&c, ']')) {
        return true;
    }
    do {
        json_t *json;

        if (!take_value(&c, &item)) {
            return false;
        }
        json = json_loadb(item.text, item.len, JSON_DECODE_ANY, NULL);
        if (json == NULL) {
            report_bad(&item, cb);
        }
        else {
            cb->item(cb->ctx, json);
        }
        json_decref(json);
    } while (take_char(&c, ','));
    return take_char(&c, ']');
}

/* Reads an answer that is no JSON as a whole: each item by itself, and the
 * answer without them. */
static json_t *
load_one_by_one(const char *text, size_t len, const char *name,
                const struct json_items_callbacks *cb)
{
    struct member m;
    GString *rest;
    json_t *json;

    if (!find_member(text, len, name, &m)) {
        return NULL;
    }
    rest = g_string_new_len(text, m.value.text - text);
    g_string_append(rest, "[]");
    g_string_append_len(rest, m.value.text + m.value.len,
                        text + len - (m.value.text + m.value.len));
    json = json_loadb(rest->str, rest->len, 0, NULL);
    g_string_free(rest, TRUE);
    if (json != NULL && !each_element(&m.value, cb)) {
        json_decref(json);
        json = NULL;
    }
    return json;
}

json_t *
json_items_load(const char *text, size_t len, const char *name,
                const struct json_items_callbacks *cb)
{
    json_t *json = json_loadb(text, len, 0, NULL);
    const json_t *item;
    size_t i;

    if (json == NULL) {
        return load_one_by_one(text, len, name, cb);
    }
    json_array_foreach(json_object_get(json, name), i, item)
    {
        cb->item(cb->ctx, item);
    }
    return json;
}
