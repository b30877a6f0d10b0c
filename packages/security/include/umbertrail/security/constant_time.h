#ifndef UMBERTRAIL_SECURITY_CONSTANT_TIME_H_
#define UMBERTRAIL_SECURITY_CONSTANT_TIME_H_

#include <string_view>

namespace umbertrail::security {

// Compares `a` and `b` in time that depends only on their lengths.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_SECURITY_CONSTANT_TIME_H_
