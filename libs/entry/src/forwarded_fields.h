#pragma once

#include <string>
#include <vector>

#include "http_types.h"
#include "long_fields.h"

namespace sassafras {

/** Fields of a request to an endpoint, among them those with values that http::fields has only in part. */
class ForwardedFields : public http::fields {
 public:
  /** Writes the head of a request for the serializers of Beast. */
  class writer {  // NOLINT(readability-identifier-naming): Beast requires this name.
   public:
    using const_buffers_type = asio::const_buffer;

    writer(const ForwardedFields& fields, unsigned version, http::verb method);
    /** Returns the bytes of the head, which live as long as this object. */
    const_buffers_type get() const { return asio::buffer(m_head); }  // NOLINT(readability-identifier-naming)

   private:
    std::string m_head;
  };

  /** The long fields of the request as received; those that `fields` no longer has are not written. */
  LongFields long_fields;
};

/** Makes the head that is written for `head`, whose long fields are `long_fields`. */
http::request_header<ForwardedFields> MakeForwardedHead(http::request_header<> head, LongFields long_fields);

}  // namespace sassafras
