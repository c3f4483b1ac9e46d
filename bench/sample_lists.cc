#include "sample_lists.h"

#include <cstdlib>
#include <iterator>

#include <fmt/format.h>

namespace sassafras {

std::string MakeSamplePlansToml(size_t services) {
  std::string text;
  for (size_t i = 0; i < services; ++i) {
    fmt::format_to(std::back_inserter(text),
                   "[[plan]]\nname = \"read-{0}\"\ncustomer = \"c{1}\"\nmethod = \"GET\"\npath = \"/service-{0}\"\n"
                   "repeat = \"safe\"\ndeadline = \"400ms\"\n"
                   "[[plan]]\nname = \"write-{0}\"\ncustomer = \"c{1}\"\nmethod = \"POST\"\npath = \"/service-{0}\"\n"
                   "repeat = \"never\"\ndeadline = \"2s\"\n",
                   i, i % 7);
  }
  return text;
}

std::string MakeSampleUpstreamsToml(size_t endpoints, size_t services) {
  std::string text;
  for (size_t i = 0; i < services; ++i)
    fmt::format_to(std::back_inserter(text), "[[service]]\nname = \"service-{}\"\nprobe_budget = 1.0\n", i);
  for (size_t i = 0; i < endpoints; ++i) {
    fmt::format_to(std::back_inserter(text),
                   "[[endpoint]]\nname = \"service-{0}-{1}\"\nservice = \"service-{0}\"\n"
                   "address = \"10.{2}.{3}.{4}:8080\"\nfailure_domain = \"domain-{5}\"\nslots = 6\n",
                   i % services, i / services, i / 40'000, i / 200 % 200, i % 200 + 1, i % 16);
  }
  for (size_t i = 0; i < services; ++i) {
    fmt::format_to(std::back_inserter(text),
                   "[[permit]]\nplan = \"read-{0}\"\nservice = \"service-{0}\"\n"
                   "[[permit]]\nplan = \"write-{0}\"\nservice = \"service-{0}\"\n",
                   i);
  }
  return text;
}

Lists MakeSampleLists(size_t endpoints, size_t services) {
  auto lists = ParseLists(MakeSamplePlansToml(services), MakeSampleUpstreamsToml(endpoints, services));
  if (!lists.ok())
    std::abort();
  return *std::move(lists);
}

}  // namespace sassafras
