list(APPEND core_sources src/invariant.cc src/node.cc src/node_dispatch.cc)
