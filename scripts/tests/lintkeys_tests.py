#!/usr/bin/env python3
"""Checks which parts of a source file count for its lint key: all that the linter reads, and no other comment."""

import pathlib
import sys
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lintkeys import without_comments  # noqa: E402

SOURCE = """// A head comment.
#include "a.h"

// Explains the function.
auto call(int width) -> std::string
{
    check(width); // too wide
    // NOLINTNEXTLINE(bugprone-infinite-loop)
    while (width > 1'000) { // bounded
    }
    other(/* name= */ width); // NOLINT(bugprone-argument-comment)
    return "http://host/" + std::string(1, '"') + R"x(// kept)x";
}
"""


class LintKeys(unittest.TestCase):
    def same(self, old, new):
        self.assertIn(old, SOURCE)
        self.assertEqual(without_comments(SOURCE), without_comments(SOURCE.replace(old, new)))

    def differs(self, old, new):
        self.assertIn(old, SOURCE)
        self.assertNotEqual(without_comments(SOURCE), without_comments(SOURCE.replace(old, new)))

    def test_line_comments_do_not_count(self):
        self.same("// A head comment.", "// Another one,\n// of two lines.")
        self.same("// Explains the function.\n", "")
        self.same(" // too wide", "")
        self.same("// too wide", "// over the limit")

    def test_tokens_count(self):
        self.differs("call(int width)", "call(int height)")
        self.differs("1'000", "1'001")
        self.differs('#include "a.h"', '#include "b.h"')
        self.differs("    }\n", "")

    def test_slashes_inside_literals_count(self):
        self.differs("http://host/", "http://peer/")
        self.differs("// kept", "// changed")
        self.differs("1, '\"'", "1, '/'")

    def test_suppressions_count(self):
        self.differs("// NOLINTNEXTLINE(bugprone-infinite-loop)", "")
        self.differs("NOLINT(bugprone-argument-comment)", "NOLINT(misc-unused-parameters)")

    def test_argument_names_count(self):
        self.differs("/* name= */", "/* width= */")

    def test_the_line_after_a_suppression_counts(self):
        self.differs("    while", "    // A comment that takes the suppression.\n    while")
        self.differs(" // bounded", "")

    def test_a_continued_comment_counts(self):
        self.assertNotEqual(without_comments("// a \\\nint b;\n"), without_comments("// c \\\nint b;\n"))


if __name__ == "__main__":
    unittest.main()
