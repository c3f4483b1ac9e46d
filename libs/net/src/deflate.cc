#include "net/deflate.h"

#include <algorithm>

#include <fmt/format.h>
#include <zlib.h>

#include "base/error.h"

namespace sassafras {
namespace {

/** Bytes added to the output buffer at a time. */
constexpr size_t kOutputStep = 64u << 10u;

/** zlib wants pointers to bytes that it may change, but does not change its input. */
Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

absl::Status DamagedError(int code) {
  return MakeError(ErrorKind::kInvalidSyntax, fmt::format("compressed data is damaged or cut off (zlib code {})", code),
                   "fetch it again, or from another peer");
}

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  // Fails only for lack of memory or of room, and compressBound() has allowed for the room.
  if (compress2(BytesOf(out), &size, BytesOf(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK)
    size = 0;
  out.resize(size);
  return out;
}

absl::StatusOr<std::string> Inflate(std::string_view stream, size_t size_limit) {
  z_stream state{};
  if (inflateInit(&state) != Z_OK)
    return MakeError(ErrorKind::kInternal, "no memory to expand compressed data", "give the process more memory");
  state.next_in = BytesOf(stream);
  state.avail_in = static_cast<uInt>(stream.size());
  std::string out;
  int code = Z_OK;
  while (code == Z_OK && state.total_out < size_limit) {
    out.resize(std::min(size_limit, state.total_out + kOutputStep));
    state.next_out = BytesOf(out) + state.total_out;
    state.avail_out = static_cast<uInt>(out.size() - state.total_out);
    code = inflate(&state, Z_NO_FLUSH);
  }
  out.resize(state.total_out);
  inflateEnd(&state);
  if (code == Z_STREAM_END)
    return out;
  if (code != Z_OK)
    return DamagedError(code);
  return MakeError(ErrorKind::kLimitExceeded, fmt::format("compressed data expands to over {} bytes", size_limit),
                   "check which program serves at the peer's address");
}

}  // namespace sassafras
