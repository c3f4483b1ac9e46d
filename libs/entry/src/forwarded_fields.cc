#include "forwarded_fields.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

namespace sassafras {
namespace {

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

/**
 * Returns the value to write for a field of the head.
 * @param unwritten  long fields that were not written yet; the one that is returned is removed
 */
std::string_view FullValue(const http::fields::value_type& field, std::vector<const LongField*>& unwritten) {
  if (field.value().size() < kMaxStoredValueBytes)
    return View(field.value());
  // Fields of one name keep their order.
  const auto found = std::find_if(unwritten.begin(), unwritten.end(), [&](const LongField* candidate) {
    return beast::iequals(candidate->name, field.name_string());
  });
  if (found == unwritten.end())
    return View(field.value());
  const std::string_view value = (*found)->value;
  unwritten.erase(found);
  return value;
}

}  // namespace

ForwardedFields::writer::writer(const ForwardedFields& fields, unsigned version, http::verb method) {
  const beast::string_view method_text =
      method == http::verb::unknown ? fields.get_method_impl() : http::to_string(method);
  std::vector<const LongField*> unwritten;
  unwritten.reserve(fields.long_fields.size());
  for (const LongField& field : fields.long_fields)
    unwritten.push_back(&field);
  const auto out = std::back_inserter(m_head);
  fmt::format_to(out, "{} {} HTTP/{}.{}\r\n", View(method_text), View(fields.get_target_impl()), version / 10,
                 version % 10);
  for (const auto& field : fields)
    fmt::format_to(out, "{}: {}\r\n", View(field.name_string()), FullValue(field, unwritten));
  m_head += "\r\n";
}

http::request_header<ForwardedFields> MakeForwardedHead(http::request_header<> head, LongFields long_fields) {
  http::request_header<ForwardedFields> forwarded;
  const http::verb method = head.method();
  const unsigned version = head.version();
  // Includes the target and the name of an unknown method.
  static_cast<http::fields&>(forwarded) = std::move(static_cast<http::fields&>(head));
  if (method != http::verb::unknown)
    forwarded.method(method);
  forwarded.version(version);
  forwarded.long_fields = std::move(long_fields);
  return forwarded;
}

}  // namespace sassafras
