#include "lists/lists_review.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace sassafras {
namespace {

using Entry = ListsFinding::Entry;
using Field = ListsFinding::Field;
using std::chrono::milliseconds;

/** Most endpoints that one request is sent to, whatever its plan allows (CallState::kMaxAttempts). */
constexpr uint32_t kMaxAttemptsPerCall = 4;

/** Host, path prefix and method of a plan: no two plans can match the same ones. */
using RouteKey = std::tuple<std::string_view, std::string_view, std::string_view>;

RouteKey KeyOf(const Plan& plan) {
  return {plan.host, plan.path_prefix, plan.method};
}

std::string Millis(std::chrono::microseconds duration) {
  return fmt::format("{} ms", std::chrono::duration<double, std::milli>(duration).count());
}

std::vector<std::string_view> ServicesOf(const Plan& plan) {
  if (plan.split.empty())
    return {plan.service};
  std::vector<std::string_view> names;
  for (const WeightedService& part : plan.split)
    names.emplace_back(part.service);
  return names;
}

/** Whether a path of a request can start with `prefix`; the query is part of the path that is matched. */
bool CanStartPath(std::string_view prefix) {
  constexpr char kFirstVisible = '!';
  constexpr char kLastVisible = '~';
  const bool visible =
      std::all_of(prefix.begin(), prefix.end(), [](char c) { return c >= kFirstVisible && c <= kLastVisible; });
  return visible && prefix.starts_with('/') && prefix.find('#') == std::string_view::npos;
}

void ReviewPlan(const Plan& plan, std::vector<ListsFinding>& findings) {
  const auto add = [&](Field field, std::string message, std::string remedy) {
    findings.push_back({Entry::kPlan, plan.name, field, std::move(message), std::move(remedy)});
  };
  if (!CanStartPath(plan.path_prefix))
    add(Field::kPathPrefix, "no request path starts with it", "begin it with '/' and write other characters as %XX");
  if (plan.split.empty() && plan.service.empty())
    add(Field::kService, "the route has no service, or only weights of zero: its requests are rejected",
        "name a service, or give one a weight above 0");
  if (plan.objective_latency > plan.deadline)
    add(Field::kDeadline,
        fmt::format("the timeout of {} is shorter than the latency objective of {}", Millis(plan.deadline),
                    Millis(plan.objective_latency)),
        "raise the timeout or lower the objective");
  if (plan.max_attempts > kMaxAttemptsPerCall)
    add(Field::kMaxAttempts,
        fmt::format("no request is sent to more than {} endpoints, and retries are limited to a share of the requests",
                    kMaxAttemptsPerCall),
        fmt::format("use a value from 1 to {}", kMaxAttemptsPerCall));
}

/** Finds plans that an earlier one with the same host and prefix always goes before. */
void ReviewMatching(const Lists& lists, std::vector<ListsFinding>& findings) {
  std::map<RouteKey, std::string_view> first_names;
  for (const Plan& plan : lists.plans) {
    const auto [first, is_first] = first_names.emplace(KeyOf(plan), plan.name);
    if (!is_first)
      findings.push_back({Entry::kPlan, plan.name, Field::kPathPrefix,
                          fmt::format("never matches: '{}' has the same host and prefix", first->second),
                          "remove one of the two, or change the host or prefix"});
  }
}

void ReviewServices(const Lists& lists, std::vector<ListsFinding>& findings) {
  std::set<std::string_view> used;
  for (const Plan& plan : lists.plans) {
    for (const std::string_view name : ServicesOf(plan))
      used.insert(name);
  }
  std::set<std::string_view> seen;
  for (const Service& service : lists.services) {
    const auto add = [&](Field field, std::string message, std::string remedy) {
      findings.push_back({Entry::kService, service.name, field, std::move(message), std::move(remedy)});
    };
    if (!seen.insert(service.name).second)
      add(Field::kName, "the name is used twice; only one of the two applies", "give each service a name of its own");
    // Services without a name stand in for those that routes lack.
    if (!service.name.empty() && !used.contains(service.name))
      add(Field::kNone, "no route uses it", "remove it, or name it in a route");
    if (service.warmup_rate > 0 && service.warmup_duration <= milliseconds::zero())
      add(Field::kWarmupRate, "it limits nothing, since the warm-up has no duration", "set the duration as well");
    if (service.warmup_rate <= 0 && service.warmup_duration > milliseconds::zero())
      add(Field::kWarmupDuration, "nothing limits the load during the warm-up", "set the rate as well");
  }
}

void ReviewAccountLimits(const Account& account, std::vector<ListsFinding>& findings) {
  const auto add = [&](Field field, std::string message, std::string remedy) {
    findings.push_back({Entry::kAccount, account.name, field, std::move(message), std::move(remedy)});
  };
  if (account.name.empty())
    add(Field::kName, "the account has no name", "give each account a name");
  if (account.keys.empty())
    add(Field::kKeys, "the account has no API key, so no request can be its", "add a key, or remove the account");
  if (account.rate_per_second < 0)
    add(Field::kRate, "a rate below 0", "use a rate above 0, or 0 for no limit");
  // With a rate and no burst there is no limit on bursts; a burst below one request would let none through.
  if (account.rate_per_second > 0 && account.burst != 0 && account.burst < 1)
    add(Field::kBurst, "a burst below one request", "use 1 or more, or leave it out");
  if (account.rate_per_second == 0 && account.burst > 0)
    add(Field::kBurst, "it limits nothing, since the account has no rate", "set a rate as well");
}

void ReviewAccounts(const Lists& lists, std::vector<ListsFinding>& findings) {
  std::set<std::string_view> names;
  /** Holder of each key, and the position of the key there, from 1. */
  std::map<std::string_view, std::pair<std::string_view, size_t>> holders;
  for (const Account& account : lists.accounts) {
    ReviewAccountLimits(account, findings);
    if (!names.insert(account.name).second)
      findings.push_back({Entry::kAccount, account.name, Field::kName, "the name is used twice",
                          "give each account a name of its own"});
    for (size_t i = 0; i < account.keys.size(); ++i) {
      const std::string_view key = account.keys[i];
      if (key.empty()) {
        findings.push_back(
            {Entry::kAccount, account.name, Field::kKeys, fmt::format("key {} is empty", i + 1), "remove it"});
        continue;
      }
      const auto [holder, is_first] = holders.emplace(key, std::make_pair(std::string_view(account.name), i + 1));
      if (!is_first)
        findings.push_back(
            {Entry::kAccount, account.name, Field::kKeys,
             fmt::format("key {} is also key {} of account '{}'", i + 1, holder->second.second, holder->second.first),
             "give each account keys of its own"});
    }
  }
  const bool keyless = std::all_of(lists.plans.begin(), lists.plans.end(), [](const Plan& p) { return p.is_public; });
  if (!lists.accounts.empty() && !lists.plans.empty() && keyless)
    findings.push_back({Entry::kConfiguration, "", Field::kIsPublic,
                        "all routes are public, so no API key is ever used",
                        "remove 'public' from the routes that need a key, or remove the accounts"});
}

bool HasKeyHolders(const Lists& lists) {
  return std::any_of(lists.accounts.begin(), lists.accounts.end(), [](const Account& a) { return !a.keys.empty(); });
}

bool NeedsKey(const Lists& lists, const Plan& plan) {
  return !lists.accounts.empty() && !plan.is_public;
}

/** Finds plans whose requests no plan would match, or whose requests would need a key. */
void ReviewChangedPlans(const Lists& before, const Lists& after, std::vector<ListsFinding>& findings) {
  for (const Plan& old_plan : before.plans) {
    const auto add = [&](Field field, std::string message, std::string remedy) {
      findings.push_back({Entry::kPlan, old_plan.name, field, std::move(message), std::move(remedy)});
    };
    const Plan* found = nullptr;
    for (const Plan& plan : after.plans) {
      const bool covers = (plan.host == old_plan.host || plan.host.empty()) &&
                          (plan.method == old_plan.method || plan.method == "*") &&
                          old_plan.path_prefix.starts_with(plan.path_prefix);
      // As when requests are matched: a plan of the host goes first, then the longest prefix.
      if (covers && (found == nullptr || std::make_pair(!plan.host.empty(), plan.path_prefix.size()) >
                                             std::make_pair(!found->host.empty(), found->path_prefix.size())))
        found = &plan;
    }
    if (found == nullptr) {
      add(Field::kNone, "dropped, and no other route matches its requests: they would get 404",
          "keep the route, or make sure that nobody uses it");
      continue;
    }
    const bool had_service = !old_plan.split.empty() || !old_plan.service.empty();
    if (had_service && found->split.empty() && found->service.empty())
      add(Field::kService, "its requests were served and now have no service: they would get 503", "name a service");
    if (!NeedsKey(before, old_plan) && NeedsKey(after, *found))
      add(Field::kIsPublic, "its requests needed no API key and now do: those without one would get 401",
          "make the route public, or give its callers keys first");
    if (found->deadline < old_plan.deadline)
      add(Field::kDeadline,
          fmt::format("the timeout falls from {} to {}: slower requests would get 504", Millis(old_plan.deadline),
                      Millis(found->deadline)),
          "check how long its requests take");
  }
}

/** Name and quota of each account by key. */
std::map<std::string_view, const Account*> AccountsByKey(const Lists& lists) {
  std::map<std::string_view, const Account*> accounts;
  for (const Account& account : lists.accounts) {
    for (const std::string& key : account.keys)
      accounts.emplace(key, &account);
  }
  return accounts;
}

void ReviewChangedAccounts(const Lists& before, const Lists& after, std::vector<ListsFinding>& findings) {
  if (after.accounts.empty())
    return;
  const auto accounts_by_key = AccountsByKey(after);
  std::map<std::string_view, const Account*> accounts_by_name;
  for (const Account& account : after.accounts)
    accounts_by_name.emplace(account.name, &account);
  for (const Account& old_account : before.accounts) {
    const auto add = [&](Field field, std::string message, std::string remedy) {
      findings.push_back({Entry::kAccount, old_account.name, field, std::move(message), std::move(remedy)});
    };
    for (size_t i = 0; i < old_account.keys.size(); ++i) {
      const auto holder = accounts_by_key.find(old_account.keys[i]);
      if (holder == accounts_by_key.end())
        add(Field::kKeys,
            fmt::format("key {} of the version compared with is removed: its requests would get 401", i + 1),
            "make sure that its callers use another key");
      else if (holder->second->name != old_account.name)
        add(Field::kKeys,
            fmt::format("key {} of the version compared with now belongs to account '{}'", i + 1, holder->second->name),
            "check that this is meant");
    }
    const auto found = accounts_by_name.find(old_account.name);
    if (found == accounts_by_name.end())
      continue;
    const Account& account = *found->second;
    const bool lower = account.rate_per_second > 0 &&
                       (old_account.rate_per_second == 0 || account.rate_per_second < old_account.rate_per_second);
    if (lower)
      add(Field::kRate,
          fmt::format("the rate falls from {} to {} requests a second: those above it would get 429",
                      old_account.rate_per_second == 0 ? "no limit" : fmt::format("{}", old_account.rate_per_second),
                      account.rate_per_second),
          "check how many requests the account sends");
  }
}

void ReviewChangedLimits(const CallerLimits& before, const CallerLimits& after, std::vector<ListsFinding>& findings) {
  const auto body_limit = [](const CallerLimits& limits) {
    return limits.body_bytes == 0 ? UINT64_MAX : limits.body_bytes;
  };
  const auto add = [&](std::string message) {
    findings.push_back({Entry::kConfiguration, "", Field::kRequestLimits, std::move(message),
                        "check how large requests are and how fast callers send them"});
  };
  if (after.header_bytes < before.header_bytes)
    add(fmt::format("the largest request head falls from {} to {} bytes: larger ones would get 431",
                    before.header_bytes, after.header_bytes));
  if (body_limit(after) < body_limit(before))
    add(fmt::format("the largest request body falls to {} bytes: larger ones would get 413", after.body_bytes));
  if (after.header_timeout < before.header_timeout)
    add(fmt::format("the time to receive a request head falls from {} to {} ms: slower ones would get 408",
                    before.header_timeout.count(), after.header_timeout.count()));
}

}  // namespace

std::vector<ListsFinding> ReviewLists(const Lists& lists) {
  std::vector<ListsFinding> findings;
  for (const Plan& plan : lists.plans)
    ReviewPlan(plan, findings);
  ReviewMatching(lists, findings);
  ReviewServices(lists, findings);
  ReviewAccounts(lists, findings);
  if (!lists.accounts.empty() && !HasKeyHolders(lists))
    findings.push_back({Entry::kConfiguration, "", Field::kKeys,
                        "there are accounts and none has an API key: only public routes can be used", "add keys"});
  return findings;
}

std::vector<ListsFinding> ReviewChange(const Lists& before, const Lists& after) {
  std::vector<ListsFinding> findings;
  ReviewChangedPlans(before, after, findings);
  ReviewChangedAccounts(before, after, findings);
  ReviewChangedLimits(before.limits, after.limits, findings);
  return findings;
}

}  // namespace sassafras
