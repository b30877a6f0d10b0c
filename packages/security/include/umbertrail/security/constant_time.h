#ifndef UMBERTRAIL_SECURITY_CONSTANT_TIME_H_
#define UMBERTRAIL_SECURITY_CONSTANT_TIME_H_

#include <string_view>

namespace umbertrail::security {

// Whether `a` and `b` are equal, in a time that depends on their lengths alone.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_SECURITY_CONSTANT_TIME_H_
