"""Provides earlier builds of the program, from the history of the repository."""

import io
import os
import subprocess
import tarfile
import tempfile
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# The last build that was merged before the current one.
LAST_LANDED = "f615bed"


@cache
def earlier_build(commit):
    """Return a folder with the program as of a commit; None if the history lacks the commit.

    The folder exists until this process ends.
    """
    command = ["git", "archive", "--format=tar", commit, "src", "deploy"]
    # A git hook or another tool may have set GIT_DIR and the like.
    environment = {key: value for key, value in os.environ.items() if not key.startswith("GIT_")}
    try:
        archived = subprocess.run(
            command, cwd=ROOT, env=environment, check=True, capture_output=True
        ).stdout
    except (OSError, subprocess.CalledProcessError):
        return None
    folder = tempfile.TemporaryDirectory(prefix="build-")
    _folders.append(folder)
    with tarfile.open(fileobj=io.BytesIO(archived)) as archive:
        archive.extractall(folder.name, filter="data")
    return Path(folder.name)


_folders = []


def skip_without(scenario, commit):
    """Return an earlier build; if the history lacks it, skip the scenario and print why."""
    build = earlier_build(commit)
    if build is None:
        print(f"left out, the history does not hold {commit}: {scenario.name}")
        scenario.skip(f"the history does not hold {commit}")
    return build
