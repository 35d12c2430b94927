#include <stddef.h>
#include <stdint.h>

#include "codec-checks.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    check_packet(data, size);
    return 0;
}
