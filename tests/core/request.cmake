umbertrail_test(request_test
  SOURCES
    request_account_limits_test.cc
    request_answer_assembler_test.cc
    request_flow_screen_test.cc
    request_flow_test.cc
    request_rendezvous_test.cc
    request_screen_home_test.cc
  DEPENDS umbertrail_core)
