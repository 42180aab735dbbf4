#!/bin/sh
# Compiles the stand-ins, which need nothing but the standard library.
cd "$(dirname "$0")" && exec python3 -m py_compile standins/fleet.py [1-5]/case.py
