"""Builds ``dist/amaranthbay``, the program in one file, without a download.

shiv packs the packages that the program needs, as the virtual environment has
them. At its first start the file unpacks into the folder that ``SHIV_ROOT`` names,
which has to be on a memory-backed file system on instances without disks.
"""

import re
import shutil
import subprocess
import sys
import tomllib
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAGE = ROOT / "build" / "site-packages"
TARGET = ROOT / "dist" / "amaranthbay"
ENTRY_POINT = "amaranthbay.__main__:main"
# A library requires these for its own build; nothing imports them.
BUILD_ONLY = ("pbr", "setuptools")
NOT_PACKED = ("tests", "__pycache__", "*.pyc", "*.c", "*.pyx", "*.h", "*.pxd")


def needed_packages(names):
    """Returns the names and all that they require, without extras."""
    found = {}
    waiting = list(names)
    while waiting:
        name = re.split(r"[\s;<>=!~\[(]", waiting.pop(), maxsplit=1)[0]
        key = re.sub(r"[-_.]+", "-", name).lower()
        if key in found or key in BUILD_ONLY:
            continue
        try:
            found[key] = metadata.distribution(name)
        except metadata.PackageNotFoundError:
            # A requirement for another platform or Python version.
            continue
        required = found[key].requires or []
        waiting.extend(each for each in required if "extra ==" not in each)
    return found


def copy_package(distribution):
    """Copies the files of one installed package to the stage."""
    for file in distribution.files or []:
        source = Path(distribution.locate_file(file))
        outside = ".." in file.parts
        skipped = any(file.match(pattern) for pattern in NOT_PACKED)
        if outside or skipped or "tests" in file.parts or not source.is_file():
            continue
        target = STAGE / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def stage():
    """Fills the stage with the program and what it needs."""
    shutil.rmtree(STAGE, ignore_errors=True)
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    for distribution in needed_packages(project["dependencies"]).values():
        copy_package(distribution)
    source = ROOT / "amaranthbay"
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    shutil.copytree(source, STAGE / "amaranthbay", ignore=ignored)


def main():
    """Builds the file and returns the exit code."""
    stage()
    TARGET.parent.mkdir(exist_ok=True)
    version = f"python{sys.version_info.major}.{sys.version_info.minor}"
    # Compiling at the first start is left off: shiv compiles in child processes.
    command = [sys.executable, "-m", "shiv", "--site-packages", str(STAGE)]
    command += ["--entry-point", ENTRY_POINT, "--python", f"/usr/bin/env {version}"]
    command += ["--output-file", str(TARGET), "--reproducible", "--compressed"]
    done = subprocess.run(command, cwd=ROOT)
    if done.returncode == 0:
        size = TARGET.stat().st_size / 2**20
        print(f"{TARGET.relative_to(ROOT)}: {size:.1f} MB")
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
