umbertrail_test(core_owner_test
  SOURCES
    owner_allocations_test.cc
    owner_claim_test.cc
    owner_prefix_test.cc
    owner_queue_test.cc
    owner_random_test.cc
    owner_rates_test.cc
    owner_table_test.cc
  DEPENDS umbertrail_core)
