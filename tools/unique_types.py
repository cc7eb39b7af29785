#!/usr/bin/env python3
"""Finds types that are defined more than once under the same qualified name.

Two such types in one program violate the one-definition rule. Neither the compiler nor the linker
reports two structs of the same name in different headers: the linker keeps the member functions of one
for both, which corrupts memory.

usage: tools/unique_types.py FOLDER ...   Exit status 0 when every name is defined once.
Relies on the layout of clang-format: namespace members begin in the first column.
"""
import collections
import pathlib
import re
import sys

TYPE_DEFINITION = re.compile(r"(?:template <.*> )?(?:struct|class|enum class|enum) ([A-Z]\w*)(?: final)?(?: :.*)?(?: \{.*)?$")
NAMESPACE_OPEN = re.compile(r"namespace ([\w:]*) ?\{$")
NAMESPACE_CLOSE = re.compile(r"\}  // namespace")
ANONYMOUS = "(anonymous)"


def defined_types(path):
    """Yields qualified name and line of each type that a file defines, except in anonymous namespaces."""
    namespaces = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if opened := NAMESPACE_OPEN.match(line):
            namespaces.append(opened[1] or ANONYMOUS)
        elif NAMESPACE_CLOSE.match(line):
            namespaces.pop()
        elif not line.rstrip().endswith(";") and ANONYMOUS not in namespaces:
            if found := TYPE_DEFINITION.match(line):
                yield "::".join(namespaces + [found[1]]), number


def main():
    locations_by_name = collections.defaultdict(list)
    for folder in sys.argv[1:]:
        for path in sorted(pathlib.Path(folder).rglob("*.[ch]pp")):
            if "generated" in path.parts:
                continue
            for name, number in defined_types(path):
                locations_by_name[name].append(f"{path}:{number}")
    duplicates = {name: locations for name, locations in locations_by_name.items() if len(locations) > 1}
    for name, locations in sorted(duplicates.items()):
        print(f"{name} is defined more than once: {', '.join(locations)}")
    return 1 if duplicates else 0


if __name__ == "__main__":
    sys.exit(main())
