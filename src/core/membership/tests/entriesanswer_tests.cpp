#include "core/membership/membership.h"

#include <gtest/gtest.h>
