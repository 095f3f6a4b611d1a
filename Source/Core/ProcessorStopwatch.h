#pragma once

#include "Core/Units.h"

namespace caraway {

/// Measures the processor time that the calling thread has used since construction.
class ProcessorStopwatch
{
public:
    ProcessorStopwatch();
    Microseconds elapsed() const;

private:
    Microseconds startedAt_;
};

} // namespace caraway
