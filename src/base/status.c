#include "base/status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

static const char *const kind_names[ERR_KIND_COUNT] = {
    [ERR_NONE] = "none",
    [ERR_BAD_PACKET] = "bad_packet",
    [ERR_BAD_OPTION] = "bad_option",
    [ERR_BAD_TOKEN] = "bad_token",
    [ERR_TOKEN_REQUIRED] = "token_required",
    [ERR_TOKEN_EXPIRED] = "token_expired",
    [ERR_METHOD] = "method",
    [ERR_NO_SERVICE] = "no_service",
    [ERR_WRONG_SERVICE] = "wrong_service",
    [ERR_NO_TARGET] = "no_target",
    [ERR_OVERLOADED] = "overloaded",
    [ERR_DEADLINE] = "deadline",
    [ERR_TARGET_REFUSED] = "target_refused",
    [ERR_TARGET_LOST] = "target_lost",
    [ERR_TARGET_TIMEOUT] = "target_timeout",
    [ERR_TARGET_BAD_ANSWER] = "target_bad_answer",
    [ERR_HOME_LOST] = "home_lost",
    [ERR_STOPPING] = "stopping",
    [ERR_STALE_VIEW] = "stale_view",
    [ERR_TOO_LARGE] = "too_large",
    [ERR_INVALID] = "invalid",
    [ERR_NOT_FOUND] = "not_found",
    [ERR_CONFLICT] = "conflict",
    [ERR_PRECONDITION] = "precondition",
    [ERR_STORE_DOWN] = "store_down",
    [ERR_STORE_UNKNOWN] = "store_unknown",
    [ERR_STORE_REGRESSED] = "store_regressed",
    [ERR_SETTINGS] = "settings",
    [ERR_SYSTEM] = "system",
    [ERR_NO_MEMORY] = "no_memory",
};

const char *
error_kind_name(enum error_kind kind)
{
    assert(kind >= 0 && kind < ERR_KIND_COUNT);
    return kind_names[kind];
}

void
status_set_ok(struct status *st)
{
    st->kind = ERR_NONE;
    st->message[0] = '\0';
}

enum error_kind
status_set(struct status *st, enum error_kind kind, const char *fmt, ...)
{
    va_list args;

    st->kind = kind;
    va_start(args, fmt);
    vsnprintf(st->message, sizeof(st->message), fmt, args);
    va_end(args);
    return kind;
}
