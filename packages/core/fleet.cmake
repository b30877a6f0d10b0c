list(APPEND core_sources
  src/fleet/exchange.cc src/fleet/fleet.cc src/fleet/freshness.cc
  src/fleet/manifest_store.cc src/fleet/membership.cc src/fleet/ownership.cc
  src/fleet/part_store.cc)
