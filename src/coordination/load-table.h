#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/domain-load.h"

/* The newest records of load that peers have sent, by key. The number is
 * bounded: the oldest gives way. Times are monotonic, in microseconds. */

struct load_table;

/* Returns NULL when out of memory. */
struct load_table *load_table_new(void);
void load_table_destroy(struct load_table *t);

/* Takes over a rate, in requests per 1000 s, that was measured at "at", unless
 * a newer one is known. */
void load_table_update(struct load_table *t, uint32_t key, uint32_t rate,
                       uint64_t at);
/* Stores the rate of a key in "rate", in requests per second. Returns false
 * when none is known that was measured at "since" or later. */
bool load_table_rate(const struct load_table *t, uint32_t key, uint64_t since,
                     double *rate);
/* Removes the records measured before "since". */
void load_table_expire(struct load_table *t, uint64_t since);
/* Fills "out" with the newest records, at most "max", and returns their
 * number. */
size_t load_table_newest(const struct load_table *t,
                         struct domain_load_record *out, size_t max,
                         uint64_t now);
size_t load_table_count(const struct load_table *t);
