#include "apply.h"

#include <chrono>
#include <random>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/error.h"
#include "fleet.h"
#include "lists/lists.h"
#include "printer.h"
#include "store/config_store.h"
#include "working_copy.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPoll{200};
/** How long a write whose reply was lost is looked for. */
constexpr std::chrono::seconds kFindOutLimit{5};

std::string MakeChangeId() {
  std::random_device source;
  std::uniform_int_distribution<uint64_t> word;
  return fmt::format("{:016x}{:016x}", word(source), word(source));
}

asio::awaitable<void> Pause() {
  asio::steady_timer timer(co_await asio::this_coro::executor, kPoll);
  co_await timer.async_wait(asio::use_awaitable);
}

/** Parses the stored document of a value; an empty document if there is none. */
absl::StatusOr<ListsDocument> Stored(const StoredValue& value) {
  if (!value.exists)
    return ListsDocument();
  return DecodeDocument(value.value);
}

std::string DiffText(const ListsDocument& before, const ListsDocument& after) {
  const auto old_lists = ParseLists(before.plans_toml, before.upstreams_toml);
  const auto new_lists = ParseLists(after.plans_toml, after.upstreams_toml);
  if (!old_lists.ok() || !new_lists.ok())
    return "  (cannot be compared)\n";
  const auto lines = DiffLists(*old_lists, *new_lists);
  return lines.empty() ? "  (no difference)\n" : fmt::format("  {}\n", fmt::join(lines, "\n  "));
}

}  // namespace

Apply::Apply(const CtlOptions& options, ConfigStore& store, Fleet& fleet, Printer& printer)
    : m_options(options), m_store(store), m_fleet(fleet), m_printer(printer) {}

ExitCode Apply::Fail(const absl::Status& status) {
  m_printer.Failure(ErrorKindName(ErrorKindOf(status)), MessageOf(status));
  return ExitCodeFor(status);
}

asio::awaitable<ExitCode> Apply::Run() {
  WorkingCopy copy(m_options.dir);
  if (const auto lists = copy.Load(); !lists.ok())
    co_return Fail(lists.status());
  co_return co_await RunChecked(copy);
}

ExitCode Apply::RefuseStale(const ListsDocument& stored, const WorkingCopy& copy) {
  const auto base = copy.Base();
  std::string message = fmt::format("not accepted: the stored lists are generation {} by {}, your edit is based on ",
                                    stored.generation, stored.author);
  if (base.ok() && base->has_value()) {
    ListsDocument mine = **base;
    mine.plans_toml = copy.Plans();
    mine.upstreams_toml = copy.Upstreams();
    message += fmt::format("generation {}\ntheir change:\n{}your change:\n{}", (*base)->generation,
                           DiffText(**base, stored), DiffText(**base, mine));
  } else {
    message += "nothing\n";
  }
  message += "; run 'sassafrasctl show --dir NEW', make your edit there and apply it, or use --replace";
  return Fail(MakeError(ErrorKind::kConflict, message, "nothing was changed"));
}

asio::awaitable<ExitCode> Apply::RunChecked(const WorkingCopy& copy) {
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return Fail(value.status());
  const auto stored = Stored(*value);
  if (!stored.ok() && !m_options.replace)
    co_return Fail(stored.status());
  const ListsDocument current = stored.ok() ? *stored : ListsDocument();
  const auto base = copy.Base();
  if (!base.ok())
    co_return Fail(base.status());
  const uint64_t base_generation = base->has_value() ? (*base)->generation : 0;
  if (current.generation != base_generation && !m_options.replace)
    co_return RefuseStale(current, copy);
  const uint64_t in_force = co_await m_fleet.HighestGeneration();
  if (in_force > current.generation && !m_options.replace) {
    co_return Fail(MakeError(
        ErrorKind::kConflict,
        fmt::format("not accepted: instances hold generation {}, the store only {}", in_force, current.generation),
        "the store came back older; wait for the instances to write theirs back, then try again"));
  }
  ListsDocument next;
  next.generation = std::max(current.generation, in_force) + 1;
  next.changes = current.changes;
  next.changes.push_back(m_options.change_id.empty() ? MakeChangeId() : m_options.change_id);
  next.author = m_options.author;
  next.plans_toml = copy.Plans();
  next.upstreams_toml = copy.Upstreams();
  const auto text = EncodeDocument(next);
  if (!text.ok())
    co_return Fail(text.status());
  const std::string& change_id = next.changes.back();
  switch (co_await Write(next, value->revision)) {
    case Verdict::kAccepted:
      break;
    case Verdict::kRefused: {
      const auto now = co_await m_store.Read();
      const auto theirs = now.ok() ? Stored(*now) : absl::StatusOr<ListsDocument>(now.status());
      co_return theirs.ok() ? RefuseStale(*theirs, copy) : Fail(theirs.status());
    }
    case Verdict::kUnknown:
      co_return Fail(MakeError(ErrorKind::kOutcomeUnknown,
                               fmt::format("unknown whether change {} was accepted", change_id),
                               fmt::format("run 'sassafrasctl outcome --change-id {}' to find out", change_id)));
  }
  if (absl::Status status = copy.SaveBase(next); !status.ok())
    m_printer.Failure("unreadable_file", MessageOf(status));
  co_return co_await WaitInForce(next);
}

asio::awaitable<Apply::Verdict> Apply::Write(const ListsDocument& document, int64_t revision) {
  auto text = EncodeDocument(document);
  const auto written = co_await m_store.CompareAndSwap(revision, *std::move(text));
  if (written.ok() && *written)
    co_return Verdict::kAccepted;
  // Even a refusal is looked up: it may be the answer to our own write that the store took twice.
  co_return co_await FindOut(document.changes.back(), revision);
}

asio::awaitable<Apply::Verdict> Apply::FindOut(std::string change_id, int64_t revision) {
  const auto give_up = steady_clock::now() + kFindOutLimit;
  while (steady_clock::now() < give_up) {
    const auto value = co_await m_store.Read();
    const auto document = value.ok() ? Stored(*value) : absl::StatusOr<ListsDocument>(value.status());
    if (document.ok() && HasChange(*document, change_id))
      co_return Verdict::kAccepted;
    // Once the key has moved on without the change, its compare-and-swap can never succeed.
    if (document.ok() && value->revision != revision && document->changes.size() < kMaxChangeIds)
      co_return Verdict::kRefused;
    co_await Pause();
  }
  co_return Verdict::kUnknown;
}

asio::awaitable<ExitCode> Apply::WaitInForce(ListsDocument document) {
  const auto give_up = steady_clock::now() + m_options.wait;
  size_t reached = 0;
  size_t asked = 0;
  std::string behind;
  do {
    reached = 0;
    behind.clear();
    const auto pages = co_await m_fleet.FetchAll("/sassafras/status");
    asked = pages.size();
    for (const Fleet::Page& page : pages) {
      if (page.ok && page.body.at("generation").to_number<uint64_t>() >= document.generation)
        ++reached;
      else
        behind += " " + page.address;
    }
    if (reached == asked)
      break;
    co_await Pause();
  } while (steady_clock::now() < give_up);
  const std::string text =
      fmt::format("accepted: generation {}, change {}\nin force on {} of {} instances{}\n", document.generation,
                  document.changes.back(), reached, asked, behind.empty() ? "" : "; not yet:" + behind);
  m_printer.Result({{"result", "accepted"},
                    {"generation", document.generation},
                    {"change_id", document.changes.back()},
                    {"in_force", reached},
                    {"instances", asked}},
                   text);
  co_return reached == asked ? ExitCode::kDone : ExitCode::kNotInForce;
}

asio::awaitable<ExitCode> Apply::Outcome() {
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return Fail(value.status());
  const auto document = Stored(*value);
  if (!document.ok())
    co_return Fail(document.status());
  const bool accepted = HasChange(*document, m_options.change_id);
  if (!accepted && document->changes.size() >= kMaxChangeIds) {
    co_return Fail(MakeError(ErrorKind::kOutcomeUnknown, "the change is not among the last ones kept",
                             "compare the lists with 'sassafrasctl show'"));
  }
  const std::string_view result = accepted ? "accepted" : "not accepted so far";
  m_printer.Result(
      {{"result", result}, {"change_id", m_options.change_id}, {"generation", document->generation}},
      fmt::format("{}: change {}, stored generation {}\n", result, m_options.change_id, document->generation));
  co_return accepted ? ExitCode::kDone : ExitCode::kConflict;
}

}  // namespace sassafras
