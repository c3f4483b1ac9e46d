#include "arguments.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <fmt/format.h>

namespace sassafras {

Arguments::Arguments(std::string program) : m_program(std::move(program)) {}

void Arguments::AddOption(const char* name, Binding::Kind kind, void* target, const char* help) {
  m_bindings.push_back({kind, target});
  const bool is_flag = kind == Binding::Kind::kFlag;
  const auto option_code = static_cast<int>(m_bindings.size());
  m_options.push_back({name, 0, static_cast<unsigned>(is_flag ? POPT_ARG_NONE : POPT_ARG_STRING), nullptr, option_code,
                       help, is_flag ? nullptr : "VALUE"});
}

void Arguments::AddString(const char* name, std::string* value, const char* help) {
  AddOption(name, Binding::Kind::kString, value, help);
}

void Arguments::AddStringList(const char* name, std::vector<std::string>* values, const char* help) {
  AddOption(name, Binding::Kind::kStringList, values, help);
}

void Arguments::AddInteger(const char* name, int64_t* value, const char* help) {
  AddOption(name, Binding::Kind::kInteger, value, help);
}

void Arguments::AddNumber(const char* name, double* value, const char* help) {
  AddOption(name, Binding::Kind::kNumber, value, help);
}

void Arguments::AddFlag(const char* name, bool* value, const char* help) {
  AddOption(name, Binding::Kind::kFlag, value, help);
}

bool Arguments::StoreValue(const Binding& binding, const char* text) {
  char* end = nullptr;
  switch (binding.kind) {
    case Binding::Kind::kString:
      *static_cast<std::string*>(binding.target) = text;
      return true;
    case Binding::Kind::kStringList:
      static_cast<std::vector<std::string>*>(binding.target)->emplace_back(text);
      return true;
    case Binding::Kind::kInteger:
      *static_cast<int64_t*>(binding.target) = std::strtoll(text, &end, 10);
      return end != text && *end == '\0';
    case Binding::Kind::kNumber:
      *static_cast<double*>(binding.target) = std::strtod(text, &end);
      return end != text && *end == '\0';
    case Binding::Kind::kFlag:
      *static_cast<bool*>(binding.target) = true;
      return true;
  }
  return false;
}

bool Arguments::Parse(int argc, const char** argv) {
  std::vector<poptOption> options = m_options;
  // --help of popt, and the entry that ends the table.
  options.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
  options.push_back(POPT_TABLEEND);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext(m_program.c_str(), argc, argv, options.data(), 0), &poptFreeContext);
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, void (*)(void*)> text(poptGetOptArg(context.get()), &std::free);
    const Binding& binding = m_bindings[static_cast<size_t>(code) - 1];
    if (StoreValue(binding, text == nullptr ? "" : text.get()))
      continue;
    fmt::print(stderr, "{}: --{}: '{}' is not a number; write one\n", m_program,
               m_options[static_cast<size_t>(code) - 1].longName, text.get());
    return false;
  }
  if (code < -1) {
    fmt::print(stderr, "{}: {}: {}; see '{} --help'\n", m_program, poptBadOption(context.get(), 0), poptStrerror(code),
               m_program);
    return false;
  }
  while (const char* positional_argument = poptGetArg(context.get()))
    m_positional_arguments.emplace_back(positional_argument);
  return true;
}

}  // namespace sassafras
