"""Builds ``dist/amaranthbay``, the program in one file, without downloads.

shiv packs the program and the packages that it needs, as they are installed in the
virtual environment. At its first start the file unpacks into the folder that
``SHIV_ROOT`` names; on instances without disks, this folder must be on a file system
in memory.
"""

import re
import shutil
import subprocess
import sys
import tomllib
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAGING_FOLDER = ROOT / "build" / "site-packages"
OUTPUT_FILE = ROOT / "dist" / "amaranthbay"
ENTRY_POINT = "amaranthbay.__main__:main"
# Packages that others require only for their own build; the program never imports them.
BUILD_ONLY = ("pbr", "setuptools")
EXCLUDED_PATTERNS = ("tests", "__pycache__", "*.pyc", "*.c", "*.pyx", "*.h", "*.pxd")


def collect_packages(requirements):
    """Returns the installed packages that some requirements need, without extras.

    Args:
        requirements: Names of packages, with or without versions and markers.

    Returns:
        Distributions by normalised name, with all that they require in turn.
    """
    distributions = {}
    pending = list(requirements)
    while pending:
        name = re.split(r"[\s;<>=!~\[(]", pending.pop(), maxsplit=1)[0]
        key = re.sub(r"[-_.]+", "-", name).lower()
        if key in distributions or key in BUILD_ONLY:
            continue
        try:
            distributions[key] = metadata.distribution(name)
        except metadata.PackageNotFoundError:
            # Not installed, so required only on another platform or Python version.
            continue
        required = distributions[key].requires or []
        pending.extend(
            requirement for requirement in required if "extra ==" not in requirement
        )
    return distributions


def copy_package(distribution):
    """Copies the files of one installed package to the staging folder."""
    for file in distribution.files or []:
        source = Path(distribution.locate_file(file))
        is_outside = ".." in file.parts
        is_excluded = any(file.match(pattern) for pattern in EXCLUDED_PATTERNS)
        if is_outside or is_excluded or "tests" in file.parts or not source.is_file():
            continue
        target = STAGING_FOLDER / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def fill_staging_folder():
    """Copies the program and the packages that it needs to the staging folder."""
    shutil.rmtree(STAGING_FOLDER, ignore_errors=True)
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    for distribution in collect_packages(project["dependencies"]).values():
        copy_package(distribution)
    source = ROOT / "amaranthbay"
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    shutil.copytree(source, STAGING_FOLDER / "amaranthbay", ignore=ignored)


def main():
    """Builds the program file and returns the exit code."""
    fill_staging_folder()
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    interpreter = f"python{sys.version_info.major}.{sys.version_info.minor}"
    # The file isn't set to compile byte code at its first start, for which shiv would
    # start child processes.
    command = [sys.executable, "-m", "shiv", "--site-packages", str(STAGING_FOLDER)]
    command += ["--entry-point", ENTRY_POINT, "--python", f"/usr/bin/env {interpreter}"]
    command += ["--output-file", str(OUTPUT_FILE), "--reproducible", "--compressed"]
    completed = subprocess.run(command, cwd=ROOT)
    if completed.returncode == 0:
        size_mib = OUTPUT_FILE.stat().st_size / 2**20
        print(f"{OUTPUT_FILE.relative_to(ROOT)}: {size_mib:.1f} MiB")
    return completed.returncode


if __name__ == "__main__":
    sys.exit(main())
