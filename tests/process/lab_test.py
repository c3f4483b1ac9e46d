"""The lab itself."""
import os
import pathlib
import subprocess
import sys

LAB_DIR = pathlib.Path(__file__).resolve().parents[2] / "tools" / "lab"


# Guards against the failure that a run of the lab could not be repeated: hash() of a string differs between processes.
def test_lab_gives_an_upstream_the_same_seed_in_every_process():
    seeds = set()
    for hash_seed in ("1", "2", "3"):
        result = subprocess.run([sys.executable, "-c", "import lab; print(lab.seed_of('127.0.0.1:20500'))"], cwd=LAB_DIR,
                                env={**os.environ, "PYTHONHASHSEED": hash_seed}, capture_output=True, text=True, check=True)
        seeds.add(result.stdout)
    assert len(seeds) == 1, seeds
