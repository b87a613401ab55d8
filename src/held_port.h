// Waits for a port that another process still holds, such as the process before
// this one, which has not ended yet.
#pragma once

#include <boost/system/error_code.hpp>
#include <functional>
#include <string>

namespace pimento {

// Calls `bind` until it succeeds, fails for another reason than a held port, or
// has failed for too long. Blocks the thread meanwhile: only for the start.
// Throws TransportError whose text names `address`, or StopRequested.
void BindWhenFree(const std::string& address,
                  const std::function<boost::system::error_code()>& bind);

}  // namespace pimento
