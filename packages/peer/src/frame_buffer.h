#ifndef UMBERTRAIL_PEER_FRAME_BUFFER_H_
#define UMBERTRAIL_PEER_FRAME_BUFFER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace umbertrail::peer::detail {

// Bytes of the big-endian length before each frame.
inline constexpr size_t kLengthBytes = 4;

// Appends `frame` with its length to `out`.
void AppendFrame(std::string_view frame, std::string* out);

// Cuts a stream of bytes into frames.
class FrameBuffer {
 public:
  // Frames over `limit` bytes make the buffer oversize.
  explicit FrameBuffer(size_t limit) : limit_(limit) {}

  void set_limit(size_t limit) { limit_ = limit; }

  void Append(std::string_view bytes);

  // The next whole frame, or nothing yet. The view holds until the next call.
  std::optional<std::string_view> Next();

  // Whether a frame over the limit was announced; no more frames come.
  bool oversize() const { return oversize_; }

 private:
  size_t limit_;
  std::string buf_;
  size_t begin_ = 0;
  bool oversize_ = false;
};

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_FRAME_BUFFER_H_
