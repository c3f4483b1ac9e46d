#include "request_parser.h"

namespace sassafras {
namespace {

/** Removes blanks and tabs at both ends, which do not belong to a field value. */
beast::string_view Trim(beast::string_view value) {
  constexpr std::string_view kBlanks = " \t";
  const std::string_view text(value.data(), value.size());
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos)
    return {};
  return value.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

/** The part of a long value that the head gets. Its last byte is no blank, which would be removed. */
std::string StoredPart(beast::string_view value) {
  std::string part(value.data(), kMaxStoredValueBytes - 1);
  return part + '~';
}

/** Whether the end of the message, or what is removed from the head, depends on the whole value of the field. */
bool MustBeReadInFull(http::field name) {
  return name == http::field::connection || name == http::field::transfer_encoding ||
         name == http::field::content_length;
}

}  // namespace

void RequestParser::on_field_impl(http::field name,
                                  beast::string_view name_text,
                                  beast::string_view value,
                                  error_code& error) {
  // A trailer, which follows the body.
  if (is_header_done())
    return;
  const beast::string_view trimmed = Trim(value);
  if (trimmed.size() < kMaxStoredValueBytes && name_text.size() <= kMaxStoredNameBytes) {
    get().insert(name, name_text, trimmed);
    return;
  }
  if (MustBeReadInFull(name) || name_text.size() > kMaxStoredNameBytes) {
    error = http::error::header_limit;
    return;
  }
  m_long_fields.push_back({std::string(name_text), std::string(trimmed)});
  get().insert(name, name_text, StoredPart(trimmed));
}

}  // namespace sassafras
