#pragma once

#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace sassafras {

/** Prints results to standard output, as text or as one JSON object, and error messages to standard error. */
class Printer {
 public:
  explicit Printer(bool json) : m_json(json) {}

  /** Prints `object` in JSON mode, otherwise `text`. */
  void PrintResult(const boost::json::object& object, std::string_view text) const;
  /** Prints an error message; in JSON mode also as an object on standard output. */
  void PrintFailure(std::string_view kind, std::string_view message) const;

 private:
  bool m_json;
};

}  // namespace sassafras
