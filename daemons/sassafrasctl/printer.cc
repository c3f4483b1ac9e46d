#include "printer.h"

#include <cstdio>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sassafras {

void Printer::PrintResult(const boost::json::object& object, std::string_view text) const {
  if (m_json)
    fmt::print("{}\n", boost::json::serialize(object));
  else
    fmt::print("{}", text);
}

void Printer::PrintFailure(std::string_view kind, std::string_view message) const {
  if (m_json)
    fmt::print("{}\n", boost::json::serialize(boost::json::object{{"error", kind}, {"message", message}}));
  fmt::print(stderr, "sassafrasctl: {}\n", message);
}

}  // namespace sassafras
