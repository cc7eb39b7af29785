#!/usr/bin/env python3
"""Runs clang-tidy on sources in parallel. Skips a source whose preprocessed text was already clean with
the same checks.

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
CLEAN_CACHE = CACHE / "rudderloom-lint"


def without_precompiled_header(command):
    """Removes GCC's precompiled header from a command, as clang cannot read it."""
    return re.sub(r"-include \S*cmake_pch\.hxx|-Winvalid-pch", "", command)


def load_compile_commands(build):
    """Returns one compile command for each source and writes them where clang-tidy reads them.

    A source has an entry for each target that contains it, and clang-tidy checks it once for each.
    """
    entries = json.loads((build / "compile_commands.json").read_text())
    for entry in entries:
        entry["command"] = without_precompiled_header(entry["command"])
    commands = {os.path.realpath(entry["file"]): entry for entry in entries}
    (build / "lint").mkdir(exist_ok=True)
    (build / "lint" / "compile_commands.json").write_text(json.dumps(list(commands.values())))
    return commands


def cache_key(entry, checks):
    """Returns a hash over the checks and the preprocessed source with its headers and comments."""
    words = shlex.split(entry["command"])
    at = words.index("-o")
    words = words[:at] + words[at + 2:]
    words[words.index("-c")] = "-E"
    words = [word for word in words if word != "ccache" and not word.endswith("/ccache")]
    # Names of files in assertions don't depend on where the clone is.
    words += ["-C", "-P", f"-fmacro-prefix-map={os.getcwd()}=."]
    text = subprocess.run(words, capture_output=True, cwd=entry["directory"], check=True)
    return hashlib.sha256(checks + text.stdout).hexdigest()


def lint(source, entry, build, checks):
    """Returns the findings of clang-tidy in one source; empty when it is clean."""
    key = CLEAN_CACHE / cache_key(entry, checks)
    if key.exists():
        return ""
    result = subprocess.run(["clang-tidy", "-p", str(build / "lint"), "--quiet",
                           "--warnings-as-errors=*", source], capture_output=True, text=True, check=False)
    if result.returncode == 0:
        key.touch()
        return ""
    return result.stdout or result.stderr


def main():
    build = pathlib.Path(sys.argv[1])
    sources = sys.argv[2:]
    CLEAN_CACHE.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    checks = version + pathlib.Path(".clang-tidy").read_bytes()
    commands = load_compile_commands(build)
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
