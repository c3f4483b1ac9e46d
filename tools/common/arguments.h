#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <popt.h>

namespace sassafras {

/** Command-line parser of the tools, based on popt. Add all options with the variables they set, then call Parse(). */
class Arguments {
 public:
  explicit Arguments(std::string program);

  void AddString(const char* name, std::string* value, const char* help);
  /** The option may be repeated; each use appends a value. */
  void AddStringList(const char* name, std::vector<std::string>* values, const char* help);
  void AddInteger(const char* name, int64_t* value, const char* help);
  void AddNumber(const char* name, double* value, const char* help);
  void AddFlag(const char* name, bool* value, const char* help);

  /**
   * Stores the values of the options in their targets. Returns false if the command line is invalid, after printing the
   * reason to standard error.
   */
  bool Parse(int argc, const char** argv);
  /** Arguments that are not options. */
  const std::vector<std::string>& PositionalArguments() const { return m_positional_arguments; }

 private:
  struct Binding {
    enum class Kind : uint8_t { kString, kStringList, kInteger, kNumber, kFlag };
    Kind kind = Kind::kString;
    void* target = nullptr;
  };
  void AddOption(const char* name, Binding::Kind kind, void* target, const char* help);
  bool StoreValue(const Binding& binding, const char* text);

  std::string m_program;
  std::deque<Binding> m_bindings;
  std::vector<poptOption> m_options;
  std::vector<std::string> m_positional_arguments;
};

}  // namespace sassafras
