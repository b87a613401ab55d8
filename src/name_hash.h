// The hash under which hosts tell each other of upstreams, teams and programs.
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

uint64_t HashName(const std::string& name);

}  // namespace pimento
