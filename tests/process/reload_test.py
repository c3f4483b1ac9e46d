"""Reloading of the settings file while an instance runs."""
import signal

from lab import Lab, wait_for


def test_settings_are_reloaded_and_a_damaged_file_changes_nothing():
    with Lab(base_port=26000, entries=1) as lab:
        entry = lab.entries[0]
        log = lab.dir / f"{entry.name}.log"
        lab.write_settings(entry, "\nno such syntax\n")
        entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "event=settings_unusable" in log.read_text(), "the log line about the damaged file")
        # A changed file is reloaded without a signal.
        lab.write_settings(entry, '\nconnect_timeout = "300ms"\n')
        wait_for(lambda: "event=settings_reloaded" in log.read_text(), "the log line about the new settings")
        assert entry.process.poll() is None
