#pragma once

#include "plan.h"
#include "soak.h"

/* Starts a fault of the plan. It ends by itself; steps that remain when the
 * soak ends are skipped. */
void fault_begin(struct soak *soak, const struct fault *fault);
