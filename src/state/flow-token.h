#pragma once

#include <stdint.h>

/* Contents of a flow token: the flow's home (the balancer that stores its
 * state) and the slot of the flow there. protocol/token.h encodes and
 * authenticates it. */
struct flow_token {
    uint32_t service;     /* low 32 bits of id_hash() of the service id */
    uint32_t target;      /* low 24 bits of id_hash() of the target id; 0: the
                           * flow is not bound to a target */
    uint32_t home_addr;   /* IPv4, host byte order */
    uint16_t home_port;   /* relay port of the home */
    uint64_t incarnation; /* 40 random bits chosen when the home started */
    uint32_t slot;        /* slot of the flow in the home's flow table */
    uint32_t generation;  /* generation of that slot */
};
