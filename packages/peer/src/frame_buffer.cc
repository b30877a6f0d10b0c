#include "frame_buffer.h"

#include <cstdint>

namespace umbertrail::peer::detail {
namespace {

constexpr int kBitsPerByte = 8;

size_t ReadLength(const char* bytes) {
  size_t n = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    n = (n << kBitsPerByte) | static_cast<uint8_t>(bytes[i]);
  }
  return n;
}

}  // namespace

void AppendFrame(std::string_view frame, std::string* out) {
  for (size_t i = kLengthBytes; i > 0; --i) {
    out->push_back(static_cast<char>(frame.size() >> (kBitsPerByte * (i - 1))));
  }
  out->append(frame);
}

void FrameBuffer::Append(std::string_view bytes) {
  buf_.erase(0, begin_);
  begin_ = 0;
  buf_.append(bytes);
}

std::optional<std::string_view> FrameBuffer::Next() {
  const size_t left = buf_.size() - begin_;
  if (oversize_ || left < kLengthBytes) {
    return std::nullopt;
  }
  const size_t n = ReadLength(buf_.data() + begin_);
  if (n > limit_) {
    oversize_ = true;
    return std::nullopt;
  }
  if (left < kLengthBytes + n) {
    return std::nullopt;
  }
  const std::string_view frame(buf_.data() + begin_ + kLengthBytes, n);
  begin_ += kLengthBytes + n;
  return frame;
}

}  // namespace umbertrail::peer::detail
