#ifndef UMBERTRAIL_TESTS_SECURITY_TEMP_FILE_H_
#define UMBERTRAIL_TESTS_SECURITY_TEMP_FILE_H_

#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace umbertrail::security {

// A temporary file that is deleted by the destructor.
class TempFile {
 public:
  TempFile() : path_("/tmp/umbertrail-test-XXXXXX") {
    close(mkstemp(path_.data()));
  }
  explicit TempFile(const std::string& content) : TempFile() { Write(content); }
  ~TempFile() { unlink(path_.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  void Write(const std::string& content) { std::ofstream(path_) << content; }
  void SetMode(mode_t mode) { chmod(path_.c_str(), mode); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace umbertrail::security

#endif  // UMBERTRAIL_TESTS_SECURITY_TEMP_FILE_H_
