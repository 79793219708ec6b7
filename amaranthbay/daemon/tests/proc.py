"""Finds in /proc which rules for daemons a running process violates."""

import os
from pathlib import Path

__all__ = ["find_process_violations"]

ACCESS_MODE_MASK = 0o3
READ_ONLY = os.O_RDONLY
ALLOWED_LINK_PREFIXES = ("socket:", "pipe:", "anon_inode:[event", "/dev/null")


def find_process_violations(pid, log_path, program_folder="/nonexistent"):
    """Returns a description of each violation by a running process.

    Args:
        pid: Id of the process.
        log_path: Path of the only file that it may have open for writing.
        program_folder: Folder of the unpacked program, which may be in memory-backed
            storage.
    """
    folder = Path("/proc") / str(pid)
    return [
        *_child_violations(folder),
        *_mapping_violations(folder, program_folder),
        *_open_file_violations(folder, str(log_path)),
    ]


def _child_violations(folder):
    for task in (folder / "task").iterdir():
        for child in (task / "children").read_text().split():
            yield f"child process {child}"
    # Page faults of children that have ended and been waited for.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    if int(fields[8]) + int(fields[10]):
        yield "a child process has ended"


def _mapping_violations(folder, program_folder):
    for line in (folder / "maps").read_text().splitlines():
        parts = line.split(maxsplit=5)
        path = parts[5] if len(parts) > 5 else ""
        if "s" in parts[1] and not _is_system_cache(parts[1], path):
            yield f"shared mapping {path}"
        elif path.startswith(("/dev/shm", "/memfd")):
            if not path.startswith(program_folder):
                yield f"mapping of shared memory {path}"
        if "io_uring" in path:
            yield "mapping of an io_uring"


def _is_system_cache(access, path):
    """Returns whether a mapping is the C library's read-only cache of encodings."""
    return access == "r--s" and path.endswith("/gconv-modules.cache")


def _open_file_violations(folder, log_path):
    for descriptor in (folder / "fd").iterdir():
        try:
            link = os.readlink(descriptor)
            info = (folder / "fdinfo" / descriptor.name).read_text()
        except FileNotFoundError:
            continue
        if "io_uring" in link:
            yield "an io_uring"
        flags = next(line for line in info.splitlines() if line.startswith("flags:"))
        writable = int(flags.split()[1], 8) & ACCESS_MODE_MASK != READ_ONLY
        if writable and link != log_path and not link.startswith(ALLOWED_LINK_PREFIXES):
            yield f"open for writing: {link}"
