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

constexpr milliseconds kPollPeriod{200};
/** How long the store is polled for the outcome of a write that was not confirmed. */
constexpr std::chrono::seconds kOutcomeTimeout{5};

std::string MakeChangeId() {
  std::random_device source;
  std::uniform_int_distribution<uint64_t> word;
  return fmt::format("{:016x}{:016x}", word(source), word(source));
}

asio::awaitable<void> SleepPollPeriod() {
  asio::steady_timer timer(co_await asio::this_coro::executor, kPollPeriod);
  co_await timer.async_wait(asio::use_awaitable);
}

/** Decodes the document in a stored value; an empty document if there is no value. */
absl::StatusOr<ListsDocument> DecodeStored(const StoredValue& value) {
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

ExitCode Apply::ReportFailure(const absl::Status& status) {
  m_printer.PrintFailure(ErrorKindName(ErrorKindOf(status)), MessageOf(status));
  return ExitCodeFor(status);
}

asio::awaitable<ExitCode> Apply::Run() {
  WorkingCopy copy(m_options.dir);
  if (const auto lists = copy.Load(); !lists.ok())
    co_return ReportFailure(lists.status());
  co_return co_await StoreAndWait(copy);
}

ExitCode Apply::ReportConflict(const ListsDocument& stored, const WorkingCopy& copy) {
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
  message += "nothing was changed";
  return ReportFailure(
      MakeError(ErrorKind::kConflict, message,
                "run 'sassafrasctl show --dir NEW', make your edit there and apply it, or use --replace"));
}

asio::awaitable<ExitCode> Apply::StoreAndWait(const WorkingCopy& copy) {
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return ReportFailure(value.status());
  const auto stored = DecodeStored(*value);
  if (!stored.ok() && !m_options.replace)
    co_return ReportFailure(stored.status());
  const ListsDocument current = stored.ok() ? *stored : ListsDocument();
  const auto base = copy.Base();
  if (!base.ok())
    co_return ReportFailure(base.status());
  const uint64_t base_generation = base->has_value() ? (*base)->generation : 0;
  if (current.generation != base_generation && !m_options.replace)
    co_return ReportConflict(current, copy);
  const uint64_t in_force = co_await m_fleet.HighestGeneration();
  if (in_force > current.generation && !m_options.replace) {
    co_return ReportFailure(MakeError(
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
    co_return ReportFailure(text.status());
  const std::string& change_id = next.changes.back();
  switch (co_await Write(next, value->revision)) {
    case WriteOutcome::kAccepted:
      break;
    case WriteOutcome::kRefused: {
      const auto reread = co_await m_store.Read();
      const auto theirs = reread.ok() ? DecodeStored(*reread) : absl::StatusOr<ListsDocument>(reread.status());
      co_return theirs.ok() ? ReportConflict(*theirs, copy) : ReportFailure(theirs.status());
    }
    case WriteOutcome::kUnknown:
      co_return ReportFailure(
          MakeError(ErrorKind::kOutcomeUnknown, fmt::format("it is unknown whether change {} was accepted", change_id),
                    fmt::format("run 'sassafrasctl outcome --change-id {}' to find out", change_id)));
  }
  if (absl::Status status = copy.SaveBase(next); !status.ok())
    m_printer.PrintFailure("unreadable_file", MessageOf(status));
  co_return co_await WaitUntilInForce(next);
}

asio::awaitable<Apply::WriteOutcome> Apply::Write(const ListsDocument& document, int64_t revision) {
  auto text = EncodeDocument(document);
  const auto written = co_await m_store.CompareAndSwap(revision, *std::move(text));
  if (written.ok() && *written)
    co_return WriteOutcome::kAccepted;
  // A failed compare-and-swap is verified too: if the store received the write twice, the first copy may have
  // succeeded and the reply may be the one to the second.
  co_return co_await DetermineOutcome(document.changes.back(), revision);
}

asio::awaitable<Apply::WriteOutcome> Apply::DetermineOutcome(std::string change_id, int64_t revision) {
  const auto give_up_at = steady_clock::now() + kOutcomeTimeout;
  while (steady_clock::now() < give_up_at) {
    const auto value = co_await m_store.Read();
    const auto document = value.ok() ? DecodeStored(*value) : absl::StatusOr<ListsDocument>(value.status());
    if (document.ok() && HasChange(*document, change_id))
      co_return WriteOutcome::kAccepted;
    // Once the key has a new revision without the change, the compare-and-swap can never succeed. If the history is
    // full, the id of the change may already have been dropped from it, so the outcome stays unknown.
    if (document.ok() && value->revision != revision && document->changes.size() < kMaxChangeIds)
      co_return WriteOutcome::kRefused;
    co_await SleepPollPeriod();
  }
  co_return WriteOutcome::kUnknown;
}

asio::awaitable<ExitCode> Apply::WaitUntilInForce(ListsDocument document) {
  const auto give_up_at = steady_clock::now() + m_options.wait;
  size_t in_force_count = 0;
  size_t instance_count = 0;
  std::string lagging_addresses;
  do {
    in_force_count = 0;
    lagging_addresses.clear();
    const auto pages = co_await m_fleet.FetchFromAll("/sassafras/status");
    instance_count = pages.size();
    for (const Fleet::Page& page : pages) {
      if (page.ok && page.body.at("generation").to_number<uint64_t>() >= document.generation)
        ++in_force_count;
      else
        lagging_addresses += " " + page.address;
    }
    if (in_force_count == instance_count)
      break;
    co_await SleepPollPeriod();
  } while (steady_clock::now() < give_up_at);
  const std::string text = fmt::format("accepted: generation {}, change {}\nin force on {} of {} instances{}\n",
                                       document.generation, document.changes.back(), in_force_count, instance_count,
                                       lagging_addresses.empty() ? "" : "; not yet:" + lagging_addresses);
  m_printer.PrintResult({{"result", "accepted"},
                         {"generation", document.generation},
                         {"change_id", document.changes.back()},
                         {"in_force", in_force_count},
                         {"instances", instance_count}},
                        text);
  co_return in_force_count == instance_count ? ExitCode::kDone : ExitCode::kNotInForce;
}

asio::awaitable<ExitCode> Apply::Outcome() {
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return ReportFailure(value.status());
  const auto document = DecodeStored(*value);
  if (!document.ok())
    co_return ReportFailure(document.status());
  const bool accepted = HasChange(*document, m_options.change_id);
  if (!accepted && document->changes.size() >= kMaxChangeIds) {
    co_return ReportFailure(MakeError(ErrorKind::kOutcomeUnknown,
                                      "the change is not in the stored history, which holds only the latest changes",
                                      "compare the lists with 'sassafrasctl show'"));
  }
  const std::string_view result = accepted ? "accepted" : "not accepted so far";
  m_printer.PrintResult(
      {{"result", result}, {"change_id", m_options.change_id}, {"generation", document->generation}},
      fmt::format("{}: change {}, stored generation {}\n", result, m_options.change_id, document->generation));
  co_return accepted ? ExitCode::kDone : ExitCode::kConflict;
}

}  // namespace sassafras
