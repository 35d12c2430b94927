#pragma once

#include "plan.h"
#include "soak.h"

/* Begins a fault of the plan; it ends by itself. Later steps of a fault are
 * left out once the soak is over. */
void fault_begin(struct soak *soak, const struct fault *fault);
