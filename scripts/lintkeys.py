#!/usr/bin/env python3
"""Prints a key for each source file that is named, one line each: KEY FILE.

The key is a hash of the file, of every header of the project that it includes, directly or not, of the lint configuration
and of the linter's version. Two files with the same key get the same verdict, so scripts/lint.sh checks each key once on a
machine; a fresh machine checks all.

Line comments are left out of the hash: none of the enabled checks reads them. What the linter does read counts: comments with
NOLINT, the line that NOLINTNEXTLINE names, and block comments (the argument names of bugprone-argument-comment).
"""

import hashlib
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
INCLUDE_ROOTS = (ROOT / "src", ROOT)
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
# Raw strings, strings, numbers with digit separators, characters and block comments are matched first, so that a "//" inside
# one of them is not taken for a line comment.
TOKEN = re.compile(
    r'''(?P<kept>R"(?P<mark>[^()\\\s]*)\(.*?\)(?P=mark)"|"(?:[^"\\\n]|\\.)*"|\b[0-9](?:'?[0-9A-Za-z_.])*|'(?:[^'\\\n]|\\.)*'|/\*.*?\*/)'''
    r'''|(?P<comment>//[^\n]*)''',
    re.DOTALL,
)


def without_comments(text):
    """The text without its line comments and without the lines that held nothing else, as far as the linter does not read them."""
    bound = {match.end() + 1 for match in re.finditer(r"^[^\n]*NOLINTNEXTLINE[^\n]*$", text, re.MULTILINE)}

    def replacement(match):
        comment = match.group("comment")
        first = text.rfind("\n", 0, match.start()) + 1
        if comment is None or "NOLINT" in comment or comment.endswith("\\") or first in bound:
            return match.group(0)
        return "\x01"

    stripped = TOKEN.sub(replacement, text)
    return re.sub(r"[ \t]*\x01", "", re.sub(r"(?m)^[ \t]*\x01\n?", "", stripped))


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
            digest.update(str(path.relative_to(ROOT)).encode() + b"\0" + without_comments(known[path].decode(errors="replace")).encode())
        print(digest.hexdigest(), name)


if __name__ == "__main__":
    main()
