#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/view-codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What is decoded encodes, and decodes again to as many records. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct view_message m;
    struct view_message again;
    size_t encoded_size;
    uint8_t *encoded;

    memset(&m, 0, sizeof(m));
    memset(&again, 0, sizeof(again));
    view_delta_init(&m.news);
    view_delta_init(&again.news);
    if (view_decode(&m, data, size)) {
        encoded = view_encode(&m, &encoded_size);
        if (encoded == NULL || !view_decode(&again, encoded, encoded_size) ||
            again.news.routes->len != m.news.routes->len ||
            again.news.targets->len != m.news.targets->len ||
            again.observation_count != m.observation_count) {
            abort();
        }
        free(encoded);
    }
    view_delta_clear(&m.news);
    view_delta_clear(&again.news);
    return 0;
}
