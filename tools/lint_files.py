#!/usr/bin/env python3
"""Runs clang-tidy over sources, several at once; one that was clean before with the same text, after
preprocessing, and the same checks is not run again.

usage: tools/lint_files.py BUILD_DIRECTORY SOURCE ...   Exit status 0 when all are clean.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
CLEAN = CACHE / "rudderloom-lint"


def without_precompiled_header(command):
    """GCC's precompiled headers mean nothing to clang."""
    return re.sub(r"-include \S*cmake_pch\.hxx|-Winvalid-pch", "", command)


def commands_of(build):
    """Compile commands by source, also written where clang-tidy reads them."""
    entries = json.loads((build / "compile_commands.json").read_text())
    for entry in entries:
        entry["command"] = without_precompiled_header(entry["command"])
    (build / "lint").mkdir(exist_ok=True)
    (build / "lint" / "compile_commands.json").write_text(json.dumps(entries))
    return {os.path.realpath(entry["file"]): entry for entry in entries}


def key_of(entry, checks):
    """Names the source's text with all its headers and comments, and the checks."""
    words = shlex.split(entry["command"])
    at = words.index("-o")
    words = words[:at] + words[at + 2:]
    words[words.index("-c")] = "-E"
    words = [word for word in words if word != "ccache" and not word.endswith("/ccache")]
    text = subprocess.run(words + ["-C", "-P"], capture_output=True, cwd=entry["directory"], check=True)
    return hashlib.sha256(checks + text.stdout).hexdigest()


def lint(source, entry, build, checks):
    """What clang-tidy found in one source; empty when it is clean."""
    key = CLEAN / key_of(entry, checks)
    if key.exists():
        return ""
    done = subprocess.run(["clang-tidy", "-p", str(build / "lint"), "--quiet",
                           "--warnings-as-errors=*", source], capture_output=True, text=True, check=False)
    if done.returncode == 0:
        key.touch()
        return ""
    return done.stdout or done.stderr


def main():
    build = pathlib.Path(sys.argv[1])
    sources = sys.argv[2:]
    CLEAN.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    checks = version + pathlib.Path(".clang-tidy").read_bytes()
    commands = commands_of(build)
    failed = False
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        jobs = [pool.submit(lint, source, commands[os.path.realpath(source)], build, checks)
                for source in sources if os.path.realpath(source) in commands]
        for job in jobs:
            found = job.result()
            failed = failed or bool(found)
            print(found, end="")
    print("sources linted:", len(jobs))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
