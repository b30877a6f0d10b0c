list(APPEND core_sources src/orders/orders.cc src/orders/wanted_state.cc)
