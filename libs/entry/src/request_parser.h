#pragma once

#include "http_types.h"
#include "long_fields.h"

namespace sassafras {

/**
 * Parser of requests of callers. Unlike that of Beast, it takes fields of any length that the header limit allows, and
 * leaves the fields of a trailer out of the head.
 */
class RequestParser final : public http::request_parser<http::buffer_body> {
 public:
  /** Fields whose values the head has only in part. */
  const LongFields& GetLongFields() const { return m_long_fields; }

 private:
  void on_field_impl(http::field name,
                     beast::string_view name_text,
                     beast::string_view value,
                     error_code& error) override;

  LongFields m_long_fields;
};

}  // namespace sassafras
