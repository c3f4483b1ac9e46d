#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "answer_bytes_check.h"
#include "fuzz_inputs_check.h"
#include "request_bytes_check.h"

namespace sassafras {
namespace {

using Fragments = std::vector<std::string>;

/** Pieces of answers, sound and damaged. */
const Fragments& AnswerFragments() {
  static const Fragments fragments = {"HTTP/1.1 200 OK\r\n",
                                      "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n",
                                      "HTTP/1.1 100 Continue\r\n\r\n",
                                      "HTTP/1.1 204 No Content\r\nSassafras-Request-Id: own\r\n\r\n",
                                      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                                      "HTTP/1.1 199 None\r\nSassafras-Request-Id: own\r\n",
                                      "HTTP/1.1 000 None\r\nSassafras-Request-Id: own\r\n",
                                      "HTTP/1.1 600 None\r\nSassafras-Request-Id: own\r\n",
                                      "HTTP/1.1 2000 OK\r\nSassafras-Request-Id: own\r\n",
                                      "HTTP/1.1 503 Full\r\n",
                                      "HTTP/1.0 200 OK\r\n",
                                      "Sassafras-Request-Id: own\r\n",
                                      "Sassafras-Request-Id: other\r\n",
                                      "Upstream-Refused: full\r\n",
                                      "Upstream-Load: 3\r\n",
                                      "Connection: close\r\n",
                                      "Connection: content-length\r\n",
                                      "Content-Length: 0\r\n",
                                      "Content-Length: 4\r\n",
                                      "Content-Length: 4, 4\r\n",
                                      "Content-Length: -1\r\n",
                                      "Content-Length: 99999999999999999999\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding: gzip, chunked\r\n",
                                      "Transfer-Encoding: identity\r\n",
                                      "\r\n",
                                      "body",
                                      "4\r\nbody\r\n",
                                      "4;x=y\r\nbody\r\n",
                                      "0\r\n\r\n",
                                      "0\r\nX-Trailer: t\r\n\r\n",
                                      "ffffffffffffffff\r\n",
                                      "\r",
                                      "\n",
                                      " ",
                                      ":",
                                      std::string(1, '\0'),
                                      "\xff"};
  return fragments;
}

/** Pieces of requests, sound and damaged. */
const Fragments& RequestFragments() {
  static const Fragments fragments = {"GET /x HTTP/1.1\r\nHost: h\r\n",
                                      "POST /x HTTP/1.1\r\nHost: h\r\n",
                                      "HEAD /x HTTP/1.1\r\nHost: h\r\n",
                                      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
                                      "POST /y HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
                                      "GET /x HTTP/1.0\r\n",
                                      "CONNECT h:1 HTTP/1.1\r\n",
                                      "Sassafras-Deadline-Ms: 100\r\n",
                                      "Sassafras-Deadline-Ms: x\r\n",
                                      "Idempotency-Key: k\r\n",
                                      "GET /open/x HTTP/1.1\r\nHost: h\r\n",
                                      "Authorization: Bearer k\r\n",
                                      "Authorization: Bearer other\r\n",
                                      "Sassafras-Account: other\r\n",
                                      "Connection: sassafras-account, authorization\r\n",
                                      "Sassafras-Owner: i0.1.0\r\n",
                                      "Sassafras-Owner: ...\r\n",
                                      "Connection: close\r\n",
                                      "Connection: content-length, host\r\n",
                                      "Connection: upgrade\r\n",
                                      "Expect: 100-continue\r\n",
                                      "Content-Length: 0\r\n",
                                      "Content-Length: 4\r\n",
                                      "Content-Length: 5\r\nContent-Length: 4\r\n",
                                      "Content-Length: 99999999999999999999\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding: gzip, chunked\r\n",
                                      "Transfer-Encoding: identity\r\n",
                                      "\r\n",
                                      "body",
                                      "4\r\nbody\r\n",
                                      "4;x=y\r\nbody\r\n",
                                      "0\r\n\r\n",
                                      "0\r\nX-Trailer: t\r\n\r\n",
                                      "ffffffffffffffff\r\n",
                                      "\r",
                                      "\n",
                                      " ",
                                      ":",
                                      std::string(1, '\0'),
                                      "\xff"};
  return fragments;
}

/** Bytes made of up to `kMaxFragments` fragments, with up to one byte changed and perhaps cut off. */
rc::Gen<std::string> BytesOf(const Fragments& fragments) {
  constexpr int kMaxFragments = 12;
  return rc::gen::exec([&fragments] {
    std::string bytes;
    const int count = *rc::gen::inRange(1, kMaxFragments + 1);
    for (int i = 0; i < count; ++i)
      bytes += fragments[*rc::gen::inRange(size_t{0}, fragments.size())];
    const size_t position = *rc::gen::inRange(size_t{0}, bytes.size());
    const int change = *rc::gen::inRange(0, 4);
    if (change == 0)
      bytes[position] = *rc::gen::arbitrary<char>();
    if (change == 1)
      bytes.resize(position);
    return bytes;
  });
}

TEST_CASE("the kept inputs of the fuzz targets break no promise") {
  CheckFuzzInputs(FUZZ_INPUTS "/answers", CheckAnswerBytes);
  CheckFuzzInputs(FUZZ_INPUTS "/requests", CheckRequestBytes);
}

// Guards against bytes of an endpoint that become a success which it did not send.
TEST_CASE("whatever bytes an endpoint answers with, the caller is told no success that was not sent") {
  CHECK(rc::check([] {
    const std::string bytes = *BytesOf(AnswerFragments());
    RC_ASSERT(CheckAnswerBytes(bytes) == "");
  }));
}

// Guards against bytes of a caller that become a request which it did not send.
TEST_CASE("whatever bytes a caller sends, an endpoint receives only whole requests that were sent") {
  CHECK(rc::check([] {
    const std::string bytes = *BytesOf(RequestFragments());
    RC_ASSERT(CheckRequestBytes(bytes) == "");
  }));
}

}  // namespace
}  // namespace sassafras
