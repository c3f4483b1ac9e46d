#pragma once

#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace sassafras {

/** Writes results to standard output, as text or as one JSON object, and failures to standard error. */
class Printer {
 public:
  explicit Printer(bool json) : m_json(json) {}

  /** Prints `text`, or `object` if JSON is asked for. */
  void Result(const boost::json::object& object, std::string_view text) const;
  void Failure(std::string_view kind, std::string_view message) const;

 private:
  bool m_json;
};

}  // namespace sassafras
