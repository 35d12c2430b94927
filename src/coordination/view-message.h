#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "state/view-news.h"

/* Messages between forwarders about what they hold, in decoded form;
 * protocol/view-codec.h puts them on the wire. All are one-way. */

enum view_message_kind {
    VIEW_NEWS = 1, /* what changed, and when the store confirmed it */
    VIEW_PULL,     /* please send what changed after "news.from" */
    VIEW_SIGNS,    /* targets that do not answer */
    VIEW_ANNOUNCE, /* that there are news, for the receiver to pull */
    VIEW_PRUNE,    /* the receiver's news come too late: announce them only */
    VIEW_MESSAGE_KIND_END,
};

#define VIEW_SIGNS_MAX 64 /* of one message */

/* Where a balancer stands in the order of who watches the store: 0 is first,
 * VIEW_POSITION_END comes after the last. */
#define VIEW_POSITION_END 65536U

/* A target that does not answer the sender's callers. */
struct sign_record {
    uint32_t cookie;
    uint32_t misses;      /* noticed since the last report */
    uint64_t sent_age_us; /* since the first of them was sent */
};

struct view_message {
    enum view_message_kind kind;
    uint32_t sender_addr; /* of its gossip endpoint */
    uint16_t sender_port;
    bool pass_on;      /* the receiver tells its neighbours */
    bool confirmed;    /* "age_us" holds */
    uint64_t age_us;   /* since the store confirmed the news */
    uint32_t position; /* of the balancer that asked the store */
    struct view_news news;
    size_t sign_count;
    struct sign_record signs[VIEW_SIGNS_MAX];
};
