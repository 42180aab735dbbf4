#!/bin/sh
# Builds the stand-ins that the scripts of review/7 and review/8 start. They are Python
# and use the standard library only, so this checks that they compile.
cd "$(dirname "$0")" && exec python3 -m py_compile standins-2/standins.py
