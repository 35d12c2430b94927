#pragma once

#include <stdint.h>

/* What a flow token says: where the flow's home is and which slot it holds
 * there. protocol/token.h seals and opens it. */
struct flow_token {
    uint32_t service;     /* low 32 bits of id_hash() of the service id */
    uint32_t target;      /* low 24 bits of id_hash(), 0: not bound */
    uint32_t home_addr;   /* IPv4, host byte order */
    uint16_t home_port;   /* relay port of the home */
    uint64_t incarnation; /* 40 random bits drawn when the home started */
    uint32_t slot;
    uint32_t generation;
};
