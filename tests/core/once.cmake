umbertrail_test(once_test
  SOURCES once_ticket_desk_test.cc once_key_home_test.cc once_archive_test.cc
  DEPENDS umbertrail_core)
