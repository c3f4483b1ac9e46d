"""An accepted change of the lists comes into force on every instance and is never reverted."""
import json
import signal
import time

from lab import Lab, http_post, wait_for


def edit_plan(lab, name="share", value=2):
    """Sets `name` of the plan of customer accounting in the working copy of the lists."""
    plans = lab.lists_dir / "plans.toml"
    text = plans.read_text()
    lines = [line for line in text.splitlines() if not line.startswith(f"{name} = ")]
    plans.write_text("\n".join(lines).replace('customer = "accounting"', f'customer = "accounting"\n{name} = {value}') + "\n")


def generations(lab):
    return {entry.name: lab.status(entry)["generation"] for entry in lab.entries
            if entry.process is not None and entry.process.poll() is None}


def test_a_change_is_in_force_everywhere():
    with Lab(base_port=23000, entries=5) as lab:
        edit_plan(lab)
        assert "in force on 5 of 5" in lab.ctl("apply").stdout
        assert set(generations(lab).values()) == {2}
        assert "no difference" in lab.ctl("diff").stdout


def test_two_operators_at_once():
    with Lab(base_port=23000) as lab:
        second_dir = lab.dir / "second"
        second_dir.mkdir()
        lab.ctl("show", "--dir", second_dir)
        edit_plan(lab)
        lab.ctl("apply")
        result = lab.ctl("apply", "--dir", second_dir, check=False)
        assert result.returncode == 5, result
        assert "their change:" in result.stderr and "~ plan invoices" in result.stderr, result.stderr
        assert set(generations(lab).values()) == {2}


def test_a_lost_reply_is_found_out():
    with Lab(base_port=23000) as lab:
        edit_plan(lab)
        http_post(lab.platform_address, "/standin/mode", {"mode": "lose_replies"})
        result = lab.ctl("apply", "--wait", 10)
        assert "accepted: generation 2" in result.stdout, result
        assert set(generations(lab).values()) == {2}


def test_an_unknown_outcome_is_said_to_be_unknown_and_can_be_found_out():
    with Lab(base_port=23000) as lab:
        edit_plan(lab)
        http_post(lab.platform_address, "/standin/mode", {"mode": "commit_then_down"})
        result = lab.ctl("apply", "--change-id", "my-change", "--wait", 0, check=False)
        assert result.returncode == 6 and "outcome --change-id my-change" in result.stderr, result
        http_post(lab.platform_address, "/standin/mode", {"mode": "up"})
        assert "accepted" in lab.ctl("outcome", "--change-id", "my-change").stdout
        missing = lab.ctl("outcome", "--change-id", "other", check=False)
        assert missing.returncode == 5 and "not accepted" in missing.stdout, missing
        wait_for(lambda: set(generations(lab).values()) == {2}, "the accepted change to be in force")


def test_an_edit_on_top_does_not_hide_an_accepted_change():
    with Lab(base_port=23000) as lab:
        edit_plan(lab)
        lab.ctl("apply", "--change-id", "first")
        edit_plan(lab, value=5)
        lab.ctl("apply", "--change-id", "second")
        for change in ("first", "second"):
            assert lab.ctl("outcome", "--change-id", change).stdout.startswith("accepted"), change


def test_a_store_that_is_down_is_said_to_be_down():
    with Lab(base_port=23000) as lab:
        http_post(lab.platform_address, "/standin/mode", {"mode": "down"})
        result = lab.ctl("apply", check=False)
        assert result.returncode in (4, 6) and "sassafrasctl:" in result.stderr, result


def test_instances_that_start_during_an_outage_take_the_lists_from_peers():
    with Lab(base_port=23000) as lab:
        edit_plan(lab)
        lab.ctl("apply")
        http_post(lab.platform_address, "/standin/mode", {"mode": "down"})
        entry = lab.entries[2]
        entry.process.kill()
        entry.process.wait()
        seeds = ", ".join(f'"{other.peer_address}"' for other in lab.entries[:2])
        lab.start_entry(entry, extra=f"seed_peers = [{seeds}]\n", register=False)
        wait_for(lambda: lab.status(entry)["phase"] == "serving", "the new instance to serve")
        assert generations(lab)[entry.name] == 2


def test_a_frozen_instance_wakes_and_does_not_go_back():
    with Lab(base_port=23000) as lab:
        entry = lab.entries[1]
        entry.process.send_signal(signal.SIGSTOP)
        edit_plan(lab)
        lab.ctl("apply", "--wait", 1, check=False)
        edit_plan(lab, value=3)
        lab.ctl("apply", "--wait", 1, check=False)
        entry.process.send_signal(signal.SIGCONT)
        wait_for(lambda: set(generations(lab).values()) == {3}, "the resumed instance to catch up")
        time.sleep(1)
        assert set(generations(lab).values()) == {3}


def test_a_store_that_comes_back_older_does_not_revert_a_change():
    with Lab(base_port=23000) as lab:
        http_post(lab.platform_address, "/standin/save", {})
        edit_plan(lab)
        lab.ctl("apply")
        http_post(lab.platform_address, "/standin/rollback", {})
        edit_plan(lab, value=4)
        result = lab.ctl("apply", check=False)
        if result.returncode != 0:
            assert "the store came back older" in result.stderr or "based on" in result.stderr, result
        wait_for(lambda: lab.ctl("diff", check=False).returncode == 0 and stored_generation(lab) >= 2,
                 "the lists in the store to be restored")
        assert min(generations(lab).values()) >= 2


def stored_generation(lab):
    folder = lab.dir / "look"
    folder.mkdir(exist_ok=True)
    return json.loads(lab.ctl("show", "--dir", folder, "--output", "json").stdout)["generation"]
