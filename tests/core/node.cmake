umbertrail_test(node_test
  SOURCES node_test.cc
  DEPENDS umbertrail_core umbertrail_manifest)
