"""The command line: exit codes, messages and help."""
import json
import pathlib
import subprocess
import tempfile

from lab import BUILD, Lab


def run(program, *arguments):
    return subprocess.run([str(BUILD / program), *map(str, arguments)], capture_output=True, text=True)


def test_usage_errors_name_the_remedy():
    for program, arguments, code, words in [
            ("sassafrasctl", [], 2, "name one command"), ("sassafrasctl", ["fly"], 2, "unknown command 'fly'"),
            ("sassafrasctl", ["--colour"], 2, "--colour"), ("sassafrasctl", ["status", "--output", "xml"], 2, "text or json"),
            ("sassafrasctl", ["check", "--dir", "/nonexistent"], 3, "plans.toml: cannot be read"),
            ("sassafrasctl", ["show", "--platform", "127.0.0.1:1"], 4, "cannot connect"),
            ("sassafrasctl", ["show"], 4, "no address is set"), ("sassafrasd", [], 2, "--settings FILE"),
            ("sassafrasd", ["--settings", "/nonexistent"], 3, "cannot be read"), ("caller", [], 2, "--entry"),
            ("upstream_standin", ["--slots", "many"], 2, "is not a number"), ("platform_standin", [], 2, "--listen")]:
        result = run(program, *arguments)
        assert result.returncode == code and words in result.stderr, (program, arguments, result)
    for program in ["sassafrasctl", "sassafrasd", "caller", "upstream_standin", "platform_standin"]:
        assert "Usage:" in run(program, "--help").stdout, program


def test_a_configuration_is_checked_before_it_is_sent():
    """Guards against exit codes or fields that programs cannot rely on, and against keys on the screen."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        route = {"entryKind": "routes", "metadata": {"name": "r"},
                 "spec": {"host": "h", "prefix": "/", "type": "safe", "timeoutS": 1, "service": "s"}}
        service = {"entryKind": "services", "metadata": {"name": "s"}, "spec": {"healthPath": "/h"}}
        account = {"entryKind": "tenants", "metadata": {"name": "t"}, "spec": {"apiKeys": ["hidden", "hidden"], "key": "hidden"}}

        def write(name, version, *resources):
            path = folder / name
            path.write_text(json.dumps({"version": version, "resources": resources}))
            return path

        clean = write("clean", "00000001", route, service)
        odd = write("odd", "00000002", service, account)
        result = run("sassafrasctl", "check", clean)
        assert result.returncode == 0 and "0 findings" in result.stdout, result
        result = run("sassafrasctl", "check", odd, "--against", clean)
        assert result.returncode == 1 and "would be rejected" in result.stdout, result
        assert "hidden" not in result.stdout + result.stderr, result
        result = run("sassafrasctl", "check", odd, "--against", clean, "--format", "json")
        report = json.loads(result.stdout)
        assert result.returncode == 1 and report["findings"] and report["rejections"] and report["changes"], result
        assert {"file", "entry", "field", "message", "remedy"} == set(report["findings"][0]), report
        for arguments in [[folder / "missing"], [folder], [clean, "--against", folder / "missing"], [write("none", "0")],
                          [clean, "--platform", "127.0.0.1:1"], [clean, odd], ["--against", clean]]:
            result = run("sassafrasctl", "check", *arguments)
            assert result.returncode == 2 and result.stderr, (arguments, result)


def test_status_burn_and_json():
    with Lab(base_port=26000) as lab:
        lab.start_caller("name=catalogue,path=/katalog,rate=100,work-us=1000", seconds=2).wait()
        status = json.loads(lab.ctl("status", "--output", "json").stdout)
        assert [row["phase"] for row in status["instances"]] == ["serving"] * 3, status
        burn = json.loads(lab.ctl("burn", "--output", "json").stdout)
        rows = {row["plan"]: row for row in burn["plans"]}
        assert rows["catalogue"]["calls_1h"] > 150, burn
        page = lab.dir / "burn.html"
        lab.ctl("burn", "--html", page)
        assert "Service-level burn" in page.read_text()
        lab.entries[0].process.kill()
        lab.entries[0].process.wait()
        silent = json.loads(lab.ctl("burn", "--output", "json").stdout)["silent"]
        assert silent == [lab.entries[0].address], silent
        assert lab.ctl("status", check=False).returncode == 4


def test_settings_in_use_are_refused_with_the_setting_named():
    with Lab(base_port=26000, entries=1) as lab:
        entry = lab.entries[0]
        result = run("sassafrasd", "--settings", lab.write_settings(entry))
        assert result.returncode == 4 and "listen 127.0.0.1:" in result.stderr, result
