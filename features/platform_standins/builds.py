"""Earlier builds of the program, from the repository's own history."""

import io
import os
import subprocess
import tarfile
import tempfile
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# The build that landed before the one that is worked on.
LAST_LANDED = "f615bed"


@cache
def earlier_build(commit):
    """Return a folder with the program as of a commit; None where the history does not hold it.

    The folder stays as long as this process.
    """
    command = ["git", "archive", "--format=tar", commit, "src", "deploy"]
    # A hook or another tool may have set where git looks.
    environment = {key: value for key, value in os.environ.items() if not key.startswith("GIT_")}
    try:
        made = subprocess.run(
            command, cwd=ROOT, env=environment, check=True, capture_output=True
        ).stdout
    except (OSError, subprocess.CalledProcessError):
        return None
    folder = tempfile.TemporaryDirectory(prefix="build-")
    _folders.append(folder)
    with tarfile.open(fileobj=io.BytesIO(made)) as archive:
        archive.extractall(folder.name, filter="data")
    return Path(folder.name)


_folders = []


def skip_without(scenario, commit):
    """Return an earlier build, or say that a scenario is left out for want of the history."""
    build = earlier_build(commit)
    if build is None:
        print(f"left out, the history does not hold {commit}: {scenario.name}")
        scenario.skip(f"the history does not hold {commit}")
    return build
