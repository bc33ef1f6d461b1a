#!/usr/bin/env python3
"""Prints a key for each source file that is named, one line each: KEY FILE.

The key is a hash of the file, of every header of the project that it includes, directly or not, of the lint configuration
and of the linter's version. Two files with the same key get the same verdict, so scripts/lint.sh checks each key once on a
machine; a fresh machine checks all.
"""

import hashlib
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
INCLUDE_ROOTS = (ROOT / "src", ROOT)
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)


def included(path, known):
    """Adds path and all project headers that it includes to known."""
    if path in known:
        return
    known[path] = path.read_bytes()
    for name in INCLUDE.findall(known[path].decode(errors="replace")):
        for root in (path.parent, *INCLUDE_ROOTS):
            candidate = (root / name).resolve()
            if candidate.is_file():
                included(candidate, known)
                break


def main():
    settings = (ROOT / ".clang-tidy").read_bytes()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    for name in sys.argv[1:]:
        known = {}
        included((ROOT / name).resolve(), known)
        digest = hashlib.sha256(settings + version)
        for path in sorted(known):
            digest.update(str(path.relative_to(ROOT)).encode() + b"\0" + known[path])
        print(digest.hexdigest(), name)


main()
