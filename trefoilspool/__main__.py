"""Runs the command line with ``python -m trefoilspool``."""

from trefoilspool.cmdline import main

main()
