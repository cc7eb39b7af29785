#!/usr/bin/env python3
"""Applies each mutation to a scratch copy of the tree, builds its test and expects the test to fail."""
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile


def run(command, cwd, limit=900):
    return subprocess.run(command, cwd=cwd, capture_output=True, text=True, timeout=limit,
                          check=False)


def apply_mutation(text, mutation):
    for change in [mutation, *mutation.get("also", [])]:
        if text.count(change["from"]) != 1:
            sys.exit(f"mutation \"{mutation['name']}\": its text occurs "
                     f"{text.count(change['from'])} times in {mutation['file']}")
        text = text.replace(change["from"], change["to"])
    return text


def build(scratch, target):
    return run(["cmake", "--build", "build", "--target", target], scratch)


def main():
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    root = pathlib.Path.cwd()
    mutations = [m for m in json.loads((root / "tools/mutations.json").read_text())
                 if name_filter in m["name"]]
    caught = 0
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder) / "tree"
        shutil.copytree(root, scratch, ignore=shutil.ignore_patterns("build*", ".git"))
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
             "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache"], scratch)
        for mutation in mutations:
            path = scratch / mutation["file"]
            original = path.read_text()
            path.write_text(apply_mutation(original, mutation))
            built = build(scratch, mutation["test"])
            if built.returncode != 0:
                verdict = "DOES NOT BUILD\n" + built.stdout[-2000:]
            else:
                program = next(p for p in (scratch / "build").rglob(mutation["test"])
                               if p.is_file())
                failed = run([str(program), "--abort-after=1"], scratch).returncode != 0
                verdict = "caught" if failed else "NOT CAUGHT"
                caught += failed
            path.write_text(original)
            print(f"{verdict:11} {mutation['test']:20} {mutation['name']}", flush=True)
    print(f"{caught} of {len(mutations)} mutations caught")
    return 0 if caught == len(mutations) else 1


if __name__ == "__main__":
    sys.exit(main())
