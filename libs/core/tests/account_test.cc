#include <doctest/doctest.h>

#include <string>

#include "account_fixture.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

// Guards against requests that run without a key, and against 401 for public routes.
TEST_CASE("with accounts, a call needs the key of one unless its route is public") {
  AccountFixture fixture{Millis(0)};
  fixture.Confirm();
  CHECK(fixture.Call("a1") == "accepted");
  CHECK(fixture.Call("a2") == "accepted");
  CHECK(fixture.Call("") == "unauthorized");
  CHECK(fixture.Call("A1") == "unauthorized");
  CHECK(fixture.Call("c1") == "unauthorized");
  CHECK(fixture.Call("", "/open/x") == "accepted");
  CHECK(fixture.Call("c1", "/open/x") == "accepted");
  CHECK(fixture.instance.GetState().CallsRejectedForKeys() == 3);
}

// Guards against 401 for the key of an account that this instance has not learned of yet, or could not decode.
TEST_CASE("a key is called unknown only by lists that are current and whole") {
  AccountFixture fixture{Millis(0)};
  CHECK(fixture.Call("c1") == "lists_not_current");
  fixture.Confirm();
  CHECK(fixture.Call("c1") == "unauthorized");
  Lists lists = AccountFixture::MakeLists();
  lists.has_unreadable_accounts = true;
  fixture.instance.ReceiveLists(2, lists);
  fixture.Confirm();
  CHECK(fixture.Call("c1") == "lists_not_current");
  CHECK(fixture.Call("a1") == "accepted");
}

// Guards against an unprotected deployment because none of its accounts could be decoded.
TEST_CASE("lists whose only account cannot be read admit no call without a key") {
  AccountFixture fixture{Millis(0)};
  Lists lists = AccountFixture::MakeLists();
  lists.accounts.clear();
  lists.has_unreadable_accounts = true;
  fixture.instance.ReceiveLists(2, lists);
  fixture.Confirm();
  CHECK(fixture.Call("") == "lists_not_current");
  CHECK(fixture.Call("", "/open/x") == "accepted");
}

// Guards against changes for deployments that have no accounts, whatever their settings.
TEST_CASE("without accounts no call needs a key or a confirmation") {
  AccountFixture fixture;
  Lists lists = AccountFixture::MakeLists();
  lists.accounts.clear();
  fixture.instance.ReceiveLists(2, lists);
  CHECK(fixture.Call("") == "accepted");
  CHECK(fixture.Call("c1") == "accepted");
  CHECK_FALSE(fixture.instance.GetState().NeedsKeyConfirmation());
}

// Guards against a second account that takes over the key of the first.
TEST_CASE("a key that two accounts hold belongs to the first of them") {
  AccountFixture fixture{Millis(0)};
  Lists lists = AccountFixture::MakeLists();
  lists.accounts = {AccountFixture::MakeAccount("a", {"k"}), AccountFixture::MakeAccount("b", {"k", "b1"})};
  fixture.instance.ReceiveLists(2, lists);
  const State& state = fixture.instance.GetState();
  CHECK(state.AccountName(state.FindAccount("k")) == "a");
  CHECK(state.AccountName(state.FindAccount("b1")) == "b");
}

// Guards against handles of removed accounts that stand for other accounts later.
TEST_CASE("an account that is removed and comes back is the same account, and its former keys are unknown") {
  AccountFixture fixture{Millis(0)};
  const AccountHandle before = fixture.instance.GetState().FindAccount("b1");
  Lists lists = AccountFixture::MakeLists();
  lists.accounts.pop_back();
  fixture.instance.ReceiveLists(2, lists);
  fixture.Confirm();
  CHECK(fixture.Call("b1") == "unauthorized");
  lists.accounts.push_back(AccountFixture::MakeAccount("b", {"b2"}));
  fixture.instance.ReceiveLists(3, lists);
  CHECK(fixture.instance.GetState().FindAccount("b2") == before);
  CHECK_FALSE(fixture.instance.GetState().FindAccount("b1").IsValid());
}

}  // namespace
}  // namespace sassafras
