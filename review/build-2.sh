#!/bin/sh
# Builds the stand-ins that the scripts of this review start, the project's own too: they are Python
# programs without libraries, so that compiling them is all there is to do.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins-2 review/[4-8] features/platform_standins
