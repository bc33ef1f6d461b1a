#include "standins/crash.h"

#include <unistd.h>

namespace auburnspread::standins
{

auto crashProcess() -> void
{
    ::_exit(1);
}

} // namespace auburnspread::standins
