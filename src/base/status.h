#pragma once

/* The complete list of error kinds. protocol/error-table.h gives the answer
 * that a caller or an operator receives for each kind. */
enum error_kind {
    ERR_NONE,
    ERR_BAD_PACKET,        /* not a valid CoAP message */
    ERR_BAD_OPTION,        /* critical option unknown or malformed */
    ERR_BAD_TOKEN,         /* MAC of the Echo value does not verify */
    ERR_TOKEN_REQUIRED,    /* no valid token in a non-repeatable request */
    ERR_TOKEN_EXPIRED,     /* token's key was replaced; ask for a new token */
    ERR_METHOD,            /* method is not supported */
    ERR_NO_SERVICE,        /* service unknown to this balancer */
    ERR_WRONG_SERVICE,     /* token, port and target differ in service */
    ERR_NO_TARGET,         /* no target can take the request */
    ERR_OVERLOADED,        /* no capacity for another request */
    ERR_DEADLINE,          /* request cannot start before its deadline */
    ERR_TARGET_REFUSED,    /* target reports that it did not run the request */
    ERR_TARGET_LOST,       /* connection to the target failed or was lost */
    ERR_TARGET_TIMEOUT,    /* no complete answer from the target in time */
    ERR_TARGET_BAD_ANSWER, /* target's answer malformed or too large */
    ERR_HOME_LOST,         /* home balancer of the flow is gone or silent */
    ERR_STOPPING,          /* balancer is stopping: no new requests */
    ERR_STALE_VIEW,        /* no up-to-date view, for example after a pause */
    ERR_TOO_LARGE,         /* request body over the limit */
    ERR_INVALID,           /* operator input fails validation */
    ERR_NOT_FOUND,         /* no such resource */
    ERR_CONFLICT,          /* another write changed the key first */
    ERR_PRECONDITION,      /* If-Match or If-None-Match does not hold */
    ERR_STORE_DOWN,        /* the store does not answer or take writes */
    ERR_STORE_UNKNOWN,     /* outcome of a write to the store unknown */
    ERR_STORE_REGRESSED,   /* the store returned older data */
    ERR_SETTINGS,          /* settings file unreadable or invalid */
    ERR_SYSTEM,            /* a system call failed */
    ERR_NO_MEMORY,
    ERR_KIND_COUNT, /* number of kinds, not a kind */
};

#define STATUS_MESSAGE_SIZE 256 /* bytes with the final NUL */

/* Outcome of an operation: the kind of error, and a message for people. */
struct status {
    enum error_kind kind; /* ERR_NONE: success */
    char message[STATUS_MESSAGE_SIZE];
};

/* Sets a status to success, without a message. */
void status_set_ok(struct status *st);
/* Records an error with its message, which is truncated when it is too long.
 * Returns the kind, so that callers can write "return status_set(...)". */
enum error_kind status_set(struct status *st, enum error_kind kind,
                           const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Returns the lower-case name of a kind, as used in logs, metrics and the
 * operators' API. The names are stable. */
const char *error_kind_name(enum error_kind kind);
