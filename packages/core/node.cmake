list(APPEND core_sources src/invariant.cc)
