#include "lists/lists_document.h"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/error.h"

namespace sassafras {
namespace {

namespace json = boost::json;

absl::Status InvalidDocumentError(std::string_view what) {
  return MakeError(ErrorKind::kInvalidSyntax, fmt::format("stored lists: {}", what),
                   "apply the lists again with 'sassafrasctl apply --replace'");
}

}  // namespace

absl::StatusOr<std::string> EncodeDocument(const ListsDocument& document) {
  const size_t count = document.changes.size();
  const size_t first = count > kMaxChangeIds ? count - kMaxChangeIds : 0;
  json::array changes;
  for (size_t i = first; i < count; ++i)
    changes.emplace_back(document.changes[i]);
  const json::object object{{"generation", document.generation},
                            {"changes", std::move(changes)},
                            {"author", document.author},
                            {"plans", document.plans_toml},
                            {"upstreams", document.upstreams_toml}};
  std::string text = json::serialize(object);
  if (text.size() > kMaxDocumentBytes) {
    return MakeError(ErrorKind::kLimitExceeded,
                     fmt::format("the lists take {} bytes, the platform's limit is {}", text.size(), kMaxDocumentBytes),
                     "remove rows or shorten names");
  }
  return text;
}

absl::StatusOr<ListsDocument> DecodeDocument(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return InvalidDocumentError("not a JSON object");
  try {
    const json::object& object = value.as_object();
    ListsDocument document;
    document.generation = object.at("generation").to_number<uint64_t>();
    for (const json::value& change : object.at("changes").as_array())
      document.changes.emplace_back(change.as_string());
    document.author = std::string(object.at("author").as_string());
    document.plans_toml = std::string(object.at("plans").as_string());
    document.upstreams_toml = std::string(object.at("upstreams").as_string());
    return document;
  } catch (const std::exception& exception) {
    return InvalidDocumentError(exception.what());
  }
}

bool HasChange(const ListsDocument& document, std::string_view change_id) {
  return std::find(document.changes.begin(), document.changes.end(), change_id) != document.changes.end();
}

}  // namespace sassafras
