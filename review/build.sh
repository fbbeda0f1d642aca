#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need Python's
# standard library only; the nodes come from the build line of the deploy file.
cd "$(dirname "$0")" && python3 -m compileall -q standins */case.py
