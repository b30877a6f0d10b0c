umbertrail_test(core_orders_test
  SOURCES orders_rollout_test.cc orders_wanted_state_test.cc
  DEPENDS umbertrail_core rapidcheck)
