#include "state/metrics-text.h"

#include "base/clock.h"

/* Upper bounds of the first and the last exposed bucket, as binary logarithms
 * of microseconds: 1 ms and 67 s. Values are whole microseconds, so "less than
 * the bound" is exposed as "at most the bound minus 1 us". */
#define BUCKET_BOUND_MIN_BITS 10
#define BUCKET_BOUND_MAX_BITS 26

const char *
metrics_escape_label(const char *text, char *out, size_t size)
{
    size_t len = 0;

    for (const char *p = text; *p != '\0' && len + 2 < size; p++) {
        if (*p == '\\' || *p == '"' || *p == '\n') {
            out[len] = '\\';
            len++;
        }
        out[len] = *p == '\n' ? 'n' : *p;
        len++;
    }
    out[len] = '\0';
    return out;
}

static double
us_to_seconds(uint64_t us)
{
    return (double)us / USEC_PER_SEC;
}

void
metrics_print_histogram(FILE *f, const char *name, const char *labels,
                        const struct histogram *h)
{
    for (unsigned bits = BUCKET_BOUND_MIN_BITS; bits <= BUCKET_BOUND_MAX_BITS;
         bits++) {
        fprintf(f, METRICS_PREFIX "%s_bucket{%s,le=\"%.6f\"} %llu\n", name,
                labels, us_to_seconds((1ULL << bits) - 1),
                (unsigned long long)histogram_count_below(h, bits));
    }
    fprintf(f, METRICS_PREFIX "%s_bucket{%s,le=\"+Inf\"} %llu\n", name, labels,
            (unsigned long long)h->count);
    fprintf(f, METRICS_PREFIX "%s_sum{%s} %.6f\n", name, labels,
            us_to_seconds(h->sum));
    fprintf(f, METRICS_PREFIX "%s_count{%s} %llu\n", name, labels,
            (unsigned long long)h->count);
}
